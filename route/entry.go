package route

import (
	"slices"
	"time"

	"bergamotworks/pool"
)

const (
	freshFor = 2 * time.Second  // Age up to which a summary is taken at its word.
	knownFor = 10 * time.Second // Age after which it says nothing.

	defaultCost  = 100 * time.Millisecond
	defaultLimit = 1
)

// entry is what is known of one pool.
type entry struct {
	spec    pool.Spec
	summary pool.Summary
	seen    time.Time // Zero until a summary arrived.
	sent    int       // Calls sent there since.
	refused time.Time // Time until which the pool is known to refuse.
}

// capacity returns the weight with which the pool is drawn at now.
func (e *entry) capacity(now time.Time) float64 {
	limit := float64(max(defaultLimit, len(e.spec.Targets)))
	age := now.Sub(e.seen)
	switch {
	case e.seen.IsZero():
		return limit
	case age > knownFor:
		return limit / 2
	case age > freshFor:
		return max(0.5, float64(e.summary.Limit)/2)
	}
	return max(0.1, float64(e.summary.Limit))
}

// wait returns the time until a new call would start there at now.
func (e *entry) wait(now time.Time) time.Duration {
	if e.seen.IsZero() || now.Sub(e.seen) > knownFor {
		return time.Duration(e.sent) * defaultCost
	}
	limit := max(1, e.summary.Limit)
	late := e.sent - e.summary.Spare
	wait := e.summary.ExpectedWait
	if late >= 0 {
		wait += time.Duration(late+1) * e.cost() / time.Duration(limit)
	}
	if e.summary.Limit == 0 {
		wait += closedWait
	}
	return wait
}

// closedWait is added for a pool whose targets take nothing at present.
const closedWait = time.Second

func (e *entry) cost() time.Duration {
	if e.summary.Cost <= 0 {
		return defaultCost
	}
	return e.summary.Cost
}

func (e *entry) holds(prefix uint64) bool {
	return prefix != 0 && slices.Contains(e.summary.Prefixes, prefix)
}

// load returns the calls there, running and waiting, for each that may run.
func (e *entry) load() float64 {
	limit := max(1, e.summary.Limit)
	busy := max(0, e.summary.Limit-e.summary.Spare) + e.summary.Queued + e.sent
	return float64(busy) / float64(limit)
}
