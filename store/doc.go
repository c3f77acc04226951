// Package store gives access to the platform's key-value service.
//
// [Client] speaks the JSON gateway format of etcd v3 over HTTP, and [Budget]
// keeps the calls of a node within a rate. For tests and demonstrations
// [Memory] stands in for the service within the process, [Faults] makes the
// calls of any store go wrong as scripted, and [Server] serves either of them
// in the same HTTP format. All of them may be shared by many nodes.
package store
