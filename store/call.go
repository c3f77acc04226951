package store

// CallKind is a kind of store call. The texts are labels of metrics and values in
// scripts.
type CallKind int

// Kinds of store call.
const (
	// CallRange reads keys.
	CallRange CallKind = iota
	// CallCommit applies a transaction.
	CallCommit
	// CallWatch opens a watch. An open watch counts as one call against the
	// rate limit of the platform.
	CallWatch
	// CallGrant creates a lease.
	CallGrant
	// CallKeepAlive renews a lease.
	CallKeepAlive
	// CallRevoke ends a lease.
	CallRevoke
	// CallNext waits for the next changes of a watch. It does not count against
	// that limit.
	CallNext
)
