package node

import (
	"context"
	"sync/atomic"
	"time"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

// reach is a store that remembers when it last answered.
type reach struct {
	ports.Store
	clock    ports.Clock
	answered atomic.Int64 // Unix nanoseconds.
}

const (
	reachLimit    = 3 * time.Second // Time without an answer after which the store counts as unreachable.
	probeAfter    = 2 * time.Second
	probeTimeout  = 1 * time.Second
	reachProbeKey = "bergamot/probe"
)

func (r *reach) note(err error) {
	if err == nil {
		r.answered.Store(r.clock.Now().UnixNano())
	}
}

// age returns the time since the last answer.
func (r *reach) age() time.Duration {
	return r.clock.Now().Sub(time.Unix(0, r.answered.Load()))
}

// reachable reports whether the store has answered lately.
func (r *reach) reachable() bool { return r.age() < reachLimit }

// probe asks the store for a key that need not exist, unless it has answered lately.
func (r *reach) probe(ctx context.Context) {
	if r.age() < probeAfter {
		return
	}
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, _ = r.Range(limited, ports.RangeRequest{Key: reachProbeKey})
}

// Range reads keys.
func (r *reach) Range(ctx context.Context, request ports.RangeRequest) (ports.RangeResponse, error) {
	response, err := r.Store.Range(ctx, request)
	r.note(err)
	return response, err
}

// Commit applies a transaction.
func (r *reach) Commit(ctx context.Context, txn ports.Txn) (ports.TxnResponse, error) {
	response, err := r.Store.Commit(ctx, txn)
	r.note(err)
	return response, err
}

// errNotReady says why a node takes no new work.
func errNotReady(reason string) error {
	return fault.New(fault.Unavailable, fault.NotRun, "%s", reason).WithRetryAfter(notReadyWait)
}

const notReadyWait = 500 * time.Millisecond
