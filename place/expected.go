package place

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"bergamotworks/site"
)

const (
	// randomChoices is the number of targets of which the best is chosen.
	randomChoices = 2
	// minCooler is more than randomChoices, so that nodes choose different targets of a
	// small service, too.
	minCooler = 3
	// A target that serves a prefix of the request is preferred as long as its cost is
	// at most affinityRatio times that of the best other one plus affinityAllowance, or
	// its first event is expected within servedShare of the latency target, so that
	// clients would not gain from a faster one.
	affinityRatio     = 1.5
	servedShare       = 0.15
	affinityAllowance = 15 * time.Millisecond
)

// estimates reports whether the target is chosen by the expected time.
func (t *Table) estimates(criteria Criteria) bool {
	return criteria.ExpectedTime || len(criteria.Targets) > 0 && t.Estimates(criteria.Targets[0].Service)
}

// estimator returns an estimator of the times of one request.
func (t *Table) estimator(now time.Time, criteria Criteria) *estimator {
	e := &estimator{now: now, criteria: criteria, table: t, others: t.announcedSlowdowns(now, criteria)}
	if len(criteria.Targets) > 0 {
		e.service = t.service(criteria.Targets[0].Service)
	} else {
		e.service = &serviceState{}
	}
	for i := range criteria.Targets {
		e.slots += e.slotsOf(&criteria.Targets[i], t.state(criteria.Targets[i]))
	}
	e.countCopies()
	return e
}

// slowdown returns the slowdown of a target that this node has learned or that others
// have announced.
func (e *estimator) slowdown(target *site.Target, state *targetState) float64 {
	return max(state.ownSlowdown(), e.others[target.ID])
}

// byExpectedTime returns the candidate from which the first event is expected soonest,
// of a few that are chosen at random: many nodes know the same reports, and would all
// choose the same target otherwise. The half with more load is left out for the same
// reason. A target that serves the request's longest prefix is preferred. It returns
// false if the request would exceed the memory of each candidate.
func (t *Table) byExpectedTime(now time.Time, criteria Criteria, candidates []site.Target) (site.Target, bool) {
	e := t.estimator(now, criteria)
	random := rand.New(rand.NewPCG(criteria.Draw, uint64(len(candidates))))
	options := e.options(candidates)
	if len(options) == 0 {
		return site.Target{}, false
	}
	if o, ok := e.probe(options, random); ok {
		return *o.target, true
	}
	best := pick(coolerHalf(options, random), random)
	limit := max(affinityRatio*best.cost()+affinityAllowance.Seconds(), servedShare*criteria.LatencyTarget.Seconds())
	if serving := e.serving(options, limit); len(serving) > 0 {
		return *pick(serving, random).target, true
	}
	return *best.target, true
}

// options returns what is expected of the candidates, without those that are full
// unless all are. A target whose memory the calls of this node fill is always left out,
// since it would crash.
func (e *estimator) options(candidates []site.Target) []*option {
	states := make([]*targetState, len(candidates))
	for i, target := range candidates {
		states[i] = e.table.state(target)
	}
	cached := e.cachedTokens(states)
	all := make([]*option, 0, len(candidates))
	for i, state := range states {
		if !e.exceedsMemory(float64(state.held)) {
			all = append(all, e.option(&candidates[i], state, cached[i]))
		}
	}
	free := slices.DeleteFunc(slices.Clone(all), func(o *option) bool { return o.full })
	if len(free) == 0 {
		return all
	}
	return free
}

// meanLoad returns the mean load of the targets.
func meanLoad(options []*option) float64 {
	sum := 0.0
	for _, o := range options {
		sum += o.load
	}
	return sum / float64(len(options))
}

// serving returns the targets that serve the longest frequent prefix of the request: the
// first ones by rank whose cost, with the prefix cached, is within the limit. All nodes
// rank the targets in the same order, so that requests that one target cannot take go to
// one other, which has the prefix cached from then on.
func (e *estimator) serving(options []*option, limit float64) []*option {
	for i, p := range slices.Backward(e.criteria.Work.Prefixes) {
		if i < len(e.criteria.Work.Prefixes)-1 && e.copies[i] == 0 {
			continue
		}
		bound := maxLoadFactor*meanLoad(options) + loadAllowance
		var free []*option
		var states []*targetState
		for _, o := range options {
			if o.load <= bound && e.servedCost(o, p) <= limit {
				free, states = append(free, o), append(states, o.state)
			}
		}
		var serving []*option
		for _, index := range topRanked(p.Hash, states, max(1, e.copies[i])) {
			serving = append(serving, free[index])
		}
		return serving
	}
	return nil
}

// servedCost returns the cost of the request at a target that has a prefix cached.
func (e *estimator) servedCost(o *option, p Prefix) float64 {
	reading := e.readingTime(o, e.criteria.Work.unread(p.Tokens))
	// Twice, since cost counts reading in seconds and again in reading.
	return o.cost() - 2*max(0, o.reading-reading)
}

// probe returns a slow target that should get the request so that its speed becomes
// known, if there is one. The request must not take longer than others do.
func (e *estimator) probe(options []*option, random *rand.Rand) (*option, bool) {
	if e.criteria.Work.unread(0) > 0 && e.criteria.Work.unread(0) > 2*e.service.unread.value {
		return nil, false
	}
	interval := max(minSpeedProbeInterval, time.Duration(max(1, e.criteria.Nodes)*float64(speedProbeSpacing)))
	for _, o := range options {
		if !o.state.slow || o.state.inFlight > 0 || len(options) < 2 {
			continue
		}
		// The first probe comes after a random part of the interval: the nodes learn
		// at the same time that a target is slow.
		if wait := interval/2 + time.Duration(random.Int64N(int64(interval))); e.now.Sub(o.state.speedProbedAt) >= wait {
			return o, true
		}
	}
	return nil, false
}

// coolerHalf returns the half of the targets with the least load, at least minCooler. The
// order of targets with the same load is random.
func coolerHalf(options []*option, random *rand.Rand) []*option {
	list := slices.Clone(options)
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b *option) int { return cmp.Compare(a.pressure(), b.pressure()) })
	return list[:min(len(list), max(minCooler, (len(list)+1)/2))]
}

// pick returns the best of a few different targets that are chosen at random.
func pick(options []*option, random *rand.Rand) *option {
	var best *option
	for _, i := range random.Perm(len(options))[:min(randomChoices, len(options))] {
		if o := options[i]; best == nil || o.seconds < best.seconds {
			best = o
		}
	}
	return best
}
