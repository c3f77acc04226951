// Package place selects the target for a request.
//
// Requests that share parts of their prompts go to the same target by
// rendezvous hashing, unless it is much busier than the others. All other
// requests go to the least loaded target, with a preference for the local
// failure domain. The load of a target is estimated from this node's calls in
// flight and the load that the target reports in its responses. Targets that
// fail or are unreachable get fewer requests or none for a time, and a cold
// target, one that is still warming up, gets requests at a limited rate.
//
// Targets of services that report how long their work takes are chosen by the expected
// time to the first event instead: see [Criteria.ExpectedTime] and [Table.Estimates].
//
// The package is a state machine without I/O: the time is passed as an
// argument, and it starts no goroutines.
package place
