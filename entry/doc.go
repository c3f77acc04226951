// Package entry is the HTTP server for clients.
//
// A client posts a request to /v1/pipelines/{pipeline}. The client account, the
// headers and the size of the body are checked before the body is parsed. The
// response is JSON or, if the client requests a stream, server-sent events. An
// error response is a problem document (RFC 9457) that contains the verdict.
package entry
