package pool

import (
	"time"

	"bergamotworks/fault"
	"bergamotworks/warm"
)

// Call is one attempt at a stage of a request.
type Call struct {
	// Attempt identifies the attempt and is never used twice.
	Attempt string `json:"attempt"`
	Request string `json:"request"`
	Account string `json:"account"`
	Class   string `json:"class"`
	Stage   string `json:"stage"`
	// Deadline is the time by which the call must have finished.
	Deadline   time.Time `json:"deadline"`
	Idempotent bool      `json:"idempotent"`
	// MustFinish says that the call continues after its client has disconnected.
	MustFinish bool `json:"must_finish"`
	// Prefix is a hash of the prompt's prefix; zero means none.
	Prefix uint64 `json:"prefix"`
	// Fingerprint is a hash of the request's content.
	Fingerprint uint64 `json:"fingerprint"`
	// ExpectedTokens is the expected length of the output.
	ExpectedTokens int `json:"tokens"`
	// Avoid names targets on which earlier attempts ran. The pool uses them only if
	// it has no others.
	Avoid []string `json:"avoid,omitempty"`
	// Exclusive says that no other call may be in flight on the target.
	Exclusive bool `json:"alone,omitempty"`
}

// Aliases of the types of package warm for outcomes and load reports.
type (
	// Outcome is the result of one dispatched call.
	Outcome = warm.Outcome
	// OutcomeKind classifies outcomes.
	OutcomeKind = warm.OutcomeKind
	// LoadReport is the load that a target reports.
	LoadReport = warm.LoadReport
)

// The kinds of outcome.
const (
	Succeeded  = warm.Succeeded
	Failed     = warm.Failed
	Overloaded = warm.Overloaded
	Crashed    = warm.Crashed
	TimedOut   = warm.TimedOut
	Canceled   = warm.Canceled
)

// call is a waiting or running call.
type call struct {
	Call
	target *poolTarget // Target on which the call runs; nil while it waits.
	epoch  int         // Cold-start epoch of the target at dispatch.
}

// rejection returns the error of a call that was not dispatched.
func rejection(kind fault.Kind, wait time.Duration, format string, args ...any) *fault.Error {
	return fault.New(kind, fault.NotRun, format, args...).WithRetryAfter(wait)
}
