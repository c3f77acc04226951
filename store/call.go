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
	// CallWatch opens a watch. The platform counts an open watch as one call.
	CallWatch
	// CallGrant creates a lease.
	CallGrant
	// CallKeepAlive renews a lease.
	CallKeepAlive
	// CallRevoke ends a lease.
	CallRevoke
	// CallNext waits for the next changes of a watch. The platform does not
	// count it.
	CallNext
)
