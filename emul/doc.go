// Package emul has stand-ins for model engines and plain services.
//
// A [Target] serves the wire formats of package engine over real sockets. It
// models cold start, continuous batching, a bounded prefix cache and lagging
// load reports, takes faults at run time, and counts what arrives on its own
// side. A [Fleet] runs one stand-in for each target of a configuration.
//
// Answers follow from the request alone, so that [Output] and [Pipeline] tell
// what a whole and uncrossed answer is.
package emul
