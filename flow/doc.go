// Package flow runs requests through the stages of their pipelines.
//
// Each request has a home, the node that owns the request's [Fingerprint] in
// the membership view; the node that receives a request forwards it there. The
// home coalesces repeated requests: a repeat joins the run in progress. It runs
// the stages in order and retries failed attempts if their verdicts allow it.
// Before it runs a non-idempotent stage, it creates a record in the ledger, so
// that the stage runs at most once.
package flow
