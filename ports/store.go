package ports

import (
	"context"
	"time"
)

// Store is the platform's key-value service.
//
// An error of type *fault.Error with the verdict NotRun means that a call had
// no effect. Any other error leaves the outcome open: the call may have taken
// effect, or may still do so.
type Store interface {
	// Range returns one key, or all keys with a prefix in key order.
	Range(ctx context.Context, request RangeRequest) (RangeResponse, error)
	// Commit applies the operations if all comparisons hold.
	Commit(ctx context.Context, txn Txn) (TxnResponse, error)
	// Watch reports the changes of the keys with a prefix.
	Watch(ctx context.Context, request WatchRequest) (Watcher, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. It fails with fault.NotFound once the lease has lapsed.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// LeaseID names a lease; zero means no lease.
type LeaseID int64

// KeyValue is a key with its value and its revisions.
type KeyValue struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Version        int64
	Lease          LeaseID
}

// RangeRequest names a key, or a prefix of keys.
type RangeRequest struct {
	Key    string
	Prefix bool
	Limit  int // Number of keys at most; zero means no limit.
}

// RangeResponse holds the keys found and the store's revision.
type RangeResponse struct {
	Revision int64
	Entries  []KeyValue
}

// Compare holds if the key's present ModRevision equals the given one.
// Zero means that the key does not exist.
type Compare struct {
	Key         string
	ModRevision int64
}

// Op is an operation of a transaction: [Put] or [Delete].
type Op interface{ op() }

// Put sets a key.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Delete removes a key, or all keys with a prefix.
type Delete struct {
	Key    string
	Prefix bool
}

func (Put) op()    {}
func (Delete) op() {}

// Txn is a set of operations that take effect together if all comparisons hold.
type Txn struct {
	Compares []Compare
	Then     []Op
}

// TxnResponse says whether the comparisons held, and the store's revision.
type TxnResponse struct {
	Succeeded bool
	Revision  int64
}

// WatchRequest names the keys to watch. A zero FromRevision starts at the
// present revision.
type WatchRequest struct {
	Prefix       string
	FromRevision int64
}

// WatchEvent is a change of a key. A deleted key has Deleted set and no value.
type WatchEvent struct {
	Entry   KeyValue
	Deleted bool
}

// Watcher delivers the changes of the watched keys.
type Watcher interface {
	// Next waits for the next changes. After an error the watch is lost and
	// the keys must be read again.
	Next(ctx context.Context) ([]WatchEvent, error)
	// Close ends the watch.
	Close() error
}
