// Package node assembles one whole node: the callers' and operators' servers,
// membership, configuration, ledger, pools and the run of requests.
//
// A node meets its surroundings only through the interfaces of package ports,
// so that many nodes can run in one process beside fakes.
package node
