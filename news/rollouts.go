package news

import (
	"slices"

	"bergamotworks/site"
)

// Rollouts are the rollouts that operators have ordered, with their recorded states.
type Rollouts struct {
	Rollouts      []site.Rollout `json:"rollouts"`
	site.Position                // At which the orders were read from the store.
}

// Rollouts returns the rollouts. The caller must not modify the slice.
func (s *State) Rollouts() []site.Rollout {
	if s.rollouts == nil {
		return nil
	}
	return s.rollouts.Rollouts
}

// applyRollouts merges rollouts unless they are older than the present ones, and reports
// whether that has changed any.
func (s *State) applyRollouts(r *Rollouts) bool {
	if r == nil || s.rollouts != nil && s.rollouts.After(r.Position) {
		return false
	}
	before := s.Rollouts()
	merged := make([]site.Rollout, 0, len(r.Rollouts))
	for _, order := range r.Rollouts {
		merged = append(merged, latestState(order, before))
	}
	s.rollouts = &Rollouts{Rollouts: merged, Position: r.Position}
	return !slices.Equal(before, merged)
}

// latestState returns the order with the state among the known ones if that was written
// later. The states are read after the orders, so that a list of newer orders may have an
// older state.
func latestState(order site.Rollout, known []site.Rollout) site.Rollout {
	for _, k := range known {
		if k.Service == order.Service && k.ID() == order.ID() && k.StateRevision > order.StateRevision {
			order.State, order.StateRevision = k.State, k.StateRevision
		}
	}
	return order
}

// newerRollouts returns the rollouts to send to a node that has those of a position, nil if
// they are not newer. Without any, only a node that has some must learn it.
func (s *State) newerRollouts(p site.Position) *Rollouts {
	if s.rollouts == nil || !s.rollouts.After(p) || len(s.rollouts.Rollouts) == 0 && p.Revision == 0 {
		return nil
	}
	return s.rollouts
}
