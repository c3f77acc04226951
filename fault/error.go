package fault

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

// Error is the error type that nodes exchange and that becomes the response
// to a client. Its JSON form is sent between nodes.
type Error struct {
	Kind       Kind          `json:"kind"`
	Verdict    Verdict       `json:"verdict"`
	Field      string        `json:"field,omitempty"`          // Name or path of the invalid field; empty if none.
	Message    string        `json:"message"`                  // Text for clients.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"` // Delay before a retry; zero if none is suggested.
}

// New returns an error of the given kind and verdict.
func New(kind Kind, verdict Verdict, format string, args ...any) *Error {
	return &Error{Kind: kind, Verdict: verdict, Message: fmt.Sprintf(format, args...)}
}

// InvalidField returns an error of kind [Invalid] with verdict [NotRun] that
// names a field of the request.
func InvalidField(field, format string, args ...any) *Error {
	return New(Invalid, NotRun, format, args...).WithField(field)
}

// Error returns the kind, field, message and verdict in one line.
func (e *Error) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("%s: field %s: %s (%s)", e.Kind, e.Field, e.Message, e.Verdict)
	}
	return fmt.Sprintf("%s: %s (%s)", e.Kind, e.Message, e.Verdict)
}

// WithField returns a copy with the name of the request field that the error
// concerns.
func (e Error) WithField(field string) *Error {
	e.Field = field
	return &e
}

// WithVerdict returns a copy with the given verdict.
func (e Error) WithVerdict(verdict Verdict) *Error {
	e.Verdict = verdict
	return &e
}

// WithRetryAfter returns a copy that asks the client to wait before a retry.
func (e Error) WithRetryAfter(wait time.Duration) *Error {
	e.RetryAfter = wait
	return &e
}

// From returns err as an *Error. A context error becomes [DeadlineExceeded]
// or [Canceled], and any other error [Internal], all with the verdict
// [MayHaveRun]. From(nil) is nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var fe *Error
	if errors.As(trace.Unwrap(err), &fe) || errors.As(err, &fe) {
		return fe
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return New(DeadlineExceeded, MayHaveRun, "%s", err)
	}
	if errors.Is(err, context.Canceled) {
		return New(Canceled, MayHaveRun, "%s", err)
	}
	return New(Internal, MayHaveRun, "%s", err)
}

// VerdictOf returns the verdict of err, which is [MayHaveRun] if err has
// none. It panics if err is nil.
func VerdictOf(err error) Verdict {
	return From(err).Verdict
}
