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
	// Accepting says that new calls are allowed on the target.
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
	all := make([]TargetStatus, 0, len(p.targets))
	for _, t := range p.targets {
		all = append(all, TargetStatus{
			Name:      t.name,
			Phase:     t.admission.Phase(),
			Cause:     t.admission.Cause(),
			Accepting: t.accepting,
			Limit:     t.admission.Limit(now),
			Running:   t.admission.Running(),
			Occupied:  t.admission.Occupied(now),
			Latency:   t.admission.Latency(now),
		})
	}
	return all
}
