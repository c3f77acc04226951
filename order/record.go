package order

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

const recordPrefix = "bergamot/order/target/"

// Phase is the state of the last order to a target.
type Phase int

// Phases of an order.
const (
	// PhaseResolved means that no order is open: the outcome of the last one is
	// known, it was never sent, or an operator abandoned it.
	PhaseResolved Phase = iota // settled
	// PhaseOpen means that the issuer may have sent the order or may still send
	// it.
	PhaseOpen // open
)

// Record is the stored state of the last order to a target.
type Record struct {
	Target  string  `json:"target"`
	Phase   Phase   `json:"phase"`
	Issuer  string  `json:"issuer"` // Service.Self of the process that claimed the order.
	Command Command `json:"command"`
	// ClaimedMS is the time of the claim in Unix milliseconds, by the issuer's
	// clock.
	ClaimedMS int64 `json:"claimed_ms"`

	unchanged ports.Compare // That the store still holds this record, or still none.
}

func (r Record) claimed() time.Time { return time.UnixMilli(r.ClaimedMS) }

// withPhase returns a copy with another phase.
func (r Record) withPhase(phase Phase) Record {
	r.Phase = phase
	return r
}

// readRecord returns the record of a target. If none is stored, it returns a
// record with the target's name only.
func readRecord(ctx context.Context, store ports.Store, target string) (Record, error) {
	response, err := store.Range(ctx, ports.RangeRequest{Key: recordPrefix + target})
	if err != nil {
		return Record{}, err
	}
	if len(response.Entries) == 0 {
		return Record{Target: target, unchanged: ports.Compare{Key: recordPrefix + target}}, nil
	}
	return decodeRecord(response.Entries[0])
}

func decodeRecord(entry ports.KeyValue) (Record, error) {
	var r Record
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return Record{}, fault.New(fault.Internal, fault.NotRun, "decode %s: %s", entry.Key, err)
	}
	r.Target = strings.TrimPrefix(entry.Key, recordPrefix)
	r.unchanged = entry.Unchanged()
	return r, nil
}

// replace replaces the stored record by compare-and-swap. It returns false if
// another writer changed the record first; after an error the outcome is
// unknown.
func (r Record) replace(ctx context.Context, store ports.Store, next Record) (bool, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return false, fault.New(fault.Internal, fault.NotRun, "encode record: %s", err)
	}
	response, err := store.Commit(ctx, ports.Txn{
		Compares: []ports.Compare{r.unchanged},
		Then:     []ports.Op{ports.Put{Key: r.unchanged.Key, Value: value}},
	})
	return response.Succeeded, err
}
