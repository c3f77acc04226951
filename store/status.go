package store

import (
	"encoding/json"
	"net/http"

	"bergamotworks/fault"
)

// The gRPC status codes that the gateway puts into its refusals.
const (
	codeInvalidArgument   = 3
	codeDeadlineExceeded  = 4
	codeNotFound          = 5
	codeResourceExhausted = 8
	codeOutOfRange        = 11
	codeInternal          = 13
	codeUnavailable       = 14
)

// noLeader is the refusal of a member that knows no leader. It is given before
// the call reaches the log, so nothing has happened.
const noLeader = "etcdserver: no leader"

// refusal returns the error for an answer with another status than 200. Only
// codes under which the call was refused before it ran give NotRun.
func refusal(status int, body []byte) error {
	var w wireError
	if err := json.Unmarshal(body, &w); err != nil {
		w = wireError{Message: http.StatusText(status)}
	}
	if w.Message == "" {
		w.Message = w.Error
	}
	switch w.Code {
	case codeInvalidArgument:
		return fault.New(fault.Invalid, fault.NotRun, "%s", w.Message)
	case codeNotFound, codeOutOfRange:
		return fault.New(fault.NotFound, fault.NotRun, "%s", w.Message)
	case codeResourceExhausted:
		return fault.New(fault.Busy, fault.NotRun, "%s", w.Message)
	case codeDeadlineExceeded:
		return fault.New(fault.DeadlineExceeded, fault.MayHaveRun, "%s", w.Message)
	}
	if w.Message == noLeader {
		return fault.New(fault.Unavailable, fault.NotRun, "%s", w.Message)
	}
	return fault.New(fault.Unavailable, fault.MayHaveRun, "store answered %d: %s", status, w.Message)
}

// answerTo returns the status and body for an error that had no effect.
func answerTo(err *fault.Error) (int, wireError) {
	switch err.Kind {
	case fault.Invalid, fault.TooLarge:
		return http.StatusBadRequest, wireError{Code: codeInvalidArgument, Message: err.Message}
	case fault.NotFound:
		return http.StatusNotFound, wireError{Code: codeNotFound, Message: err.Message}
	case fault.Busy:
		return http.StatusTooManyRequests, wireError{Code: codeResourceExhausted, Message: err.Message}
	case fault.Unavailable:
		return http.StatusServiceUnavailable, wireError{Code: codeUnavailable, Message: noLeader}
	}
	return http.StatusInternalServerError, wireError{Code: codeInternal, Message: err.Message}
}
