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
		Targets:       make(map[string]warm.State, len(p.members)),
		MeanLatencies: make(map[string]time.Duration, len(p.latencies.stages)),
	}
	for _, m := range p.members {
		h.Targets[m.name] = m.target.State(now)
	}
	for k, c := range p.latencies.stages {
		h.MeanLatencies[k] = time.Duration(c.mean)
	}
	return h
}

// takeOver restores the state of the previous owner. Without one, it starts from
// the cold limit and assumes that all calls of the previous owner are in flight.
func (p *Pool) takeOver(now time.Time, event TakenOver) {
	p.drained = false
	for _, m := range p.members {
		if event.State == nil {
			p.markInherited(now, m)
			continue
		}
		if s, ok := event.State.Targets[m.name]; ok {
			m.target.Restore(now, s)
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
	for _, m := range p.members {
		p.markInherited(now, m)
	}
	p.expire(now)
}
