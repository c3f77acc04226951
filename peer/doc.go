// Package peer implements JSON-RPC 2.0 over TCP between the nodes of a fleet.
//
// A [Mesh] keeps one outgoing connection to each node that it calls. A call may
// stream chunks before its result. A connection is closed and not reused if
// nothing is received on it for two seconds while calls are pending; its calls
// fail with the verdict "may have run".
package peer
