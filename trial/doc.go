// Package trial runs experiments: load from impatient callers over real
// loopback sockets against a system under test, with faults from a script.
//
// [Run] starts stand-ins for the targets of a deployment, starts the system
// through a [Starter], sends requests to its nodes as callers do, and judges
// from what the stand-ins counted and the callers received, not from what the
// nodes believe.
package trial
