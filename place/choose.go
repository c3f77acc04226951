package place

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotworks/member"
	"bergamotworks/site"
)

const (
	// farPenalty is what a target in another failure domain is worth less, in
	// calls in flight.
	farPenalty = 0.7
	// imbalance is how many times the mean load a target with affinity may
	// have, beyond spareLoad calls.
	imbalance = 1.5
	spareLoad = 6.0
	// turnShare is the part of a rate below one request per second that is used,
	// since nodes hear of a cold target up to a second apart.
	turnShare = 0.75
)

// Criteria describes a request that looks for a target.
type Criteria struct {
	Targets  []site.Target // Those that take new work.
	Affinity uint64        // Hash of what the request shares with others; zero if nothing.
	Domain   string        // Failure domain of this node.
	Tried    []string      // Targets that had this request.
	// ColdRate is the number of requests per second that this node may send to
	// a cold target, and ColdPhase its place among the nodes, from 0 to 1, by which
	// rates below one request per second are spread.
	ColdRate  float64
	ColdPhase float64
}

// Choose returns the target for a request, or false if none takes it now.
func (t *Table) Choose(now time.Time, n Criteria) (site.Target, bool) {
	open := t.open(now, n, true)
	if len(open) == 0 {
		open = t.open(now, n, false)
	}
	if len(open) == 0 {
		return site.Target{}, false
	}
	var chosen site.Target
	if n.Affinity != 0 {
		chosen = t.byAffinity(now, n, open)
	} else {
		chosen = t.leastBusy(now, n, open)
	}
	if t.failing(chosen, n.Targets) {
		t.state(chosen).probed = now
	}
	return chosen, true
}

// open returns the targets that may have the request. A choosy call leaves out
// those that rest or fail often.
func (t *Table) open(now time.Time, n Criteria, choosy bool) []site.Target {
	var open []site.Target
	for _, g := range n.Targets {
		k := t.state(g)
		if slices.Contains(n.Tried, g.ID) || now.Before(g.ColdUntil) && !k.bears(now, n) {
			continue
		}
		if choosy && (now.Before(k.restUntil) || t.failing(g, n.Targets) && now.Sub(k.probed) < probeEvery) {
			continue
		}
		open = append(open, g)
	}
	return open
}

// bears reports whether a cold target may have one more request. It answers for
// a target that many nodes find at once: below one request per second each waits
// for its turn first.
func (k *state) bears(now time.Time, n Criteria) bool {
	if n.ColdRate >= 1 {
		return float64(len(k.recent(now))+1) <= n.ColdRate
	}
	if n.ColdRate <= 0 {
		return false
	}
	if k.coldFrom.IsZero() {
		k.coldFrom = now
	}
	spacing := time.Duration(float64(coldWindow) / (turnShare * n.ColdRate))
	turn := k.coldFrom.Add(time.Duration(n.ColdPhase * float64(spacing)))
	return !now.Before(turn) && now.Sub(k.lastSent) >= spacing
}

// failing reports whether a target fails far more often than the others.
func (t *Table) failing(g site.Target, all []site.Target) bool {
	own := t.state(g).health.failures
	if own < failingExcess || len(all) < 2 {
		return false
	}
	sum := 0.0
	for _, o := range all {
		if o.ID != g.ID {
			sum += t.state(o).health.failures
		}
	}
	return own > sum/float64(len(all)-1)+failingExcess
}

// load returns the calls at a target: the own ones, or all that it has told of
// if they are more.
func (t *Table) load(now time.Time, g site.Target) float64 {
	k := t.state(g)
	load := float64(k.inFlight)
	if now.Sub(k.toldAt) < loadAge {
		load = max(load, float64(k.told.Running+k.told.Waiting))
	}
	return load
}

func (t *Table) byAffinity(now time.Time, n Criteria, open []site.Target) site.Target {
	total := 0.0
	for _, g := range open {
		total += t.load(now, g)
	}
	bound := imbalance*total/float64(len(open)) + spareLoad
	ranked := slices.Clone(open)
	slices.SortFunc(ranked, func(a, b site.Target) int {
		if rank(n.Affinity, a) > rank(n.Affinity, b) {
			return -1
		}
		return 1
	})
	for _, g := range ranked {
		if t.load(now, g) <= bound {
			return g
		}
	}
	return ranked[0]
}

// rank returns the place of a target for an affinity; the highest goes first.
func rank(affinity uint64, g site.Target) uint64 {
	return member.Score(affinity, xxhash.Sum64String(g.ID))
}

func (t *Table) leastBusy(now time.Time, n Criteria, open []site.Target) site.Target {
	best := open[0]
	lowest := t.cost(now, n, best)
	for _, g := range open[1:] {
		if c := t.cost(now, n, g); c < lowest {
			best, lowest = g, c
		}
	}
	return best
}

func (t *Table) cost(now time.Time, n Criteria, g site.Target) float64 {
	cost := t.load(now, g)
	if g.Domain != n.Domain {
		cost += farPenalty
	}
	return cost
}
