// Package poison detects poison requests, which crash the targets that run them.
//
// When a target crashes, each request in flight on it becomes suspect. A suspect
// request runs alone on its target. If it completes, it is cleared; if the target
// crashes again, the request is quarantined: it is rejected until the quarantine
// expires. A request is identified by its fingerprint, a hash of its content, so
// that it is recognized under any request ID. The tables of several nodes converge
// by exchanging announcements.
//
// [Table] does this for requests that can be run alone. [Tracker] is for requests
// that run beside others, and also finds a part of the prompt that all of them have
// in common.
//
// The package is a state machine: it takes the time as an argument and starts no
// goroutines.
package poison
