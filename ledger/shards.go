package ledger

import (
	"context"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"bergamotworks/ports"
)

// Timeout of one attempt to determine the number of shards, and the delay before
// the next.
const (
	shardsTimeout       = 2 * time.Second
	shardsRetryInterval = 200 * time.Millisecond
)

// determineShards returns the number of shards of this deployment. The first
// node writes it. It never changes afterwards, because a key that moved to
// another shard would lose its record.
func (s *Service) determineShards(ctx context.Context) (int, error) {
	for attempt := 0; ; attempt++ {
		shards, err := s.readOrCreateShards(ctx)
		if err == nil && shards > 0 {
			return shards, nil
		}
		if err == nil && attempt == 0 {
			continue // Another node has just written it.
		}
		if err != nil {
			s.Log.WithError(err).Warn("could not read or create the number of ledger shards; retrying")
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-s.Clock.After(shardsRetryInterval):
		}
	}
}

// readOrCreateShards reads the number of shards, or writes the configured one if
// there is none. It returns zero if another node has just written it, so that it
// must be read again.
func (s *Service) readOrCreateShards(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, shardsTimeout)
	defer cancel()
	found, err := s.Store.Range(ctx, ports.RangeRequest{Key: shardsKey})
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if len(found.Entries) > 0 {
		shards, err := strconv.Atoi(string(found.Entries[0].Value))
		return shards, trace.Wrap(err)
	}
	shards := s.Limits().LedgerShards
	response, err := s.Store.Commit(ctx, ports.Txn{
		Compares: []ports.Compare{{Key: shardsKey}},
		Then:     []ports.Op{ports.Put{Key: shardsKey, Value: []byte(strconv.Itoa(shards))}},
	})
	if err != nil || !response.Succeeded {
		return 0, trace.Wrap(err)
	}
	return shards, nil
}
