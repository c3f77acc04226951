package pool

import (
	"slices"
	"time"
)

const defaultAffinityBound = 2.0

// pick returns a target with room for a call, or nil. Calls from the queue take
// any target with room; only calls kept apart avoid some.
func (p *Pool) pick(now time.Time, c *call) *member {
	switch p.Policy {
	case RoundRobin:
		return p.pickNext(now, c)
	case LeastOutstanding:
		return p.pickBy(now, c, func(m *member) float64 { return float64(m.target.Running()) })
	case Owned, SplitLimits:
	}
	best := p.pickBy(now, c, func(m *member) float64 { return m.score(now) })
	if best == nil || c.Prefix == 0 {
		return best
	}
	return p.pickHolder(now, c, best)
}

// pickHolder returns the target, among those not much fuller than the average,
// that is likeliest to hold the call's prefix: one known to, else the first by
// hash. It returns best if all are too full.
func (p *Pool) pickHolder(now time.Time, c *call, best *member) *member {
	holders := p.prefixes.holders(c.Prefix)
	bound := p.affinityBound() * p.meanLoad(now)
	found := best
	held, highest := false, uint64(0)
	for _, m := range p.members {
		if m.free(now) <= 0 || p.avoids(c, m) || m.full(now, bound) || p.tooSlow(now, c, m) {
			continue
		}
		holds := holders&(1<<m.slot) != 0
		hash := prefixHash(m.hash, c.Prefix)
		if holds == held && hash > highest || holds && !held {
			found, held, highest = m, holds, hash
		}
	}
	return found
}

// meanLoad returns the part of all limits that would be taken with one more call.
func (p *Pool) meanLoad(now time.Time) float64 {
	taken, limit := 1, 0
	for _, m := range p.members {
		if m.open {
			taken += m.target.Occupied(now)
			limit += m.target.Limit(now)
		}
	}
	return float64(taken) / float64(max(1, limit))
}

func (p *Pool) affinityBound() float64 {
	if p.AffinityBound <= 0 {
		return defaultAffinityBound
	}
	return p.AffinityBound
}

// tooSlow reports whether a target has lately been too slow for a call, while
// another one, perhaps without room at present, is fast enough.
func (p *Pool) tooSlow(now time.Time, c *call, m *member) bool {
	if !m.slower(now, c.Deadline) || len(p.apart) >= maxApart {
		return false
	}
	return slices.ContainsFunc(p.members, func(o *member) bool {
		return o.open && !o.slower(now, c.Deadline) && !slices.Contains(c.Avoid, o.name)
	})
}

// pickBy returns the target with room and the lowest score.
func (p *Pool) pickBy(now time.Time, c *call, score func(m *member) float64) *member {
	var best *member
	lowest := 0.0
	for _, m := range p.members {
		if m.free(now) <= 0 || p.avoids(c, m) || p.tooSlow(now, c, m) {
			continue
		}
		if s := score(m); best == nil || s < lowest {
			best, lowest = m, s
		}
	}
	return best
}

// pickNext returns the next target with room in turn.
func (p *Pool) pickNext(now time.Time, c *call) *member {
	for range p.members {
		p.rotation = (p.rotation + 1) % len(p.members)
		m := p.members[p.rotation]
		if m.free(now) > 0 && !p.avoids(c, m) {
			return m
		}
	}
	return nil
}
