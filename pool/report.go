package pool

import "time"

// report applies a load report. If the report makes the target cold, its prefixes
// are dropped. FIFO policies ignore reports.
func (p *Pool) report(now time.Time, event LoadReported) {
	t := p.target(event.Target)
	if t == nil || p.Policy.fifo() {
		return
	}
	epoch := t.admission.Epoch()
	t.admission.Report(now, event.Load)
	if t.admission.Epoch() != epoch {
		p.prefixes.dropTarget(t.bit)
	}
}

// reportCache applies a change of a target's prefix cache. At a gap in the
// sequence it first drops all prefixes of the target, since events were lost.
func (p *Pool) reportCache(event CacheReported) {
	t := p.target(event.Target)
	if t == nil {
		return
	}
	if event.Full {
		p.prefixes.dropTarget(t.bit)
		t.sequence = event.Sequence
	} else if !t.advanceSequence(event.Sequence) {
		p.prefixes.dropTarget(t.bit)
	}
	for _, x := range event.Removed {
		p.prefixes.remove(x, t.bit)
	}
	for _, x := range event.Added {
		p.prefixes.add(x, t.bit)
	}
}
