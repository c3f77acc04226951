// Package place chooses the target of a request.
//
// Requests that share parts of their prompts go to the same engine, unless it
// is much busier than the others. All other requests go to the least busy
// target, a near one first. The choice rests on this node's own calls in
// flight, on the loads that targets tell with their answers, and on how recent
// calls have ended. The package is a state machine: it takes the time as an
// argument and starts nothing.
package place
