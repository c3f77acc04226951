package pool

import (
	"slices"
	"time"
)

const defaultAffinityBound = 2.0 // Multiple of the mean load.

// pick returns a target with a free slot for a call, or nil. Only restricted
// calls avoid some of the targets.
func (p *Pool) pick(now time.Time, c *call) *poolTarget {
	switch p.Policy {
	case RoundRobin:
		return p.pickInTurn(now, c)
	case LeastOutstanding:
		return p.pickBy(now, c, func(t *poolTarget) float64 { return float64(t.admission.Running()) })
	case Owned, SplitLimits:
	}
	best := p.pickBy(now, c, func(t *poolTarget) float64 { return t.score(now) })
	if best == nil || c.Prefix == 0 {
		return best
	}
	return p.pickHolder(now, c, best)
}

// pickHolder returns the target that most likely has the call's prefix in its
// cache: one that the prefix index lists, or else the first by rendezvous hash.
// It considers only targets whose load is within the affinity bound, and returns
// best if there are none.
func (p *Pool) pickHolder(now time.Time, c *call, best *poolTarget) *poolTarget {
	holders := p.prefixes.holders(c.Prefix)
	bound := p.affinityBound() * p.meanLoad(now)
	found := best
	held, highest := false, uint64(0)
	for _, t := range p.targets {
		if t.freeSlots(now) <= 0 || p.avoids(c, t) || t.full(now, bound) || p.tooSlow(now, c, t) {
			continue
		}
		holds := holders&(1<<t.bit) != 0
		hash := rendezvousHash(t.hash, c.Prefix)
		if holds == held && hash > highest || holds && !held {
			found, held, highest = t, holds, hash
		}
	}
	return found
}

// meanLoad returns the fraction of the sum of all limits that would be occupied
// with one more call. It may be above 1. A sum of zero counts as one.
func (p *Pool) meanLoad(now time.Time) float64 {
	taken, limit := 1, 0
	for _, t := range p.targets {
		if t.accepting {
			taken += t.admission.Occupied(now)
			limit += t.admission.Limit(now)
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
// deadline while another one, even without a free slot, is fast enough.
func (p *Pool) tooSlow(now time.Time, c *call, t *poolTarget) bool {
	if !t.missesDeadline(now, c.Deadline) || len(p.restricted) >= maxRestricted {
		return false
	}
	return slices.ContainsFunc(p.targets, func(o *poolTarget) bool {
		return o.accepting && !o.missesDeadline(now, c.Deadline) && !slices.Contains(c.Avoid, o.name)
	})
}

// pickBy returns the target with the lowest score among those with a free slot, or
// nil.
func (p *Pool) pickBy(now time.Time, c *call, score func(t *poolTarget) float64) *poolTarget {
	var best *poolTarget
	lowest := 0.0
	for _, t := range p.targets {
		if t.freeSlots(now) <= 0 || p.avoids(c, t) || p.tooSlow(now, c, t) {
			continue
		}
		if s := score(t); best == nil || s < lowest {
			best, lowest = t, s
		}
	}
	return best
}

// pickInTurn returns the next target with a free slot in round-robin order, or nil.
func (p *Pool) pickInTurn(now time.Time, c *call) *poolTarget {
	for range p.targets {
		p.rotation = (p.rotation + 1) % len(p.targets)
		t := p.targets[p.rotation]
		if t.freeSlots(now) > 0 && !p.avoids(c, t) {
			return t
		}
	}
	return nil
}
