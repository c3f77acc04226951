package ledger

import (
	"context"
	"strconv"

	"github.com/gravitational/trace"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

// historyAttempts bounds the readings of a journal that changes meanwhile.
const historyAttempts = 3

// History is what the store holds about one key.
type History struct {
	// Shard is the number of the key's shard.
	Shard int `json:"shard"`
	// FloorMS is the creation time, in Unix milliseconds, up to which records
	// may have been dropped.
	FloorMS int64 `json:"floor_ms"`
	// States are the record's kept states, oldest first.
	States []Record `json:"states"`
}

// ReadHistory reads the kept states of a record from the store. It needs no
// running node. It reads the whole journal of one shard.
func ReadHistory(ctx context.Context, s ports.Store, key Key) (History, error) {
	if err := key.check(); err != nil {
		return History{}, err
	}
	found, err := s.Range(ctx, ports.RangeRequest{Key: shardsKey})
	if err != nil {
		return History{}, trace.Wrap(err)
	}
	if len(found.Entries) == 0 {
		return History{}, fault.New(fault.NotFound, fault.MayHaveRun, "the store holds no ledger")
	}
	shards, err := strconv.Atoi(string(found.Entries[0].Value))
	if err != nil {
		return History{}, trace.Wrap(err)
	}
	for range historyAttempts {
		history, whole, err := readHistory(ctx, s, key, key.Shard(shards))
		if err != nil || whole {
			return history, err
		}
	}
	return History{}, fault.New(fault.Conflict, fault.MayHaveRun, "the journal changed during the reading")
}

// readHistory reports whether no part was dropped during the reading.
func readHistory(ctx context.Context, s ports.Store, key Key, shard int) (History, bool, error) {
	history := History{Shard: shard}
	found, err := s.Range(ctx, ports.RangeRequest{Key: headKey(shard)})
	if err != nil || len(found.Entries) == 0 {
		return history, true, trace.Wrap(err)
	}
	h, err := decodeHead(found.Entries[0].Value)
	if err != nil {
		return history, false, err
	}
	history.FloorMS = h.FloorMS
	for n := h.First; n < h.Next; n++ {
		part, err := s.Range(ctx, ports.RangeRequest{Key: partKey(shard, n)})
		if err != nil || len(part.Entries) == 0 {
			return history, false, trace.Wrap(err)
		}
		records, err := decodePart(part.Entries[0].Value)
		if err != nil {
			return history, false, err
		}
		history.add(key, records)
	}
	open, err := decodeRecords(h.Open)
	history.add(key, open)
	return history, err == nil, err
}

func (h *History) add(key Key, records []Record) {
	for _, r := range records {
		if r.Key == key {
			h.States = append(h.States, r)
		}
	}
}
