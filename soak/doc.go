// Package soak runs the real program as separate processes on loopback, injects
// overlapping faults from outside and checks what clients and targets observe.
//
// Faults are injected by proxies in front of the nodes, the store and the
// targets, and by signals to the processes. The seed determines the faults, but
// not how they interleave with the load. Signals go only to processes that the
// package has started.
package soak
