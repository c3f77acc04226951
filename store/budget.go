package store

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

const (
	defaultBudgetWait  = time.Second
	defaultBudgetBurst = 20
)

// Budget is a [ports.Store] that limits the rate of its calls with a token bucket
// and counts them by kind. A call that exceeds the rate waits. A call that would
// wait longer than MaxWait or its deadline is rejected with fault.Busy and the
// verdict NotRun. If the context of a call ends while it waits, the error has the
// verdict NotRun too. A watch counts as one call, when it is opened.
//
// Store must be set before the first call. If Metrics is nil, nothing is counted.
type Budget struct {
	Store          ports.Store
	Clock          ports.Clock
	Metrics        *metrics.Set
	CallsPerSecond float64       // Zero means no limit. [Budget.SetRate] changes it later.
	Burst          int           // Zero means 20 calls.
	MaxWait        time.Duration // Zero means 1 s.

	once    sync.Once
	limiter *rate.Limiter
	watches atomic.Int64
}

// SetRate changes the limit in calls per second; zero means no limit.
func (b *Budget) SetRate(callsPerSecond float64) {
	b.init()
	b.limiter.SetLimitAt(b.now(), limitOf(callsPerSecond))
}

// Range returns one key, or all keys with a prefix in key order.
func (b *Budget) Range(ctx context.Context, request ports.RangeRequest) (ports.RangeResponse, error) {
	if err := b.admit(ctx, CallRange); err != nil {
		return ports.RangeResponse{}, err
	}
	response, err := b.Store.Range(ctx, request)
	size := 0
	for _, e := range response.Entries {
		size += len(e.Value)
	}
	b.addCounter("store_read_bytes_total", size)
	return response, b.countCall(CallRange, err)
}

// Commit applies the operations if all comparisons hold.
func (b *Budget) Commit(ctx context.Context, txn ports.Txn) (ports.TxnResponse, error) {
	if err := b.admit(ctx, CallCommit); err != nil {
		return ports.TxnResponse{}, err
	}
	response, err := b.Store.Commit(ctx, txn)
	size := 0
	for _, o := range txn.Then {
		if p, ok := o.(ports.Put); ok {
			size += len(p.Value)
		}
	}
	b.addCounter("store_written_bytes_total", size)
	return response, b.countCall(CallCommit, err)
}

// Grant creates a lease.
func (b *Budget) Grant(ctx context.Context, ttl time.Duration) (ports.LeaseID, error) {
	if err := b.admit(ctx, CallGrant); err != nil {
		return 0, err
	}
	lease, err := b.Store.Grant(ctx, ttl)
	return lease, b.countCall(CallGrant, err)
}

// KeepAlive renews a lease.
func (b *Budget) KeepAlive(ctx context.Context, lease ports.LeaseID) error {
	if err := b.admit(ctx, CallKeepAlive); err != nil {
		return err
	}
	return b.countCall(CallKeepAlive, b.Store.KeepAlive(ctx, lease))
}

// Revoke ends a lease and deletes its keys.
func (b *Budget) Revoke(ctx context.Context, lease ports.LeaseID) error {
	if err := b.admit(ctx, CallRevoke); err != nil {
		return err
	}
	return b.countCall(CallRevoke, b.Store.Revoke(ctx, lease))
}

// Watch reports the changes of the keys with a prefix.
func (b *Budget) Watch(ctx context.Context, request ports.WatchRequest) (ports.Watcher, error) {
	if err := b.admit(ctx, CallWatch); err != nil {
		return nil, err
	}
	w, err := b.Store.Watch(ctx, request)
	if err := b.countCall(CallWatch, err); err != nil {
		return nil, err
	}
	b.watches.Add(1)
	return &countedWatcher{Watcher: w, watches: &b.watches}, nil
}

// countedWatcher is a watch that is counted in watches until it is closed.
type countedWatcher struct {
	ports.Watcher
	once    sync.Once
	watches *atomic.Int64
}

// Close cancels the watch.
func (w *countedWatcher) Close() error {
	w.once.Do(func() { w.watches.Add(-1) })
	return w.Watcher.Close()
}

// admit waits until the rate allows the call.
func (b *Budget) admit(ctx context.Context, call CallKind) error {
	b.init()
	now := b.now()
	reservation := b.limiter.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait == 0 {
		return nil
	}
	if wait > b.maxWait(ctx, now) {
		reservation.CancelAt(now)
		b.addCounter(fmt.Sprintf("store_calls_refused_total{call=%q}", call), 1)
		return fault.New(fault.Busy, fault.NotRun, "store call budget is spent").WithRetryAfter(wait)
	}
	select {
	case <-clockOf(b.Clock).After(wait):
		return nil
	case <-ctx.Done():
		reservation.CancelAt(b.now())
		return notSentError(ctx.Err())
	}
}

// maxWait returns the maximum time that a call may wait: MaxWait or the time
// until its deadline, whichever is shorter.
func (b *Budget) maxWait(ctx context.Context, now time.Time) time.Duration {
	limit := b.MaxWait
	if limit == 0 {
		limit = defaultBudgetWait
	}
	if deadline, ok := ctx.Deadline(); ok {
		limit = min(limit, deadline.Sub(now))
	}
	return limit
}

func (b *Budget) init() {
	b.once.Do(func() {
		burst := b.Burst
		if burst == 0 {
			burst = defaultBudgetBurst
		}
		b.limiter = rate.NewLimiter(limitOf(b.CallsPerSecond), burst)
		if b.Metrics != nil {
			b.Metrics.GetOrCreateGauge("store_watches", func() float64 { return float64(b.watches.Load()) })
		}
	})
}

// countCall counts a call that was sent, and its error. It returns err.
func (b *Budget) countCall(call CallKind, err error) error {
	b.addCounter(fmt.Sprintf("store_calls_total{call=%q}", call), 1)
	if err != nil {
		b.addCounter(fmt.Sprintf("store_call_errors_total{call=%q,kind=%q}", call, fault.From(err).Kind), 1)
	}
	return err
}

func (b *Budget) addCounter(name string, count int) {
	if b.Metrics != nil {
		b.Metrics.GetOrCreateCounter(name).Add(count)
	}
}

func (b *Budget) now() time.Time { return clockOf(b.Clock).Now() }

func limitOf(callsPerSecond float64) rate.Limit {
	if callsPerSecond <= 0 {
		return rate.Inf
	}
	return rate.Limit(callsPerSecond)
}
