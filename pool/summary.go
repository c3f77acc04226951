package pool

import (
	"time"

	"bergamotworks/queue"
)

const (
	maxSummaryPrefixes = 16
	maxSummaryWaits    = 16
	shortestWait       = 50 * time.Millisecond // Shorter waits are not told.
)

// Summary is what other nodes learn of a pool.
type Summary struct {
	Pool    string `json:"pool"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	// Spare is the number of calls that would start at once.
	Spare  int `json:"spare"`
	Queued int `json:"queued"`
	// Limit is the number of calls that the targets may run together.
	Limit        int           `json:"limit"`
	ExpectedWait time.Duration `json:"expected_wait_ns"`
	// Cost is the usual time of one call.
	MeanLatency time.Duration `json:"cost_ns"`
	// Prefixes are some prompt prefixes that targets of the pool may hold.
	Prefixes []uint64 `json:"prefixes,omitempty"`
	// Waits are the longest waits by class and client account; others are near
	// zero.
	Waits []queue.Wait `json:"waits,omitempty"`
}

// Summary returns the pool's summary at now.
func (p *Pool) Summary(now time.Time) Summary {
	p.prepare(now)
	s := Summary{
		Pool:         p.Spec.Name,
		Service:      p.Spec.Service,
		Domain:       p.Spec.Domain,
		Queued:       p.queue.Len() + len(p.apart),
		ExpectedWait: p.expectedWait(now),
		MeanLatency:  time.Duration(p.costs.value("", p.typical()).mean),
		Prefixes:     p.prefixes.latest(maxSummaryPrefixes),
	}
	if p.suspended || p.drained {
		return s
	}
	s.Limit = int(p.speed(now))
	s.Waits = p.queue.Waits(s.MeanLatency, p.speed(now), shortestWait, maxSummaryWaits)
	for _, m := range p.members {
		s.Spare += m.free(now)
	}
	return s
}
