package pool

import (
	"time"

	"bergamotworks/queue"
)

const (
	maxSummaryPrefixes = 16
	maxSummaryWaits    = 16
	minReportedWait    = 50 * time.Millisecond // Shorter waits are left out of a summary.
)

// Summary is the state of a pool that its owner publishes to other nodes.
type Summary struct {
	Pool    string `json:"pool"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	// Spare is the number of free slots: the further calls that would be dispatched
	// at once.
	Spare  int `json:"spare"`
	Queued int `json:"queued"`
	// Limit is the number of calls that the targets may run at once.
	Limit int `json:"limit"`
	// ExpectedWait is the estimated time until all waiting calls are dispatched.
	ExpectedWait time.Duration `json:"expected_wait_ns"`
	// MeanLatency is the recent mean latency of one call.
	MeanLatency time.Duration `json:"cost_ns"`
	// Prefixes are hashes of recent prompt prefixes that targets of the pool may
	// have in their cache.
	Prefixes []uint64 `json:"prefixes,omitempty"`
	// Waits are the longest expected waits by class and client account; those
	// not listed are near zero.
	Waits []queue.Wait `json:"waits,omitempty"`
}

// Summary returns the pool's summary at now.
func (p *Pool) Summary(now time.Time) Summary {
	p.prepare(now)
	s := Summary{
		Pool:         p.Spec.Name,
		Service:      p.Spec.Service,
		Domain:       p.Spec.Domain,
		Queued:       p.queue.Len() + len(p.restricted),
		ExpectedWait: p.expectedWait(now),
		MeanLatency:  time.Duration(p.latencies.lookup("", p.typicalLatency()).mean),
		Prefixes:     p.prefixes.latest(maxSummaryPrefixes),
	}
	if p.suspended || p.drained {
		return s
	}
	s.Limit = int(p.concurrency(now))
	s.Waits = p.queue.Waits(s.MeanLatency, p.concurrency(now), minReportedWait, maxSummaryWaits)
	for _, t := range p.targets {
		s.Spare += t.freeSlots(now)
	}
	return s
}
