// Package soak runs the real program as separate processes on loopback, injects
// overlapping faults from outside and checks what clients receive and targets run.
//
// Faults are injected by proxies in front of the nodes, the store and the
// targets, by signals to the processes, by operator commands and at the stand-ins
// for targets. The seed determines the faults; their timing relative to the
// requests depends on the machine. Signals go only to processes that the
// package has started.
package soak
