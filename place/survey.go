package place

import (
	"slices"
	"time"

	"bergamotworks/site"
)

// Standing is what this node knows of a target with regard to a request that another
// target runs.
type Standing struct {
	Target     site.Target
	Load       float64 // Running and waiting requests.
	Own        float64 // Those of this node.
	Slots      float64
	Factor     float64       // By which work takes longer than at a target of usual speed: stated by its VM, and learned.
	Slow       bool          // It counts as slow by the responses to this or to other nodes.
	Full       bool          // It has no slot or no memory for the request.
	FreeTokens float64       // Free memory in tokens; negative if it is not known.
	ReadTime   time.Duration // Expected time to read the prompt of the request there.
}

// Survey returns the standings of the targets that may get the request, whatever their
// load. It ignores the Affinity of the criteria.
func (t *Table) Survey(now time.Time, criteria Criteria) []Standing {
	e := t.estimator(now, criteria)
	var list []Standing
	for _, target := range t.candidates(now, criteria, true) {
		list = append(list, e.standing(target))
	}
	return list
}

// StandingOf returns the standing of a target, which need not be one of the criteria.
func (t *Table) StandingOf(now time.Time, criteria Criteria, target site.Target) Standing {
	return t.estimator(now, criteria).standing(target)
}

// Accepts reports whether a target may get the request, although it may be in backoff or
// reported by other nodes.
func (t *Table) Accepts(now time.Time, criteria Criteria, target site.Target) bool {
	return slices.ContainsFunc(t.candidates(now, criteria, false), func(c site.Target) bool { return c.ID == target.ID })
}

// standing returns the standing of one target.
func (e *estimator) standing(target site.Target) Standing {
	state := e.table.state(target)
	o := e.option(&target, state, 0)
	s := Standing{
		Target: target, Load: o.load, Own: float64(state.inFlight), Slots: o.slots, Factor: o.factor * o.slowdown, Full: o.full, FreeTokens: -1,
		Slow: state.slow || o.slowdown >= slowThreshold, ReadTime: time.Duration(e.readingTime(o, o.unread) * float64(time.Second)),
	}
	if limit := float64(e.criteria.Engine.MemoryTokens); limit > 0 {
		s.FreeTokens = max(0, limit-float64(state.held)-e.othersHeld(o))
	}
	return s
}
