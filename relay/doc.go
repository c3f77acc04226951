// Package relay forwards requests of opaque routes to targets and their
// responses back to clients. A route is opaque if its bodies are passed through
// without being interpreted.
//
// The node that accepted the client's connection handles the whole request: it
// looks up the route and the client account, runs the stages of the route,
// chooses a target, forwards the request to it directly and streams the
// response back. A stage is preparatory work that is done before the request
// itself, in pieces that are batched with those of other requests; its results
// stay at targets and are referred to by handles. (A stage of a pipeline, in
// contrast, is one call.)
//
// A request that is not retryable is sent to another target only after a target
// has reported that it did not run the request.
package relay
