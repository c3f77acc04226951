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
	// coldRateShare reduces a ColdRate below one request per second: nodes
	// observe a cold target at different times, up to a second apart, so that
	// their requests would otherwise exceed the rate together.
	coldRateShare = 0.75
)

// Criteria describes the request for which a target is chosen.
type Criteria struct {
	Targets  []site.Target // Targets that accept new work.
	Affinity uint64        // Hash of the last part of the prompt that other requests may share; zero if none.
	Domain   string        // Failure domain of this node.
	Tried    []string      // IDs of targets that the request has already been sent to.
	// ColdRate is the number of requests per second that this node may send
	// to a cold target; zero means none. ColdPhase is the position of this
	// node among all nodes, from 0 up to 1; it spreads the requests of
	// different nodes over time if the rate is below one per second.
	ColdRate  float64
	ColdPhase float64
	// Admission holds the targets that get no calls from this node; may be nil.
	Admission *Admission

	// ExpectedTime means that the target is chosen by the expected time to the first
	// event, also if no target of the service reports its work factor. The following
	// fields are used only for that.
	ExpectedTime bool
	Work         Work
	Engine       site.EngineLimits
	// LatencyTarget is the time in which the first event should arrive; zero if unknown.
	LatencyTarget time.Duration
	// InputDomain is the failure domain that holds most of the results of stages that the
	// request reads, empty if it reads none, and InputBytes is their size.
	InputDomain string
	InputBytes  int64
	Nodes       float64 // Number of nodes that send requests to the targets.
	Draw        uint64  // Random number, another one for each choice; also for the table's Pace.
}

// Choose returns the target for a request, or false if none can accept it now.
// Targets that are in backoff, that fail often and were probed recently, or that
// other nodes have reported, are used only if there are no others.
func (t *Table) Choose(now time.Time, criteria Criteria) (site.Target, bool) {
	list := t.candidates(now, criteria, true)
	if len(list) == 0 {
		list = t.candidates(now, criteria, false)
	}
	if len(list) == 0 {
		return site.Target{}, false
	}
	chosen, ok := t.best(now, criteria, list)
	if !ok {
		return site.Target{}, false
	}
	if t.failing(chosen, criteria.Targets) {
		t.state(chosen).probedAt = now
	}
	return chosen, true
}

// best returns the candidate for a request, or false if none has the memory for it.
func (t *Table) best(now time.Time, criteria Criteria, candidates []site.Target) (site.Target, bool) {
	switch {
	case t.estimates(criteria):
		return t.byExpectedTime(now, criteria, candidates)
	case criteria.Affinity != 0:
		return t.byAffinity(now, criteria, candidates), true
	}
	return t.leastLoaded(now, criteria, candidates), true
}

// candidates returns the targets that can accept the request. If strict, it
// omits targets that are in backoff, that other nodes have reported or whose pace
// does not allow the request and, between probes, those that fail often.
func (t *Table) candidates(now time.Time, criteria Criteria, strict bool) []site.Target {
	var list []site.Target
	var reported map[string]bool
	var draw uint64
	if strict {
		reported, draw = t.reportedOut(now, criteria), t.paceDraw(now, criteria)
	}
	for _, target := range criteria.Targets {
		if reported[target.ID] {
			continue
		}
		if criteria.Admission.Hold(now, target).Reason != NotHeld {
			continue
		}
		state := t.state(target)
		if slices.Contains(criteria.Tried, target.ID) || now.Before(target.ColdUntil) && !state.acceptsCold(now, criteria) {
			continue
		}
		if strict && (now.Before(state.backoffUntil) || t.failing(target, criteria.Targets) && now.Sub(state.probedAt) < probeInterval) {
			continue
		}
		if strict && !t.Pace.Allows(target, draw) {
			continue
		}
		list = append(list, target)
	}
	return list
}

// acceptsCold reports whether a cold target may get another request from this
// node. Many nodes may observe the target at the same time, so with a rate
// below one request per second each waits for its phase before the first one.
func (s *targetState) acceptsCold(now time.Time, criteria Criteria) bool {
	if criteria.ColdRate >= 1 {
		return float64(len(s.recentCold(now))+1) <= criteria.ColdRate
	}
	if criteria.ColdRate <= 0 {
		return false
	}
	if s.coldSince.IsZero() {
		s.coldSince = now
	}
	spacing := time.Duration(float64(coldWindow) / (coldRateShare * criteria.ColdRate))
	firstStart := s.coldSince.Add(time.Duration(criteria.ColdPhase * float64(spacing)))
	return !now.Before(firstStart) && now.Sub(s.lastColdStart) >= spacing
}

// failing reports whether the failure rate of a target exceeds the mean of
// the others by more than maxFailureExcess.
func (t *Table) failing(target site.Target, all []site.Target) bool {
	own := t.state(target).failureRate.value
	if own < maxFailureExcess || len(all) < 2 {
		return false
	}
	sum := 0.0
	for _, other := range all {
		if other.ID != target.ID {
			sum += t.state(other).failureRate.value
		}
	}
	return own > sum/float64(len(all)-1)+maxFailureExcess
}

// load returns the number of calls at a target: the calls of this node in
// flight, or the reported load if it is recent and higher.
func (t *Table) load(now time.Time, target site.Target) float64 {
	state := t.state(target)
	load := float64(state.inFlight)
	if now.Sub(state.reportedAt) < maxReportAge {
		load = max(load, float64(state.reported.Running+state.reported.Waiting))
	}
	return load
}

// byAffinity returns the candidate with the highest rank for the affinity whose
// load is within the bound.
func (t *Table) byAffinity(now time.Time, criteria Criteria, candidates []site.Target) site.Target {
	total := 0.0
	for _, target := range candidates {
		total += t.load(now, target)
	}
	bound := maxLoadFactor*total/float64(len(candidates)) + loadAllowance
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b site.Target) int {
		if rank(criteria.Affinity, a) > rank(criteria.Affinity, b) {
			return -1
		}
		return 1
	})
	for _, target := range ranked {
		if t.load(now, target) <= bound {
			return target
		}
	}
	return ranked[0]
}

// rank returns the rendezvous hash of a target for an affinity. The target
// with the highest value is preferred.
func rank(affinity uint64, target site.Target) uint64 {
	return member.Score(affinity, xxhash.Sum64String(target.ID))
}

// leastLoaded returns the candidate with the lowest cost.
func (t *Table) leastLoaded(now time.Time, criteria Criteria, candidates []site.Target) site.Target {
	best := candidates[0]
	lowest := t.cost(now, criteria, best)
	for _, target := range candidates[1:] {
		if c := t.cost(now, criteria, target); c < lowest {
			best, lowest = target, c
		}
	}
	return best
}

// cost returns the load of a target plus the penalty for a remote one.
func (t *Table) cost(now time.Time, criteria Criteria, target site.Target) float64 {
	cost := t.load(now, target)
	if target.Domain != criteria.Domain {
		cost += remotePenalty
	}
	return cost
}
