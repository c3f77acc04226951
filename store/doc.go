// Package store implements the client of the key-value store that the nodes of
// package node use, and stores for tests. The store of package platform has
// another protocol, which the relay uses.
//
// [Client] uses the JSON gateway of etcd v3 over HTTP, and [Budget] limits the
// rate of the calls of a node. For tests and demonstrations there are [Memory],
// an implementation within the process, [FaultInjector], which injects scripted
// faults into the calls of any store, and [Server], which serves any store in
// the HTTP format of the gateway. All of them are safe for concurrent use.
package store
