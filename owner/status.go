package owner

import (
	"cmp"
	"slices"
	"time"

	"bergamotworks/pool"
)

// PoolStatus describes a pool that this node owns, for operators.
type PoolStatus struct {
	Pool    string              `json:"pool"`
	Queued  int                 `json:"queued"`
	Spare   int                 `json:"spare"`
	Limit   int                 `json:"limit"`
	Targets []pool.TargetStatus `json:"targets"`
}

// Status returns the status of the pools that this node owns, sorted by name.
func (s *Service) Status() []PoolStatus {
	s.once.Do(s.init)
	now := s.Clock.Now()
	var list []PoolStatus
	for _, o := range s.list() {
		list = append(list, o.status(now))
	}
	slices.SortFunc(list, func(a, b PoolStatus) int { return cmp.Compare(a.Pool, b.Pool) })
	return list
}

func (o *ownedPool) status(now time.Time) PoolStatus {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	summary := o.pool.Summary(now)
	status := PoolStatus{Pool: o.name, Queued: summary.Queued, Spare: summary.Spare, Limit: summary.Limit}
	status.Targets = o.pool.Targets(now)
	return status
}
