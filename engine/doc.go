// Package engine calls model engines and plain services.
//
// A [Client] sends one [Call] to one target and returns its [Response]. Model
// engines, the targets of services of kind note.Generate, implement the
// OpenAI-compatible HTTP API with server-sent events; the other services accept
// and return JSON. The HTTP messages are read and written by fasthttp. The
// connections are managed by this package, because the way they are used decides
// which verdict an error may carry, that is, whether the target may have run the
// call:
//
//   - A non-idempotent call is sent on a new connection that carries no other
//     call.
//   - An idle connection is reused only after a complete response, and only if a
//     probe shows that the target has neither closed it nor written to it.
//   - A call is written once. This package never retries.
//   - A connection is closed after a timeout, a cancellation or any other error.
//   - A response is accepted only if it carries the attempt identifier of its
//     call and is complete.
//
// The stage of a Call is one of a pipeline. A [PieceRunner] calls the targets of the
// stages of routes, which are split into pieces; see package batch.
//
// Errors of a Client are of type [*Failure], which wraps a *fault.Error.
package engine
