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
	// Reroute means that the call did not run and is sent to another pool. It
	// does not consume a retry of the budget.
	Reroute // elsewhere
)

const (
	maxAttempts   = 3 // Attempts of one call that reach a target.
	maxRejections = 2 // Rejections of one call that are each followed by another route; a further one is final.
)

// Failure describes a failed call.
type Failure struct {
	// Err is the error of the call; it must not be nil.
	Err *fault.Error
	// Idempotent says that the call may run more than once.
	Idempotent bool
	// Attempts counts the attempts of the call that reached a target, and
	// Rejections the others. Both include this failure.
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
		return afterRejection(failure)
	}
	if !failure.Idempotent || failure.Err.Verdict == fault.Ran {
		return Stop
	}
	if failure.Attempts >= maxAttempts || !budget.Spend(now) {
		return Stop
	}
	return Retry
}

// afterRejection returns the decision for a call that did not run.
func afterRejection(failure Failure) Decision {
	if failure.Rejections > maxRejections {
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
