package engine

import (
	"errors"

	"bergamotworks/fault"
)

// Cause says what a failed call tells about its target.
type Cause int

// The causes of failure.
const (
	// Unknown means that the failure tells nothing about the target.
	Unknown Cause = iota
	// Unreachable means that no connection could be opened.
	Unreachable
	// Crashed means that the other end closed the connection during the call.
	Crashed
	// Silent means that no byte arrived within the time limit.
	Silent
	// Overloaded means that the target refused the call before running it.
	Overloaded
	// Rejected means that the target answered with an error.
	Rejected
	// Corrupt means that the answer was incomplete or belonged to another call.
	Corrupt
	// Abandoned means that the caller left or the deadline passed.
	Abandoned
)

// Failure is an error of a call with its cause.
type Failure struct {
	Fault *fault.Error
	Cause Cause
}

// Error returns the cause and the error.
func (f *Failure) Error() string { return f.Cause.String() + ": " + f.Fault.Error() }

// Unwrap returns the error that carries the verdict.
func (f *Failure) Unwrap() error { return f.Fault }

// CauseOf returns the cause that err carries, [Unknown] if it carries none.
func CauseOf(err error) Cause {
	var f *Failure
	if errors.As(err, &f) {
		return f.Cause
	}
	return Unknown
}

// failed returns a failure whose call may have run.
func failed(cause Cause, kind fault.Kind, format string, args ...any) *Failure {
	return &Failure{Cause: cause, Fault: fault.New(kind, fault.MayHaveRun, format, args...)}
}

// notRun returns a failure whose call has not run.
func notRun(cause Cause, kind fault.Kind, format string, args ...any) *Failure {
	return &Failure{Cause: cause, Fault: fault.New(kind, fault.NotRun, format, args...)}
}
