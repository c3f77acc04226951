package pool

import (
	"math"
	"time"

	"bergamotworks/note"
	"bergamotworks/warm"
)

// poolTarget is one target of the pool.
type poolTarget struct {
	name       string
	address    string
	hash       uint64 // Hash of the name, for rendezvous hashing.
	bit        int    // Bit in the prefix index.
	admission  warm.Target
	accepting  bool   // New calls are allowed.
	configured bool   // The pool's configuration lists the target.
	exclusive  *call  // Exclusive call that runs on the target or has reserved it; nil if none.
	sequence   uint64 // Sequence number of the last cache report.
}

// advanceSequence records the sequence number of a cache report and reports whether
// none was missed before it.
func (t *poolTarget) advanceSequence(sequence uint64) bool {
	consecutive := sequence == t.sequence+1
	t.sequence = sequence
	return consecutive
}

// freeSlots returns the number of further calls that the target may get, other
// than the exclusive call that has reserved it.
func (t *poolTarget) freeSlots(now time.Time) int {
	if !t.accepting || t.exclusive != nil {
		return 0
	}
	return t.admission.FreeSlots(now)
}

// readyForExclusive reports whether an exclusive call may start: the target is
// idle and has a free slot.
func (t *poolTarget) readyForExclusive(now time.Time) bool {
	return t.accepting && t.admission.Occupied(now) == 0 && t.admission.FreeSlots(now) > 0
}

// load returns the fraction of the limit that would be occupied with one more call.
// It may be above 1. A limit of zero counts as one.
func (t *poolTarget) load(now time.Time) float64 {
	return float64(t.admission.Occupied(now)+1) / float64(max(1, t.admission.Limit(now)))
}

// full reports whether one more call would occupy more than the given fraction of
// the limit, rounded up to whole calls. A target without calls is never full.
func (t *poolTarget) full(now time.Time, fraction float64) bool {
	occupied := t.admission.Occupied(now)
	return occupied > 0 && float64(occupied+1) > math.Ceil(fraction*float64(t.admission.Limit(now)))
}

// missesDeadline reports whether a call that takes the target's recent latency
// would finish after a deadline.
func (t *poolTarget) missesDeadline(now, deadline time.Time) bool {
	return now.Add(t.admission.Latency(now)).After(deadline)
}

// score returns the product of load and recent latency in seconds. A call finishes
// sooner on a target with a lower score.
func (t *poolTarget) score(now time.Time) float64 {
	return t.load(now) * t.admission.Latency(now).Seconds()
}

func (t *poolTarget) releaseExclusive(c *call) {
	if t.exclusive == c {
		t.exclusive = nil
	}
}

// configure applies a configuration at now. A target that accepts calls again or
// has another address becomes cold.
func (t *poolTarget) configure(now time.Time, config note.Target, accepting bool, settings warm.Settings) {
	t.admission.Configure(now, settings)
	returned := accepting && !t.accepting
	moved := t.address != "" && t.address != config.Address
	if t.address != "" && (returned || moved) {
		t.admission.MarkCold(now, warm.Returned)
	}
	t.address = config.Address
	t.accepting = accepting
	t.configured = true
}
