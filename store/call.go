package store

// Call is a kind of store call. The texts are labels of metrics and values in
// scripts.
type Call int

// Kinds of store call.
const (
	// CallRange reads keys.
	CallRange Call = iota
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
