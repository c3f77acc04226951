package route

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	defaultAffinityBound = 1.25 // Multiple of the mean load.
	lowLoad              = 0.5  // Load up to which the affinity bound does not apply.
)

// drawWeighted returns a random candidate other than excluded, weighted by
// capacity. It returns excluded, which may be nil, only if there is no other
// candidate.
func (c *Chooser) drawWeighted(now time.Time, candidates []*poolState, excluded *poolState) *poolState {
	total := 0.0
	for _, p := range candidates {
		if p != excluded {
			total += p.capacity(now)
		}
	}
	point := float64(c.Random.Uint64()>>11) / (1 << 53) * total
	last := excluded
	for _, p := range candidates {
		if p == excluded {
			continue
		}
		last = p
		point -= p.capacity(now)
		if point < 0 {
			break
		}
	}
	return last
}

// faster returns the one of two pools where a call is expected to finish sooner. If
// there is no difference, it returns the one with the lower load.
func (c *Chooser) faster(now time.Time, a, b *poolState) *poolState {
	first, second := c.completionTime(now, a), c.completionTime(now, b)
	if first == second {
		first, second = time.Duration(a.load(now)*float64(time.Second)), time.Duration(b.load(now)*float64(time.Second))
	}
	if second < first {
		return b
	}
	return a
}

// completionTime returns the expected time until a call to a pool finishes.
func (c *Chooser) completionTime(now time.Time, p *poolState) time.Duration {
	return p.wait(now) + p.latency() + c.roundTrip(p)
}

// roundTrip returns the network delay to a pool and back.
func (c *Chooser) roundTrip(p *poolState) time.Duration {
	if p.spec.Domain == c.Domain {
		return 0
	}
	ms := c.config.Sections.Domains[p.spec.Domain].DelayMS
	return time.Duration(2 * ms * float64(time.Millisecond))
}

// prefixPool returns the pool to which calls with a prefix go: one whose summary
// lists the prefix, or else the one that is first in weighted rendezvous hashing.
func (c *Chooser) prefixPool(prefix uint64, candidates []*poolState) *poolState {
	var best *poolState
	highest, held := 0.0, false
	for _, p := range candidates {
		if held && !p.holds(prefix) {
			continue
		}
		h := rendezvousScore(prefix, p.spec.Name, float64(len(p.spec.Targets)))
		if best == nil || h > highest || (!held && p.holds(prefix)) {
			best, highest = p, h
			held = p.holds(prefix)
		}
	}
	return best
}

// rendezvousScore returns the score of a pool for a prefix. The fraction of
// prefixes for which a pool has the highest score is proportional to its weight.
func rendezvousScore(prefix uint64, name string, weight float64) float64 {
	data := binary.LittleEndian.AppendUint64([]byte(name), prefix)
	unit := (float64(xxhash.Sum64(data)>>11) + 0.5) / (1 << 53)
	return -max(1, weight) / math.Log(unit)
}

// withinBound reports whether the load of a pool chosen for its prefix cache is at
// most lowLoad, or at most the affinity bound times the mean load of the
// candidates.
func (c *Chooser) withinBound(now time.Time, holder *poolState, candidates []*poolState) bool {
	if holder.load(now) <= lowLoad {
		return true
	}
	load, weight := 0.0, 0.0
	for _, p := range candidates {
		load += p.load(now) * p.capacity(now)
		weight += p.capacity(now)
	}
	bound := c.AffinityBound
	if bound <= 0 {
		bound = defaultAffinityBound
	}
	return holder.load(now) <= bound*load/weight
}
