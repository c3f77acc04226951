// Package canary moves the requests of a service to targets of another version, as an
// operator orders, and moves them back if the version is bad.
//
// One node, the owner of the order, decides from the reports of all nodes which share of
// the requests goes to the new version. Every node limits its own canary requests to that
// share of the requests that it sends itself, so that the share holds over all nodes
// without a message on the path of a request.
//
// [Machine] and [Gate] have no I/O and start no goroutines; the time is passed as an
// argument. [Service] drives them.
package canary
