// Package store implements access to the platform's key-value service.
//
// [Client] uses the JSON gateway of etcd v3 over HTTP, and [Budget] limits the
// rate of the calls of a node. For tests and demonstrations there are [Memory],
// an implementation within the process, [FaultInjector], which injects scripted
// faults into the calls of any store, and [Server], which serves any store in
// the HTTP format of the gateway. All of them are safe for concurrent use.
package store
