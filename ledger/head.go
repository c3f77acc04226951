package ledger

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// Prefix is the prefix of all store keys that the ledger uses.
const Prefix = "bergamot/ledger/"

// shardsKey is the store key of the number of shards, which is written once per
// deployment.
const shardsKey = Prefix + "shards"

// head is the value that every commit of a shard replaces by compare-and-swap.
type head struct {
	_ struct{} `cbor:",toarray"`
	// First is the number of the oldest sealed part.
	First int64
	// Next is the number of the open part, under which it will be sealed.
	Next int64
	// FloorMS is the floor: the creation time, in Unix milliseconds, up to which
	// records may have been dropped by retention. Keys that are not newer are
	// rejected.
	FloorMS int64
	// Open holds the encoded records of the open part, oldest first.
	Open []cbor.RawMessage
}

func headKey(shard int) string {
	return fmt.Sprintf("%s%d/head", Prefix, shard)
}

func partKey(shard int, number int64) string {
	return fmt.Sprintf("%s%d/part/%012d", Prefix, shard, number)
}

func resultKey(shard int, token string) string {
	return fmt.Sprintf("%s%d/result/%s", Prefix, shard, token)
}

func (h head) encode() ([]byte, error) {
	value, err := cbor.Marshal(h)
	return value, trace.Wrap(err)
}

func decodeHead(value []byte) (head, error) {
	var h head
	err := cbor.Unmarshal(value, &h)
	return h, trace.Wrap(err)
}

func decodeRecords(raw []cbor.RawMessage) ([]Record, error) {
	records := make([]Record, len(raw))
	for i, r := range raw {
		if err := cbor.Unmarshal(r, &records[i]); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return records, nil
}

func decodePart(value []byte) ([]Record, error) {
	var records []Record
	err := cbor.Unmarshal(value, &records)
	return records, trace.Wrap(err)
}
