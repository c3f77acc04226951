package store

import (
	"context"
	"time"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

// Range returns one key, or all keys with a prefix in key order.
func (f *FaultInjector) Range(ctx context.Context, request ports.RangeRequest) (ports.RangeResponse, error) {
	met := f.take(CallRange, request.Key)
	if err := f.refuse(ctx, met); err != nil {
		return ports.RangeResponse{}, err
	}
	response, err := f.Store.Range(ctx, request)
	if past, ok := f.Store.(HistoryReader); ok && err == nil && met != nil && met.Kind == FaultStaleRead {
		return past.RangeAt(ctx, request, response.Revision-met.RevisionsBack)
	}
	if err = met.lose(err); err != nil {
		return ports.RangeResponse{}, err
	}
	return response, nil
}

// Commit applies the operations if all comparisons hold.
func (f *FaultInjector) Commit(ctx context.Context, txn ports.Txn) (ports.TxnResponse, error) {
	met := f.take(CallCommit, firstKey(txn))
	if err := f.refuse(ctx, met); err != nil {
		return ports.TxnResponse{}, err
	}
	if met != nil && met.Kind == FaultLateCommit {
		f.hold(txn)
		return ports.TxnResponse{}, answerLost()
	}
	response, err := f.Store.Commit(ctx, txn)
	if err = met.lose(err); err != nil {
		return ports.TxnResponse{}, err
	}
	return response, nil
}

// Grant creates a lease.
func (f *FaultInjector) Grant(ctx context.Context, ttl time.Duration) (ports.LeaseID, error) {
	met := f.take(CallGrant, "")
	if err := f.refuse(ctx, met); err != nil {
		return 0, err
	}
	lease, err := f.Store.Grant(ctx, ttl)
	if err = met.lose(err); err != nil {
		return 0, err
	}
	return lease, nil
}

// KeepAlive renews a lease.
func (f *FaultInjector) KeepAlive(ctx context.Context, lease ports.LeaseID) error {
	met := f.take(CallKeepAlive, "")
	if err := f.refuse(ctx, met); err != nil {
		return err
	}
	if met != nil && met.Kind == FaultLeaseExpired {
		if err := f.Store.Revoke(ctx, lease); err != nil {
			return err
		}
	}
	return met.lose(f.Store.KeepAlive(ctx, lease))
}

// Revoke ends a lease and deletes its keys.
func (f *FaultInjector) Revoke(ctx context.Context, lease ports.LeaseID) error {
	met := f.take(CallRevoke, "")
	if err := f.refuse(ctx, met); err != nil {
		return err
	}
	return met.lose(f.Store.Revoke(ctx, lease))
}

// Watch reports the changes of the keys with a prefix.
func (f *FaultInjector) Watch(ctx context.Context, request ports.WatchRequest) (ports.Watcher, error) {
	met := f.take(CallWatch, request.Prefix)
	if err := f.refuse(ctx, met); err != nil {
		return nil, err
	}
	w, err := f.Store.Watch(ctx, request)
	if err != nil {
		return nil, err
	}
	if lost := met.lose(nil); lost != nil {
		return nil, closeAfter(w, lost)
	}
	return &faultyWatcher{faults: f, inner: w, prefix: request.Prefix, closed: make(chan struct{})}, nil
}

func closeAfter(w ports.Watcher, err error) error {
	if closeErr := w.Close(); closeErr != nil {
		return fault.From(closeErr)
	}
	return err
}

func (f *FaultInjector) hold(txn ports.Txn) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.late = append(f.late, txn)
}

// firstKey returns the key that a transaction compares or writes first.
func firstKey(txn ports.Txn) string {
	for _, c := range txn.Compares {
		return c.Key
	}
	for _, o := range txn.Then {
		switch o := o.(type) {
		case ports.Put:
			return o.Key
		case ports.Delete:
			return o.Key
		}
	}
	return ""
}
