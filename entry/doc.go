// Package entry serves callers over HTTP.
//
// A caller posts to /v1/pipelines/{pipeline}. The account, the headers and the
// body limit are checked before the body is parsed. An answer is JSON or, if
// the caller asks for a stream, server-sent events. A refusal is a problem
// document (RFC 9457) that carries the verdict.
package entry
