// Package flow runs requests through the stages of their pipelines.
//
// Each request has a home, the node to which the membership view assigns the
// request's [Fingerprint]; the node that receives a request forwards it there.
// A repeat is a further request with the same client account, pipeline, input
// and idempotency key, if any. The home coalesces them: a repeat joins the run
// in progress. The home runs the stages in order and retries failed attempts if
// their verdicts allow it. Before it runs a non-idempotent stage, it creates a
// record in the ledger, so that the stage runs at most once.
//
// A stage here is one call to a service, whose input is the input of the request
// and the output of the previous stage. The stages of a route, which package
// site describes, are split into pieces instead.
package flow
