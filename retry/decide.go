package retry

import (
	"time"

	"bergamotworks/fault"
)

// Decision says what becomes of a failed call.
type Decision int

// The decisions.
const (
	// Stop means that the error is final.
	Stop Decision = iota
	// Retry means that the call is tried on another target, at the budget's cost.
	Retry
	// Reroute means that the call did not run and is sent to another pool.
	Reroute
)

const (
	maxAttempts = 3 // Attempts at one call that may run on a target.
	maxRefusals = 2 // Refusals of one call that are followed by another pool.
)

// Failure describes a failed call.
type Failure struct {
	Err *fault.Error
	// Idempotent says that the call may be repeated.
	Idempotent bool
	// Attempts and Refusals count what the call has had, this failure included:
	// attempts that were dispatched, and refusals that were not.
	Attempts int
	Refusals int
	// Deadline is the time by which the call must have ended.
	Deadline time.Time
	// Cost is the usual time of the call; a retry must fit before the deadline.
	ExpectedDuration time.Duration
}

// Decide returns what becomes of a failed call at now and takes a retry out of
// the budget if one is made.
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

// afterRefusal decides on a call that did not run.
func afterRefusal(failure Failure) Decision {
	if failure.Refusals > maxRefusals {
		return Stop
	}
	return Reroute
}

// final reports whether another attempt would meet the same error.
func final(kind fault.Kind) bool {
	switch kind {
	case fault.Busy, fault.Unavailable, fault.TargetFailed, fault.ConnectionLost, fault.Internal:
		return false
	case fault.Invalid, fault.NotFound, fault.Unauthorized, fault.TooLarge, fault.DeadlineExceeded,
		fault.Canceled, fault.Conflict, fault.Quarantined, fault.Expired, fault.Duplicate:
	}
	return true
}
