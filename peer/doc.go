// Package peer connects the nodes of a fleet by JSON-RPC 2.0 over TCP.
//
// A [Mesh] keeps one outgoing connection for each node that it calls. A call
// may stream chunks back before its result. A connection that stays silent
// while calls wait on it is closed and never used again, and its calls fail
// with the verdict "may have run".
package peer
