// Package node assembles a complete node: the client and admin servers,
// membership, configuration, ledger, pools and request execution.
//
// A node accesses its environment only through the interfaces of package ports,
// so that many nodes can run in one process with fakes.
package node
