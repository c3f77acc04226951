package canary

import (
	"slices"
	"time"

	"bergamotworks/site"
)

// Status is what a node knows of one order, for operators.
type Status struct {
	VM    string       `json:"vm"`
	Order site.Rollout `json:"order"`
	// Phase and Share are those of the last grant or verdict, and GrantAge the time since
	// the last grant, zero if there was none. Owner is the node that made it.
	Phase    Phase         `json:"phase"`
	Share    float64       `json:"share"`
	Owner    string        `json:"owner"`
	GrantAge time.Duration `json:"grant_age_ns"`
	// Sent and Canaries are the requests that this node has sent since the order.
	Sent     int `json:"sent"`
	Canaries int `json:"canaries"`
	// Evidence is what the owner knows; nil on other nodes.
	Evidence *Summary `json:"evidence,omitempty"`
	// OperatorAge is the time since the store is known to have held the order.
	OperatorAge time.Duration `json:"operator_age_ns"`
}

// Statuses returns what this node knows of each order, by service. It returns none if s is
// nil.
func (s *Service) Statuses() []Status {
	if s == nil {
		return nil
	}
	s.once.Do(s.init)
	now := s.Clock.Now()
	operatorState, _ := s.AsOf()
	reports := s.Gate.Reports(now)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var list []Status
	for _, o := range s.Orders() {
		list = append(list, s.status(now, o, reports))
		list[len(list)-1].OperatorAge = now.Sub(operatorState)
	}
	return list
}

// status returns what this node knows of an order. The mutex is held.
func (s *Service) status(now time.Time, o site.Rollout, reports []Report) Status {
	status := Status{VM: s.Self, Order: o}
	if r := s.reported[o.Service]; r.grant.Order == o.ID() {
		status.Phase, status.Share, status.Owner, status.GrantAge = r.grant.Phase, r.grant.Share, r.owner, now.Sub(r.at)
	}
	if phase, ok := s.verdicts.find(o.ID()); ok {
		status.Phase, status.Share = phase, verdictGrant(o.ID(), phase).Share
	}
	if phase, ok := finalPhaseOf(o.State); ok {
		status.Phase, status.Share = phase, verdictGrant(o.ID(), phase).Share
	}
	if at := slices.IndexFunc(reports, func(r Report) bool { return r.Order == o.ID() }); at >= 0 {
		status.Sent, status.Canaries = reports[at].Sent, reports[at].Canaries
	}
	if r := s.rollouts[o.Service]; r != nil && r.order.ID() == o.ID() {
		summary := r.machine.Evidence()
		status.Evidence = &summary
	}
	return status
}
