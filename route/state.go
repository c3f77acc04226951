package route

import (
	"slices"
	"time"

	"bergamotworks/pool"
)

const (
	freshFor = 2 * time.Second  // Age up to which a summary is taken at its word.
	knownFor = 10 * time.Second // Age after which it says nothing.

	defaultCost = 100 * time.Millisecond
)

// entry is what is known of one pool.
type entry struct {
	spec    pool.Spec
	summary pool.Summary
	seen    time.Time // Zero until a summary arrived.
	sent    float64   // Calls sent there since that have not started yet.
	sentAt  time.Time // Time up to which sent is brought.
	refused time.Time // Time until which the pool is known to refuse.
}

// capacity returns the weight with which the pool is drawn at now.
func (e *entry) capacity(now time.Time) float64 {
	limit := float64(max(1, len(e.spec.Targets)))
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
	e.settle(now)
	if !e.known(now) {
		return time.Duration(e.sent * float64(defaultCost) / e.limit(now))
	}
	wait := e.summary.ExpectedWait
	if late := e.sent - float64(e.summary.Spare); late >= 0 {
		wait += time.Duration((late + 1) * float64(e.cost()) / e.limit(now))
	}
	if e.summary.Limit == 0 {
		wait += closedWait
	}
	return wait
}

// known reports whether the last summary still says something.
func (e *entry) known(now time.Time) bool {
	return !e.seen.IsZero() && now.Sub(e.seen) <= knownFor
}

// limit returns the number of calls that may run there together, at least one.
func (e *entry) limit(now time.Time) float64 {
	if !e.known(now) {
		return float64(max(1, len(e.spec.Targets)))
	}
	return float64(max(1, e.summary.Limit))
}

// send counts one more call sent there at now.
func (e *entry) send(now time.Time) {
	e.settle(now)
	e.sent++
}

// settle takes off the sent calls that have started since, beyond those that
// the last summary had room for.
func (e *entry) settle(now time.Time) {
	started := now.Sub(e.sentAt).Seconds() / e.cost().Seconds() * e.limit(now)
	e.sent = max(0, e.sent-started)
	e.sentAt = now
}

// closedWait is added for a pool whose targets take nothing at present.
const closedWait = time.Second

func (e *entry) cost() time.Duration {
	if e.summary.MeanLatency <= 0 {
		return defaultCost
	}
	return e.summary.MeanLatency
}

func (e *entry) holds(prefix uint64) bool {
	return prefix != 0 && slices.Contains(e.summary.Prefixes, prefix)
}

// load returns the calls there, running and waiting, for each that may run.
func (e *entry) load(now time.Time) float64 {
	busy := max(0, e.summary.Limit-e.summary.Spare) + e.summary.Queued
	return (float64(busy) + e.sent) / e.limit(now)
}
