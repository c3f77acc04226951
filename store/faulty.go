package store

import (
	"context"
	"time"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

// Range returns one key, or all keys with a prefix in key order.
func (f *FaultInjector) Range(ctx context.Context, request ports.RangeRequest) (ports.RangeResponse, error) {
	injected := f.nextFault(CallRange, request.Key)
	if err := f.injectBefore(ctx, injected); err != nil {
		return ports.RangeResponse{}, err
	}
	response, err := f.Store.Range(ctx, request)
	if history, ok := f.Store.(HistoryReader); ok && err == nil && injected != nil && injected.Kind == FaultStaleRead {
		return history.RangeAt(ctx, request, response.Revision-injected.RevisionsBack)
	}
	if err = injected.injectAfter(err); err != nil {
		return ports.RangeResponse{}, err
	}
	return response, nil
}

// Commit applies the operations if all comparisons hold.
func (f *FaultInjector) Commit(ctx context.Context, txn ports.Txn) (ports.TxnResponse, error) {
	injected := f.nextFault(CallCommit, firstKey(txn))
	if err := f.injectBefore(ctx, injected); err != nil {
		return ports.TxnResponse{}, err
	}
	if injected != nil && injected.Kind == FaultLateCommit {
		f.holdCommit(txn)
		return ports.TxnResponse{}, responseLostError()
	}
	response, err := f.Store.Commit(ctx, txn)
	if err = injected.injectAfter(err); err != nil {
		return ports.TxnResponse{}, err
	}
	return response, nil
}

// Grant creates a lease.
func (f *FaultInjector) Grant(ctx context.Context, ttl time.Duration) (ports.LeaseID, error) {
	injected := f.nextFault(CallGrant, "")
	if err := f.injectBefore(ctx, injected); err != nil {
		return 0, err
	}
	lease, err := f.Store.Grant(ctx, ttl)
	if err = injected.injectAfter(err); err != nil {
		return 0, err
	}
	return lease, nil
}

// KeepAlive renews a lease. It returns a fault.NotFound error if the lease has
// expired.
func (f *FaultInjector) KeepAlive(ctx context.Context, lease ports.LeaseID) error {
	injected := f.nextFault(CallKeepAlive, "")
	if err := f.injectBefore(ctx, injected); err != nil {
		return err
	}
	if injected != nil && injected.Kind == FaultLeaseExpired {
		if err := f.Store.Revoke(ctx, lease); err != nil {
			return err
		}
	}
	return injected.injectAfter(f.Store.KeepAlive(ctx, lease))
}

// Revoke ends a lease and deletes its keys.
func (f *FaultInjector) Revoke(ctx context.Context, lease ports.LeaseID) error {
	injected := f.nextFault(CallRevoke, "")
	if err := f.injectBefore(ctx, injected); err != nil {
		return err
	}
	return injected.injectAfter(f.Store.Revoke(ctx, lease))
}

// Watch reports the changes of the keys with a prefix.
func (f *FaultInjector) Watch(ctx context.Context, request ports.WatchRequest) (ports.Watcher, error) {
	injected := f.nextFault(CallWatch, request.Prefix)
	if err := f.injectBefore(ctx, injected); err != nil {
		return nil, err
	}
	w, err := f.Store.Watch(ctx, request)
	if err != nil {
		return nil, err
	}
	if lost := injected.injectAfter(nil); lost != nil {
		return nil, closeWithError(w, lost)
	}
	return &faultyWatcher{faults: f, inner: w, prefix: request.Prefix, closed: make(chan struct{})}, nil
}

// closeWithError closes a watcher. It returns the error of Close if there is one,
// and err otherwise.
func closeWithError(w ports.Watcher, err error) error {
	if closeErr := w.Close(); closeErr != nil {
		return fault.From(closeErr)
	}
	return err
}

// holdCommit stores a transaction for [FaultInjector.ApplyLateCommits].
func (f *FaultInjector) holdCommit(txn ports.Txn) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lateCommits = append(f.lateCommits, txn)
}

// firstKey returns the key of the first comparison, or of the first operation if
// there is none.
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
