package ports

import (
	"context"
	"time"
)

// Store is the platform's key-value service.
//
// An error of type *fault.Error with the verdict NotRun means that a call had
// no effect. After any other error the outcome is unknown: the call may have
// taken effect, or may still do so.
type Store interface {
	// Range returns one key, or all keys with a prefix in key order.
	Range(ctx context.Context, request RangeRequest) (RangeResponse, error)
	// Commit applies the operations atomically if all comparisons hold.
	Commit(ctx context.Context, txn Txn) (TxnResponse, error)
	// Watch reports the changes of the keys with a prefix.
	Watch(ctx context.Context, request WatchRequest) (Watcher, error)
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. It fails with fault.NotFound once the lease has
	// expired.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, lease LeaseID) error
}

// LeaseID identifies a lease; zero means no lease.
type LeaseID int64

// KeyValue is a key with its value. CreateRevision and ModRevision are the
// revisions of the store at its creation and its last change. Version is the
// number of changes of the key, including its creation.
type KeyValue struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Version        int64
	Lease          LeaseID
}

// Unchanged returns the condition that the key still has this revision and value.
func (e KeyValue) Unchanged() Compare {
	return Compare{Key: e.Key, ModRevision: e.ModRevision, Value: e.Value}
}

// RangeRequest selects one key, or all keys with a prefix.
type RangeRequest struct {
	Key    string
	Prefix bool
	Limit  int // Maximum number of keys; zero means no limit.
}

// RangeResponse holds the keys found and the revision of the store.
type RangeResponse struct {
	Revision int64
	Entries  []KeyValue
}

// Compare is the condition that the current ModRevision of a key equals the
// given one, and its current value Value unless that is nil. A ModRevision of zero means
// that the key does not exist. A store that was restored from a copy gives revisions out
// again, which alone do not show that the key has its value of before.
type Compare struct {
	Key         string
	ModRevision int64
	Value       []byte
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

// Txn is a set of operations that are applied atomically if all comparisons
// hold.
type Txn struct {
	Compares []Compare
	Then     []Op
}

// TxnResponse reports whether the comparisons held, and the revision of the
// store.
type TxnResponse struct {
	Succeeded bool
	Revision  int64
}

// WatchRequest selects the keys to watch. A zero FromRevision starts at the
// current revision.
type WatchRequest struct {
	Prefix       string
	FromRevision int64
}

// WatchEvent is a change of a key. For a deleted key Deleted is set and Entry
// has no value.
type WatchEvent struct {
	Entry   KeyValue
	Deleted bool
}

// Watcher delivers the changes of the watched keys.
type Watcher interface {
	// Next waits for the next changes. If ctx ends first, it returns an error with
	// the verdict NotRun, and the watch continues. After any other error the watch
	// is lost and the keys must be read again.
	Next(ctx context.Context) ([]WatchEvent, error)
	// Close cancels the watch.
	Close() error
}
