// Package ledger makes non-idempotent stage calls run at most once.
//
// A stage call may be dispatched only by the process whose compare-and-swap
// created its [Record] in the platform's store, and only once. Neither a clock
// nor a lease nor an agreement on the live nodes is part of that rule.
//
// Records are kept in shards. A [Shard] keeps a journal in the store: a head
// value that holds the newest records (the open part), and sealed parts, which
// are immutable segments with older records under keys of their own. One
// compare-and-swap of the head writes all records that arrived since the last
// commit. Any node may write a journal. Membership assigns one writer to each
// shard only to keep conflicts rare.
//
// Retention drops the oldest sealed parts. The head stores the floor, which is
// the latest creation time of a dropped record; a key that is not newer than
// the floor is rejected because its record may have been dropped.
//
// A token identifies one run of a stage call. Withdrawing a run revokes its
// token, so that a delayed create with this token is rejected.
//
// [Shard] is a state machine without I/O. [Service] drives it and calls the
// store and the other nodes.
package ledger
