package retry

import (
	"time"

	"bergamotworks/fault"
)

// Decision says how to proceed after a failed call.
type Decision int

// Decisions after a failed call.
const (
	// Stop means that the error is final.
	Stop Decision = iota // stop
	// Retry means that the call is repeated on another target. It consumes
	// one retry of the budget.
	Retry // again
	// Reroute means that the call did not run and is sent to another pool,
	// without a cost to the budget.
	Reroute // elsewhere
)

const (
	maxAttempts = 3 // Attempts of one call that may have run on a target.
	maxRefusals = 2 // Refusals of one call after which it is rerouted.
)

// Failure describes a failed call.
type Failure struct {
	Err *fault.Error
	// Idempotent says that the call may be repeated.
	Idempotent bool
	// Attempts counts the attempts of the call that were dispatched, and
	// Refusals those that were refused, both including this failure.
	Attempts   int
	Rejections int
	// Deadline is the time by which the call must end.
	Deadline time.Time
	// ExpectedDuration is the typical duration of the call. A retry must be
	// able to end before the deadline.
	ExpectedDuration time.Duration
}

// Decide returns how to proceed after a failed call at now. If it returns
// Retry, it has taken the retry from the budget.
func Decide(now time.Time, failure Failure, budget *Budget) Decision {
	if final(failure.Err.Kind) || now.Add(failure.ExpectedDuration).After(failure.Deadline) {
		return Stop
	}
	if failure.Err.Verdict == fault.NotRun {
		return afterRefusal(failure)
	}
	if !failure.Idempotent || failure.Err.Verdict == fault.Ran {
		return Stop
	}
	if failure.Attempts >= maxAttempts || !budget.Spend(now) {
		return Stop
	}
	return Retry
}

// afterRefusal returns the decision for a call that did not run.
func afterRefusal(failure Failure) Decision {
	if failure.Rejections > maxRefusals {
		return Stop
	}
	return Reroute
}

// final reports whether another attempt would fail with the same error.
func final(kind fault.Kind) bool {
	switch kind {
	case fault.Busy, fault.Unavailable, fault.TargetFailed, fault.ConnectionLost, fault.Internal:
		return false
	case fault.Invalid, fault.NotFound, fault.Unauthorized, fault.TooLarge, fault.DeadlineExceeded,
		fault.Canceled, fault.Conflict, fault.Quarantined, fault.Expired, fault.Duplicate:
	}
	return true
}
