package pool

import (
	"math"
	"time"

	"bergamotworks/note"
	"bergamotworks/warm"
)

// member is one target of the pool.
type member struct {
	name       string
	address    string
	hash       uint64
	bit        int // Bit in the prefix index.
	target     warm.Target
	open       bool   // New calls are allowed.
	configured bool   // The pool's configuration lists the target.
	exclusive  *call  // Exclusive call that runs on the target or has reserved it; nil if none.
	sequence   uint64 // Of the last cache event.
}

// advanceSequence records the sequence number of a cache event and reports whether
// no event was missed before it.
func (m *member) advanceSequence(sequence uint64) bool {
	consecutive := sequence == m.sequence+1
	m.sequence = sequence
	return consecutive
}

// free returns the number of further calls that the target may get.
func (m *member) free(now time.Time) int {
	if !m.open || m.exclusive != nil {
		return 0
	}
	return m.target.Free(now)
}

// readyForExclusive reports whether an exclusive call may start: the target is
// idle and has free capacity.
func (m *member) readyForExclusive(now time.Time) bool {
	return m.open && m.target.Occupied(now) == 0 && m.target.Free(now) > 0
}

// load returns the part of the limit that would be occupied with one more call.
func (m *member) load(now time.Time) float64 {
	return float64(m.target.Occupied(now)+1) / float64(max(1, m.target.Limit(now)))
}

// full reports whether one more call would occupy more than a part of the limit.
// A target without calls is never full.
func (m *member) full(now time.Time, part float64) bool {
	occupied := m.target.Occupied(now)
	return occupied > 0 && float64(occupied+1) > math.Ceil(part*float64(m.target.Limit(now)))
}

// missesDeadline reports whether a call that takes the target's recent latency
// would finish after a deadline.
func (m *member) missesDeadline(now, deadline time.Time) bool {
	return now.Add(m.target.Latency(now)).After(deadline)
}

// score returns the product of load and recent latency in seconds. A call finishes
// sooner on a target with a lower score.
func (m *member) score(now time.Time) float64 {
	return m.load(now) * m.target.Latency(now).Seconds()
}

func (m *member) releaseExclusive(c *call) {
	if m.exclusive == c {
		m.exclusive = nil
	}
}

// configure applies a configuration at now. A target that is allowed calls again
// or has moved to another address becomes cold.
func (m *member) configure(now time.Time, config note.Target, open bool, settings warm.Settings) {
	m.target.Configure(now, settings)
	returned := open && !m.open
	moved := m.address != "" && m.address != config.Address
	if m.address != "" && (returned || moved) {
		m.target.MarkCold(now, warm.Returned)
	}
	m.address = config.Address
	m.open = open
	m.configured = true
}
