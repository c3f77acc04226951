package pool

import (
	"math"
	"time"

	"bergamotworks/note"
	"bergamotworks/warm"
)

// member is one target of the pool.
type member struct {
	name    string
	address string
	hash    uint64
	slot    int // Bit in the prefix index.
	target  warm.Target
	open    bool  // New work is allowed.
	listed  bool  // The target belongs to the pool's configuration.
	guest   *call // Call that has the target, or waits to have it, for itself.
	// sequence is the number of the last cache event.
	sequence uint64
}

// follows takes in the number of a cache event and reports whether none was
// missed before it.
func (m *member) follows(sequence uint64) bool {
	next := sequence == m.sequence+1
	m.sequence = sequence
	return next
}

// free returns how many further calls the target may get.
func (m *member) free(now time.Time) int {
	if !m.open || m.guest != nil {
		return 0
	}
	return m.target.Free(now)
}

// room reports whether the guest may start: nothing else is in flight.
func (m *member) room(now time.Time) bool {
	return m.open && m.target.Occupied(now) == 0 && m.target.Free(now) > 0
}

// load returns how full the target would be with one more call.
func (m *member) load(now time.Time) float64 {
	return float64(m.target.Occupied(now)+1) / float64(max(1, m.target.Limit(now)))
}

// full reports whether one more call would take more than a part of the limit;
// one call alone is never too much.
func (m *member) full(now time.Time, part float64) bool {
	occupied := m.target.Occupied(now)
	return occupied > 0 && float64(occupied+1) > math.Ceil(part*float64(m.target.Limit(now)))
}

// slower reports whether the target has lately been too slow for a deadline.
func (m *member) slower(now, deadline time.Time) bool {
	return now.Add(m.target.Latency(now)).After(deadline)
}

// score weighs load by latency: the lower, the sooner a call ends.
func (m *member) score(now time.Time) float64 {
	return m.load(now) * m.target.Latency(now).Seconds()
}

func (m *member) release(c *call) {
	if m.guest == c {
		m.guest = nil
	}
}

// configure brings one target up to its configuration at now.
func (m *member) configure(now time.Time, config note.Target, open bool, settings warm.Settings) {
	m.target.Configure(now, settings)
	returned := open && !m.open
	moved := m.address != "" && m.address != config.Address
	if m.address != "" && (returned || moved) {
		m.target.MarkCold(now, warm.Returned)
	}
	m.address = config.Address
	m.open = open
	m.listed = true
}
