package pool

import (
	"time"

	"bergamotworks/warm"
)

// TargetStatus describes one target, for operators.
type TargetStatus struct {
	Name  string     `json:"name"`
	Phase warm.Phase `json:"phase"`
	// Cause says why the target last became cold.
	Cause warm.Cause `json:"cause"`
	// Open says that new calls are allowed on the target.
	Accepting bool `json:"open"`
	Limit     int  `json:"limit"`
	// Running counts the calls in flight of this owner. Occupied adds calls that
	// it does not track but that may still run.
	Running  int           `json:"running"`
	Occupied int           `json:"occupied"`
	Latency  time.Duration `json:"latency_ns"`
}

// Targets returns the status of each target at now, sorted by name.
func (p *Pool) Targets(now time.Time) []TargetStatus {
	p.prepare(now)
	all := make([]TargetStatus, 0, len(p.members))
	for _, m := range p.members {
		all = append(all, TargetStatus{
			Name:      m.name,
			Phase:     m.target.Phase(),
			Cause:     m.target.Cause(),
			Accepting: m.open,
			Limit:     m.target.Limit(now),
			Running:   m.target.Running(),
			Occupied:  m.target.Occupied(now),
			Latency:   m.target.Latency(now),
		})
	}
	return all
}
