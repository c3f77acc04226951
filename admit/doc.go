// Package admit decides which requests are served when there is too little
// capacity for all of them.
//
// A [Level] says which share of the requests of each [Class], a priority and a
// client account, a service can serve. An owner of a shard makes the level of
// its shard with a [Meter] from the work that arrives, the rate at which it is
// processed and the queue. Each node makes the level of a service without
// owners with a [Gauge] from the loads that its targets report and from its own
// responses. A [Table] decides on one request, once, by the levels of all
// services that the request needs.
//
// The package is a state machine without I/O: the time and random numbers are
// passed as arguments, and it starts no goroutines.
package admit
