// Package peer implements JSON-RPC 2.0 over TCP between the nodes of a fleet.
//
// A [Mesh] keeps one outgoing connection to each node that it calls. A call may
// stream chunks before its result. A connection on which nothing is received
// while calls are pending is closed and not reused; its calls fail with the
// verdict "may have run".
package peer
