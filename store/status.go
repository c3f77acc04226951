package store

import (
	"encoding/json"
	"net/http"

	"bergamotworks/fault"
)

// gRPC status codes in the error responses of the gateway.
const (
	codeInvalidArgument   = 3
	codeDeadlineExceeded  = 4
	codeNotFound          = 5
	codeResourceExhausted = 8
	codeOutOfRange        = 11
	codeInternal          = 13
	codeUnavailable       = 14
)

// noLeader is the error message of an etcd member that has no leader. The call is
// rejected before it reaches the Raft log, so it has no effect.
const noLeader = "etcdserver: no leader"

// statusError returns the error for a response with a status other than 200. The
// verdict is NotRun only if the code or the message noLeader means that the call was
// rejected before it ran.
func statusError(status int, body []byte) error {
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

// errorResponse returns the status and body for the error of a call that had no
// effect. An Unavailable error gets the message noLeader, so that the client
// knows that the call had no effect.
func errorResponse(err *fault.Error) (int, wireError) {
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
