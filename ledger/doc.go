// Package ledger makes non-idempotent stage calls run at most once.
//
// A stage call may be dispatched only by the process whose compare-and-swap
// created its [Record] in the platform's store, and only once. Neither a clock
// nor a lease nor an agreement on who is alive is part of that rule.
//
// Records are kept in shards. A [Shard] is a journal: a head value that holds
// the newest records, and sealed parts under keys of their own. One
// compare-and-swap of the head writes all records that arrived since the last.
// Any node may write; membership names one writer per shard only to keep
// conflicts rare.
//
// [Shard] is the state machine, [Service] drives it with a store and peers.
package ledger
