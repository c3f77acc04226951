package store

// Call is a kind of call to the store.
type Call int

// The kinds of call.
const (
	// CallRange reads keys.
	CallRange Call = iota
	// CallCommit applies a transaction.
	CallCommit
	// CallWatch opens a watch. The platform counts a waiting watch as one call.
	CallWatch
	// CallGrant creates a lease.
	CallGrant
	// CallKeepAlive renews a lease.
	CallKeepAlive
	// CallRevoke ends a lease.
	CallRevoke
	// CallNext waits for the next changes of a watch. The platform does not count it.
	CallNext
)
