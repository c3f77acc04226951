// Package burn measures service-level objectives and costs: how fast failed
// requests consume the error budget of each objective (the burn rate), and how
// much work of the targets each stage of a pipeline and each client account has
// used.
//
// A [Recorder] on each node counts the outcomes of the node's requests. Its
// [Snapshot] is small and can be merged with those of other nodes, so that no
// node needs the data of all nodes. A [Report] is computed from the merged
// snapshot.
package burn
