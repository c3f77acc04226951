// Package poison finds requests that crash the targets that run them.
//
// When a target crashes, each request in flight on it becomes suspect. A suspect
// runs alone on its target: if it completes, it is cleared, and if the target
// crashes again, it is condemned and refused for a time. Requests are told apart
// by their fingerprint, whatever name they carry. Tables of several nodes agree
// by exchanging rumours. The package is a state machine: it takes the time as an
// argument and starts nothing.
package poison
