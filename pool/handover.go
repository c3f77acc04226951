package pool

import (
	"time"

	"bergamotworks/warm"
)

// Handover is the state of a pool that its owner sends to the next one.
type Handover struct {
	Pool          string                   `json:"pool"`
	Targets       map[string]warm.State    `json:"targets"`
	MeanLatencies map[string]time.Duration `json:"costs,omitempty"`
}

// Handover returns the state for the next owner at now. Call it after [Drained],
// when nothing more is dispatched.
func (p *Pool) Handover(now time.Time) *Handover {
	p.prepare(now)
	h := &Handover{
		Pool:          p.Spec.Name,
		Targets:       make(map[string]warm.State, len(p.targets)),
		MeanLatencies: make(map[string]time.Duration, len(p.latencies.stages)),
	}
	for _, t := range p.targets {
		h.Targets[t.name] = t.admission.State(now)
	}
	for k, c := range p.latencies.stages {
		h.MeanLatencies[k] = time.Duration(c.mean)
	}
	return h
}

// takeOver restores the state of the previous owner. Without it, all targets are
// cold and count as occupied by calls of the previous owner up to their warm
// limits.
func (p *Pool) takeOver(now time.Time, event TakenOver) {
	p.drained = false
	for _, t := range p.targets {
		if event.State == nil {
			p.markInherited(now, t)
			continue
		}
		if s, ok := event.State.Targets[t.name]; ok {
			t.admission.Restore(now, s)
		}
	}
	if event.State == nil {
		return
	}
	for k, mean := range event.State.MeanLatencies {
		p.latencies.record(k, mean)
	}
}

// resume ends a suspension, during which another node may have used the targets.
func (p *Pool) resume(now time.Time) {
	p.suspended = false
	for _, t := range p.targets {
		p.markInherited(now, t)
	}
	p.expire(now)
}
