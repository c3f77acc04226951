package ledger

import (
	"context"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"bergamotworks/ports"
)

// Waits while the number of shards is being settled.
const (
	settleTimeout = 2 * time.Second
	settleRetry   = 200 * time.Millisecond
)

// settleShards returns the number of shards of this deployment. The first node
// writes it; afterwards it never changes, because a key that moved to another
// shard would lose its record.
func (s *Service) settleShards(ctx context.Context) (int, error) {
	for attempt := 0; ; attempt++ {
		shards, err := s.tryShards(ctx)
		if err == nil && shards > 0 {
			return shards, nil
		}
		if err == nil && attempt == 0 {
			continue // Another node has just written it.
		}
		if err != nil {
			s.Log.WithError(err).Warn("read the number of ledger shards")
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-s.Clock.After(settleRetry):
		}
	}
}

// tryShards returns zero if the number must be read again.
func (s *Service) tryShards(ctx context.Context) (int, error) {
	ctx, stop := context.WithTimeout(ctx, settleTimeout)
	defer stop()
	found, err := s.Store.Range(ctx, ports.RangeRequest{Key: shardsKey})
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if len(found.Entries) > 0 {
		shards, err := strconv.Atoi(string(found.Entries[0].Value))
		return shards, trace.Wrap(err)
	}
	shards := s.Limits().LedgerShards
	answer, err := s.Store.Commit(ctx, ports.Txn{
		Compares: []ports.Compare{{Key: shardsKey}},
		Then:     []ports.Op{ports.Put{Key: shardsKey, Value: []byte(strconv.Itoa(shards))}},
	})
	if err != nil || !answer.Succeeded {
		return 0, trace.Wrap(err)
	}
	return shards, nil
}
