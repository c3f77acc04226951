// Package engine calls model engines and plain services.
//
// A [Client] sends one [Call] to one target and returns its [Answer]. Model
// engines speak the OpenAI-compatible HTTP API with server-sent events; the
// other services take and return JSON. The HTTP messages are read and written
// by fasthttp; the connections belong to this package, because their use
// decides which verdict an error may carry:
//
//   - A non-idempotent call is sent on a connection opened for it alone.
//   - A kept connection is used again only after a whole answer, and only if a
//     probe shows that the other end has neither closed it nor written to it.
//   - A call is written once. It is never sent again by this package.
//   - A connection is closed after a timeout, a cancellation or any other error.
//   - An answer counts only if it carries the attempt of its own call and is
//     complete.
//
// Errors are of type [*Failure], which wraps a *fault.Error.
package engine
