package engine

import (
	"errors"

	"bergamotworks/fault"
)

// Cause is what a failed call indicates about its target.
type Cause int

// The causes of failure.
const (
	// Unknown means that the failure indicates nothing about the target.
	Unknown Cause = iota // unknown
	// Unreachable means that no connection could be established.
	Unreachable // unreachable
	// Crashed means that the connection was closed during the call, as it is when
	// the target's process ends.
	Crashed // crashed
	// Silent means that no byte arrived within the timeout, before or during the
	// response.
	Silent // silent
	// Overloaded means that the target did not accept a stage call because of its
	// load; the call has not run.
	Overloaded // overloaded
	// ErrorStatus means that the target responded with any other status than 200.
	ErrorStatus // rejected
	// Corrupt means that the response was malformed, incomplete or belonged to
	// another call.
	Corrupt // corrupt
	// Abandoned means that the call was canceled or its deadline passed.
	Abandoned // abandoned
)

// Failure is the error of a call, with its cause.
type Failure struct {
	Fault *fault.Error
	Cause Cause
}

// Error returns the text of the cause followed by that of the error.
func (f *Failure) Error() string { return f.Cause.String() + ": " + f.Fault.Error() }

// Unwrap returns the *fault.Error, which carries the kind and the verdict.
func (f *Failure) Unwrap() error { return f.Fault }

// CauseOf returns the cause of the [*Failure] that err wraps, or [Unknown] if it
// wraps none.
func CauseOf(err error) Cause {
	var f *Failure
	if errors.As(err, &f) {
		return f.Cause
	}
	return Unknown
}

// mayHaveRun returns the failure of a call that may have run.
func mayHaveRun(cause Cause, kind fault.Kind, format string, args ...any) *Failure {
	return &Failure{Cause: cause, Fault: fault.New(kind, fault.MayHaveRun, format, args...)}
}

// notRun returns the failure of a call that has not run.
func notRun(cause Cause, kind fault.Kind, format string, args ...any) *Failure {
	return &Failure{Cause: cause, Fault: fault.New(kind, fault.NotRun, format, args...)}
}
