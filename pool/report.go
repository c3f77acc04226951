package pool

import "time"

// report applies a load report. The prefixes of a target that has become cold by
// it are dropped.
func (p *Pool) report(now time.Time, event LoadReported) {
	m := p.member(event.Target)
	if m == nil || p.Policy.fifo() {
		return
	}
	epoch := m.target.Epoch()
	m.target.Report(now, event.Load)
	if m.target.Epoch() != epoch {
		p.prefixes.dropTarget(m.bit)
	}
}

// reportCache applies a change of a target's prefix cache. At a gap in the
// sequence it first drops all prefixes of the target, since events were lost.
func (p *Pool) reportCache(event CacheReported) {
	m := p.member(event.Target)
	if m == nil {
		return
	}
	if event.Full {
		p.prefixes.dropTarget(m.bit)
		m.sequence = event.Sequence
	} else if !m.advanceSequence(event.Sequence) {
		p.prefixes.dropTarget(m.bit)
	}
	for _, x := range event.Removed {
		p.prefixes.remove(x, m.bit)
	}
	for _, x := range event.Added {
		p.prefixes.add(x, m.bit)
	}
}
