// Package flow runs requests through the stages of their pipelines.
//
// Each request has a home: the node that the hash of its [Fingerprint] names.
// The home runs the stages in order, joins the repeats of callers to the run
// in progress, retries where the verdict allows it, and asks the ledger before
// a stage that is not idempotent.
package flow
