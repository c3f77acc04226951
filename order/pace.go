package order

import (
	"context"
	"encoding/json"
	"time"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

const (
	paceKey = "bergamot/order/pace"
	// maxReserveAhead bounds how far in the future a time slot can be reserved.
	maxReserveAhead    = time.Minute
	maxReserveAttempts = 4
)

// pace is the stored value by which all nodes together limit the rate of weight
// loads. Each load takes a time slot.
type pace struct {
	NextMS int64 `json:"next_ms"` // Unix milliseconds of the next free time slot.
}

// slot returns the next free time slot at or after now. It returns false if
// that is more than maxReserveAhead in the future. A stored time more than
// twice that far ahead is ignored, since only a node with a wrong clock can
// have written it.
func (p pace) slot(now time.Time) (time.Time, bool) {
	next := time.UnixMilli(p.NextMS)
	switch wait := next.Sub(now); {
	case wait <= 0, wait > 2*maxReserveAhead:
		return now, true
	case wait > maxReserveAhead:
		return time.Time{}, false
	}
	return next, true
}

// reserveLoadSlot reserves the next time slot for a load from the weight store;
// loadsPerMinute must be positive. It fails with fault.Busy if all time slots
// within a minute are taken, and with fault.Conflict if other nodes win all
// maxReserveAttempts compare-and-swaps. If the response to a successful one is
// lost, the time slot stays unused.
func reserveLoadSlot(ctx context.Context, store ports.Store, now time.Time, loadsPerMinute int) (time.Time, error) {
	for range maxReserveAttempts {
		p, stored, err := readPace(ctx, store)
		if err != nil {
			return time.Time{}, err
		}
		slot, ok := p.slot(now)
		if !ok {
			return time.Time{}, fault.New(fault.Busy, fault.NotRun, "all load slots of the next minute are reserved")
		}
		next := pace{NextMS: slot.Add(time.Minute / time.Duration(loadsPerMinute)).UnixMilli()}
		value, err := json.Marshal(next)
		if err != nil {
			return time.Time{}, fault.New(fault.Internal, fault.NotRun, "encode pace: %s", err)
		}
		response, err := store.Commit(ctx, ports.Txn{
			Compares: []ports.Compare{stored},
			Then:     []ports.Op{ports.Put{Key: paceKey, Value: value}},
		})
		if err != nil {
			return time.Time{}, err
		}
		if response.Succeeded {
			return slot, nil
		}
	}
	return time.Time{}, fault.New(fault.Conflict, fault.NotRun, "other nodes reserved the slots for loads first")
}

// readPace returns the pace and the condition that the store still holds it.
func readPace(ctx context.Context, store ports.Store) (pace, ports.Compare, error) {
	stored := ports.Compare{Key: paceKey}
	response, err := store.Range(ctx, ports.RangeRequest{Key: paceKey})
	if err != nil || len(response.Entries) == 0 {
		return pace{}, stored, err
	}
	var p pace
	entry := response.Entries[0]
	if err := json.Unmarshal(entry.Value, &p); err != nil {
		return pace{}, stored, fault.New(fault.Internal, fault.NotRun, "decode pace: %s", err)
	}
	return p, entry.Unchanged(), nil
}
