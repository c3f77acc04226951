package route

import (
	"slices"
	"time"

	"bergamotworks/pool"
)

const (
	// fullWeightAge is the age of a summary up to which its limit counts in full,
	// and from which its waits by class and account ([pool.Summary.Waits]) count as
	// zero. Its ExpectedWait is used up to maxSummaryAge.
	fullWeightAge = 2 * time.Second
	maxSummaryAge = 10 * time.Second // Age after which a summary is ignored.

	defaultLatency = 100 * time.Millisecond // Latency of a call while no summary states it.
)

// poolState is the estimated state of one pool.
type poolState struct {
	spec          pool.Spec
	summary       pool.Summary
	summaryAt     time.Time // Arrival of summary; zero if there is none.
	sent          float64   // Estimated number of calls sent since summaryAt that have not started.
	sentUpdatedAt time.Time // When sent was last updated.
	rejectedUntil time.Time // Until when other pools are preferred after a rejection.
}

// capacity returns the weight of the pool in a random draw at now. It is the limit
// in a summary of at most fullWeightAge, half of it up to maxSummaryAge, and after
// that half the number of targets. Without any summary it is the number of targets.
// It is always positive.
func (p *poolState) capacity(now time.Time) float64 {
	limit := float64(max(1, len(p.spec.Targets)))
	age := now.Sub(p.summaryAt)
	switch {
	case p.summaryAt.IsZero():
		return limit
	case age > maxSummaryAge:
		return limit / 2
	case age > fullWeightAge:
		return max(0.5, float64(p.summary.Limit)/2)
	}
	return max(0.1, float64(p.summary.Limit))
}

// wait returns the expected time at now until a new call to the pool starts.
func (p *poolState) wait(now time.Time) time.Duration {
	p.advance(now)
	if !p.fresh(now) {
		return time.Duration(p.sent * float64(defaultLatency) / p.limit(now))
	}
	wait := p.summary.ExpectedWait
	if excess := p.sent - float64(p.summary.Spare); excess >= 0 {
		wait += time.Duration((excess + 1) * float64(p.latency()) / p.limit(now))
	}
	if p.summary.Limit == 0 {
		wait += noCapacityWait
	}
	return wait
}

// fresh reports whether the last summary is recent enough to be used at now.
func (p *poolState) fresh(now time.Time) bool {
	return !p.summaryAt.IsZero() && now.Sub(p.summaryAt) <= maxSummaryAge
}

// limit returns the number of calls that the pool may run at once, at least one.
func (p *poolState) limit(now time.Time) float64 {
	if !p.fresh(now) {
		return float64(max(1, len(p.spec.Targets)))
	}
	return float64(max(1, p.summary.Limit))
}

// recordSent counts a call that is sent to the pool at now.
func (p *poolState) recordSent(now time.Time) {
	p.advance(now)
	p.sent++
}

// advance reduces sent by the calls that are estimated to have started since the
// last update.
func (p *poolState) advance(now time.Time) {
	started := now.Sub(p.sentUpdatedAt).Seconds() / p.latency().Seconds() * p.limit(now)
	p.sent = max(0, p.sent-started)
	p.sentUpdatedAt = now
}

// noCapacityWait is added to the wait of a pool whose limit is zero.
const noCapacityWait = time.Second

func (p *poolState) latency() time.Duration {
	if p.summary.MeanLatency <= 0 {
		return defaultLatency
	}
	return p.summary.MeanLatency
}

// holds reports whether the last summary lists a prompt prefix, given as a hash.
// Zero is no prefix.
func (p *poolState) holds(prefix uint64) bool {
	return prefix != 0 && slices.Contains(p.summary.Prefixes, prefix)
}

// load returns the ratio of running and waiting calls to the limit of the pool.
func (p *poolState) load(now time.Time) float64 {
	busy := max(0, p.summary.Limit-p.summary.Spare) + p.summary.Queued
	return (float64(busy) + p.sent) / p.limit(now)
}
