package ledger

import (
	"context"
	"strconv"

	"github.com/gravitational/trace"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

// historyAttempts limits the reads of a journal from which parts are dropped
// during the read.
const historyAttempts = 3

// History is the recorded history of one key.
type History struct {
	// Shard is the index of the key's shard.
	Shard int `json:"shard"`
	// FloorMS is the creation time, in Unix milliseconds, up to which records
	// may have been dropped.
	FloorMS int64 `json:"floor_ms"`
	// States are the states of the record that are still stored, oldest first.
	States []Record `json:"states"`
}

// ReadHistory reads the stored states of a record. It needs no running node and
// reads the whole journal of one shard. It returns a fault.Conflict error if
// parts are dropped during each of 3 reads.
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
		history, complete, err := readHistory(ctx, s, key, key.Shard(shards))
		if err != nil || complete {
			return history, err
		}
	}
	return History{}, fault.New(fault.Conflict, fault.MayHaveRun, "the journal changed during the reading")
}

// readHistory reads the journal once. The boolean is false if a part was
// dropped during the read, so that the history is incomplete.
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
		history.appendStates(key, records)
	}
	open, err := decodeRecords(h.Open)
	history.appendStates(key, open)
	return history, err == nil, err
}

func (h *History) appendStates(key Key, records []Record) {
	for _, r := range records {
		if r.Key == key {
			h.States = append(h.States, r)
		}
	}
}
