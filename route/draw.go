package route

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	defaultAffinityBound = 1.25
	spareLoad            = 0.5 // Load below which a pool is never too full.
)

// draw returns a candidate at random by capacity, another than the one given
// where there is one.
func (c *Chooser) draw(now time.Time, candidates []*entry, other *entry) *entry {
	total := 0.0
	for _, e := range candidates {
		if e != other {
			total += e.capacity(now)
		}
	}
	point := float64(c.Random.Uint64()>>11) / (1 << 53) * total
	last := other
	for _, e := range candidates {
		if e == other {
			continue
		}
		last = e
		point -= e.capacity(now)
		if point < 0 {
			break
		}
	}
	return last
}

// better returns the one of two pools where a call would end sooner.
func (c *Chooser) better(now time.Time, a, b *entry) *entry {
	first, second := c.end(now, a), c.end(now, b)
	if first == second {
		first, second = time.Duration(a.load(now)*float64(time.Second)), time.Duration(b.load(now)*float64(time.Second))
	}
	if second < first {
		return b
	}
	return a
}

// end returns the time until a call would have ended there.
func (c *Chooser) end(now time.Time, e *entry) time.Duration {
	return e.wait(now) + e.cost() + c.delay(e)
}

// delay returns the time on the network between this node and the pool and back.
func (c *Chooser) delay(e *entry) time.Duration {
	if e.spec.Domain == c.Domain {
		return 0
	}
	ms := c.config.Sections.Domains[e.spec.Domain].DelayMS
	return time.Duration(2 * ms * float64(time.Millisecond))
}

// holder returns the pool that calls with the prefix keep to: one whose summary
// names it, or else the one with the highest weighted hash.
func (c *Chooser) holder(prefix uint64, candidates []*entry) *entry {
	var best *entry
	highest, held := 0.0, false
	for _, e := range candidates {
		if held && !e.holds(prefix) {
			continue
		}
		h := rendezvous(prefix, e.spec.Name, float64(len(e.spec.Targets)))
		if best == nil || h > highest || (!held && e.holds(prefix)) {
			best, highest = e, h
			held = e.holds(prefix)
		}
	}
	return best
}

// rendezvous returns a hash by which a pool wins in proportion to its weight.
func rendezvous(prefix uint64, name string, weight float64) float64 {
	text := binary.LittleEndian.AppendUint64([]byte(name), prefix)
	unit := (float64(xxhash.Sum64(text)>>11) + 0.5) / (1 << 53)
	return -max(1, weight) / math.Log(unit)
}

// fits reports whether a pool chosen for its cache is not much fuller than the
// candidates are on average.
func (c *Chooser) fits(now time.Time, holder *entry, candidates []*entry) bool {
	if holder.load(now) <= spareLoad {
		return true
	}
	load, weight := 0.0, 0.0
	for _, e := range candidates {
		load += e.load(now) * e.capacity(now)
		weight += e.capacity(now)
	}
	bound := c.AffinityBound
	if bound <= 0 {
		bound = defaultAffinityBound
	}
	return holder.load(now) <= bound*load/weight
}
