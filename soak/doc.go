// Package soak runs the real programs as separate processes on loopback, injects
// overlapping faults from outside them and checks what callers and targets see.
//
// Faults come from proxies before the nodes, the store and the targets, and from
// signals to the processes. A seed decides on all of them; how they meet the
// load is up to the machine. Only processes that the package has started are
// signalled.
package soak
