package pool

import (
	"slices"
	"time"
)

const defaultAffinityBound = 2.0 // Multiple of the mean load.

// pick returns a target with free capacity for a call, or nil. Only restricted
// calls avoid some of the targets.
func (p *Pool) pick(now time.Time, c *call) *member {
	switch p.Policy {
	case RoundRobin:
		return p.pickInTurn(now, c)
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

// pickHolder returns the target that most likely has the call's prefix in its
// cache: one that the prefix index lists, or else the first by rendezvous hash.
// It considers only targets whose load is within the affinity bound, and returns
// best if there are none.
func (p *Pool) pickHolder(now time.Time, c *call, best *member) *member {
	holders := p.prefixes.holders(c.Prefix)
	bound := p.affinityBound() * p.meanLoad(now)
	found := best
	held, highest := false, uint64(0)
	for _, m := range p.members {
		if m.free(now) <= 0 || p.avoids(c, m) || m.full(now, bound) || p.tooSlow(now, c, m) {
			continue
		}
		holds := holders&(1<<m.bit) != 0
		hash := rendezvousHash(m.hash, c.Prefix)
		if holds == held && hash > highest || holds && !held {
			found, held, highest = m, holds, hash
		}
	}
	return found
}

// meanLoad returns the part of the sum of all limits that would be occupied with
// one more call.
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

// tooSlow reports whether a target has recently been too slow for a call's
// deadline while another one, even without free capacity, is fast enough.
func (p *Pool) tooSlow(now time.Time, c *call, m *member) bool {
	if !m.missesDeadline(now, c.Deadline) || len(p.restricted) >= maxRestricted {
		return false
	}
	return slices.ContainsFunc(p.members, func(o *member) bool {
		return o.open && !o.missesDeadline(now, c.Deadline) && !slices.Contains(c.Avoid, o.name)
	})
}

// pickBy returns the target with free capacity and the lowest score, or nil.
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

// pickInTurn returns the next target with free capacity in round-robin order, or
// nil.
func (p *Pool) pickInTurn(now time.Time, c *call) *member {
	for range p.members {
		p.rotation = (p.rotation + 1) % len(p.members)
		m := p.members[p.rotation]
		if m.free(now) > 0 && !p.avoids(c, m) {
			return m
		}
	}
	return nil
}
