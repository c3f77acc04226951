package node

import (
	"context"
	"sync/atomic"
	"time"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

// monitoredStore is a store that records when it last responded.
type monitoredStore struct {
	ports.Store
	clock     ports.Clock
	responded atomic.Int64 // Unix time in nanoseconds.
}

const (
	reachableTimeout = 3 * time.Second // Time without a response after which the store is considered unreachable.
	probeAfter       = 2 * time.Second // Time without a response after which the store is probed.
	probeTimeout     = 1 * time.Second
	probeKey         = "bergamot/probe"
)

func (s *monitoredStore) record(err error) {
	if err == nil {
		s.responded.Store(s.clock.Now().UnixNano())
	}
}

// sinceResponse returns the time since the last response.
func (s *monitoredStore) sinceResponse() time.Duration {
	return s.clock.Now().Sub(time.Unix(0, s.responded.Load()))
}

// reachable reports whether the store has responded within reachableTimeout.
func (s *monitoredStore) reachable() bool { return s.sinceResponse() < reachableTimeout }

// probe reads a key that need not exist, unless the store has responded within
// probeAfter.
func (s *monitoredStore) probe(ctx context.Context) {
	if s.sinceResponse() < probeAfter {
		return
	}
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, _ = s.Range(limited, ports.RangeRequest{Key: probeKey})
}

// Range reads keys and records whether the store responded.
func (s *monitoredStore) Range(ctx context.Context, request ports.RangeRequest) (ports.RangeResponse, error) {
	response, err := s.Store.Range(ctx, request)
	s.record(err)
	return response, err
}

// Commit applies a transaction and records whether the store responded.
func (s *monitoredStore) Commit(ctx context.Context, txn ports.Txn) (ports.TxnResponse, error) {
	response, err := s.Store.Commit(ctx, txn)
	s.record(err)
	return response, err
}

// errNotReady returns the error that a node responds with while it accepts no
// new work. The client may retry after notReadyRetryAfter.
func errNotReady(reason string) error {
	return fault.New(fault.Unavailable, fault.NotRun, "%s", reason).WithRetryAfter(notReadyRetryAfter)
}

const notReadyRetryAfter = 500 * time.Millisecond
