// Package burn accounts for what became of requests: how fast they use up the
// error budget of each service-level objective, and what they cost by stage
// and client account.
//
// A [Recorder] on each node counts outcomes. Its [Snapshot] is small and can
// be merged with those of other nodes, so that no node holds the whole. A
// [Report] is worked out from the merged snapshot.
package burn
