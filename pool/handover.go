package pool

import (
	"time"

	"bergamotworks/warm"
)

// Handover is what a leaving owner passes on to the next one.
type Handover struct {
	Pool          string                   `json:"pool"`
	Targets       map[string]warm.State    `json:"targets"`
	MeanLatencies map[string]time.Duration `json:"costs,omitempty"`
}

// Handover returns the state to pass on at now. Send it after [Drained], when
// nothing more is dispatched.
func (p *Pool) Handover(now time.Time) *Handover {
	p.prepare(now)
	h := &Handover{
		Pool:          p.Spec.Name,
		Targets:       make(map[string]warm.State, len(p.members)),
		MeanLatencies: make(map[string]time.Duration, len(p.costs.stages)),
	}
	for _, m := range p.members {
		h.Targets[m.name] = m.target.State(now)
	}
	for k, c := range p.costs.stages {
		h.MeanLatencies[k] = time.Duration(c.mean)
	}
	return h
}

// takeOver starts from a predecessor's state, or without one from the cold
// limit with all of the predecessor's work assumed to be in flight.
func (p *Pool) takeOver(now time.Time, event TakenOver) {
	p.drained = false
	for _, m := range p.members {
		if event.State == nil {
			p.inherit(now, m)
			continue
		}
		if s, known := event.State.Targets[m.name]; known {
			m.target.Restore(now, s)
		}
	}
	if event.State == nil {
		return
	}
	for k, mean := range event.State.MeanLatencies {
		p.costs.fold(k, mean)
	}
}

// resume goes on after a pause, in which another node may have used the targets.
func (p *Pool) resume(now time.Time) {
	p.suspended = false
	for _, m := range p.members {
		p.inherit(now, m)
	}
	p.expire(now)
}
