package pool

import "time"

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

// pickHolder returns the emptiest target that may hold the call's prefix, if it
// is not much fuller than the best one.
func (p *Pool) pickHolder(now time.Time, c *call, best *member) *member {
	holders := p.prefixes.holders(c.Prefix)
	if holders == 0 {
		return best
	}
	holder := p.pickBy(now, c, func(m *member) float64 {
		if holders&(1<<m.slot) == 0 {
			return notHeld
		}
		return m.score(now)
	})
	if holders&(1<<holder.slot) == 0 || holder.score(now) > p.affinityBound()*best.score(now) {
		return best
	}
	return holder
}

const notHeld = 1e18 // Score of a target that does not hold the prefix.

func (p *Pool) affinityBound() float64 {
	if p.AffinityBound <= 0 {
		return defaultAffinityBound
	}
	return p.AffinityBound
}

// pickBy returns the target with room and the lowest score.
func (p *Pool) pickBy(now time.Time, c *call, score func(m *member) float64) *member {
	var best *member
	lowest := 0.0
	for _, m := range p.members {
		if m.free(now) <= 0 || p.avoids(c, m) {
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
