package pool

import "time"

// report takes in the load that a target told at now.
func (p *Pool) report(now time.Time, event LoadReported) {
	m := p.member(event.Target)
	if m == nil || p.Policy.plain() {
		return
	}
	epoch := m.target.Epoch()
	m.target.Report(now, event.Load)
	if m.target.Epoch() != epoch {
		p.prefixes.drop(m.slot)
	}
}

// reportCache takes in a change of a target's prefix cache. After a gap in the
// sequence nothing is known of the cache until a full report.
func (p *Pool) reportCache(event CacheReported) {
	m := p.member(event.Target)
	if m == nil {
		return
	}
	if event.Full {
		p.prefixes.drop(m.slot)
		m.sequence = event.Sequence
	} else if !m.follows(event.Sequence) {
		p.prefixes.drop(m.slot)
	}
	for _, x := range event.Removed {
		p.prefixes.remove(x, m.slot)
	}
	for _, x := range event.Added {
		p.prefixes.add(x, m.slot)
	}
}
