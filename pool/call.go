package pool

import (
	"time"

	"bergamotworks/fault"
	"bergamotworks/warm"
)

// Call is one attempt at a stage call.
type Call struct {
	// Attempt identifies the attempt and is never used twice.
	Attempt string `json:"attempt"`
	Request string `json:"request"`
	Account string `json:"account"`
	Class   string `json:"class"`
	Stage   string `json:"stage"`
	// Deadline is the time by which the call must have ended.
	Deadline   time.Time `json:"deadline"`
	Idempotent bool      `json:"idempotent"`
	// MustFinish says that the call runs on after its caller has left.
	MustFinish bool `json:"must_finish"`
	// Prefix is a hash of the prompt's prefix; zero means none.
	Prefix uint64 `json:"prefix"`
	// Fingerprint identifies the request's content.
	Fingerprint uint64 `json:"fingerprint"`
	// Tokens is the expected length of the output.
	Tokens int `json:"tokens"`
	// Avoid names targets that have been tried before.
	Avoid []string `json:"avoid,omitempty"`
	// Alone says that nothing else may be in flight on the target.
	Exclusive bool `json:"alone,omitempty"`
}

// The outcome of a call and the load report of a target are those of package
// target.
type (
	// Outcome is the end of one call.
	Outcome = warm.Outcome
	// OutcomeKind says how a call ended.
	OutcomeKind = warm.OutcomeKind
	// LoadReport is what a target says about its own load.
	LoadReport = warm.LoadReport
)

// The outcomes of a call.
const (
	Succeeded  = warm.Succeeded
	Failed     = warm.Failed
	Overloaded = warm.Overloaded
	Crashed    = warm.Crashed
	Silent     = warm.Silent
	Canceled   = warm.Canceled
)

// call is a call that waits or runs.
type call struct {
	Call
	member *member // Target on which the call runs; nil while it waits.
	epoch  int     // The target's epoch at the start.
}

func refusal(kind fault.Kind, wait time.Duration, format string, args ...any) *fault.Error {
	return fault.New(kind, fault.NotRun, format, args...).WithRetryAfter(wait)
}
