package place

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotworks/member"
	"bergamotworks/site"
)

const (
	// remotePenalty is added to the load of targets in other failure domains,
	// in calls in flight.
	remotePenalty = 0.7
	// maxLoadFactor and loadAllowance bound the load of a target that is
	// chosen by affinity: maxLoadFactor times the mean load of the candidates
	// plus loadAllowance calls.
	maxLoadFactor = 1.5
	loadAllowance = 6.0
	// coldRateShare is the share of a rate below one request per second that
	// is used, since nodes may observe a cold target up to a second apart.
	coldRateShare = 0.75
)

// Criteria describes the request for which a target is chosen.
type Criteria struct {
	Targets  []site.Target // Targets that accept new work.
	Affinity uint64        // Hash of the prompt parts that the request shares with others; zero if none.
	Domain   string        // Failure domain of this node.
	Tried    []string      // IDs of targets that have already had this request.
	// ColdRate is the number of requests per second that this node may send
	// to a cold target. ColdPhase is the position of this node among all
	// nodes, from 0 to 1; it spreads the requests of different nodes over
	// time if the rate is below one per second.
	ColdRate  float64
	ColdPhase float64
}

// Choose returns the target for a request, or false if none can take it now.
// Targets in backoff are used only if there are no others.
func (t *Table) Choose(now time.Time, n Criteria) (site.Target, bool) {
	list := t.candidates(now, n, true)
	if len(list) == 0 {
		list = t.candidates(now, n, false)
	}
	if len(list) == 0 {
		return site.Target{}, false
	}
	var chosen site.Target
	if n.Affinity != 0 {
		chosen = t.byAffinity(now, n, list)
	} else {
		chosen = t.leastLoaded(now, n, list)
	}
	if t.failing(chosen, n.Targets) {
		t.state(chosen).probedAt = now
	}
	return chosen, true
}

// candidates returns the targets that can take the request. If strict, it
// omits targets that are in backoff and, between probes, those that fail
// often.
func (t *Table) candidates(now time.Time, n Criteria, strict bool) []site.Target {
	var list []site.Target
	for _, g := range n.Targets {
		k := t.state(g)
		if slices.Contains(n.Tried, g.ID) || now.Before(g.ColdUntil) && !k.acceptsCold(now, n) {
			continue
		}
		if strict && (now.Before(k.backoffUntil) || t.failing(g, n.Targets) && now.Sub(k.probedAt) < probeInterval) {
			continue
		}
		list = append(list, g)
	}
	return list
}

// acceptsCold reports whether a cold target may get another request from this
// node. Many nodes may observe the target at the same time, so with a rate
// below one request per second each waits for its phase before the first one.
func (k *targetState) acceptsCold(now time.Time, n Criteria) bool {
	if n.ColdRate >= 1 {
		return float64(len(k.recentCold(now))+1) <= n.ColdRate
	}
	if n.ColdRate <= 0 {
		return false
	}
	if k.coldSince.IsZero() {
		k.coldSince = now
	}
	spacing := time.Duration(float64(coldWindow) / (coldRateShare * n.ColdRate))
	firstSend := k.coldSince.Add(time.Duration(n.ColdPhase * float64(spacing)))
	return !now.Before(firstSend) && now.Sub(k.lastColdSent) >= spacing
}

// failing reports whether the failure rate of a target exceeds the mean of
// the others by more than maxFailureExcess.
func (t *Table) failing(g site.Target, all []site.Target) bool {
	own := t.state(g).failureRate.value
	if own < maxFailureExcess || len(all) < 2 {
		return false
	}
	sum := 0.0
	for _, o := range all {
		if o.ID != g.ID {
			sum += t.state(o).failureRate.value
		}
	}
	return own > sum/float64(len(all)-1)+maxFailureExcess
}

// load returns the number of calls at a target: the calls of this node in
// flight, or the reported load if it is recent and higher.
func (t *Table) load(now time.Time, g site.Target) float64 {
	k := t.state(g)
	load := float64(k.inFlight)
	if now.Sub(k.reportedAt) < maxReportAge {
		load = max(load, float64(k.reported.Running+k.reported.Waiting))
	}
	return load
}

func (t *Table) byAffinity(now time.Time, n Criteria, open []site.Target) site.Target {
	total := 0.0
	for _, g := range open {
		total += t.load(now, g)
	}
	bound := maxLoadFactor*total/float64(len(open)) + loadAllowance
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

// rank returns the rendezvous hash of a target for an affinity. The target
// with the highest value is preferred.
func rank(affinity uint64, g site.Target) uint64 {
	return member.Score(affinity, xxhash.Sum64String(g.ID))
}

func (t *Table) leastLoaded(now time.Time, n Criteria, open []site.Target) site.Target {
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
		cost += remotePenalty
	}
	return cost
}
