package relay

import (
	"time"

	"bergamotworks/retry"
)

// recordRequest counts a request, which adds to the service's retry budget.
func (s *Server) recordRequest(service string, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.retryBudget(service).RecordFirstAttempt(now)
}

// takeRetry reports whether the service's retry budget allows a further
// attempt, and charges the budget for it.
func (s *Server) takeRetry(service string, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.retryBudget(service).Spend(now)
}

// The fractions of the fleet's retry limits that the nodes use. They leave a
// margin because the windows of the nodes are not aligned.
const (
	ratioFraction = 0.75 // Of RetryRatio.
	burstFraction = 0.45 // Of RetrySlack, for retries in a burst.
	rateFraction  = 0.25 // Of RetrySlack, refilled evenly over RetryWindow.
	// initialFraction is the fraction of RetrySlack that a node starts with. A
	// restarted node does not know what it has already used; all nodes may
	// restart twice within a window.
	initialFraction = 0.15
)

// retryBudget returns this node's share of the retry budget for a service. The
// fleet's limit holds if RetrySlack is at least two per node, as every node may
// always accumulate one retry. The caller holds s.mutex.
func (s *Server) retryBudget(service string) *retry.Budget {
	b := s.retryBudgets[service]
	if b == nil {
		b = &retry.Budget{}
		s.retryBudgets[service] = b
	}
	bounds := s.Bounds()
	slack := bounds.RetrySlack / s.nodeCount()
	b.RetryRatio = bounds.RetryRatio * ratioFraction
	b.Burst = max(1, slack*burstFraction)
	b.Initial = slack * initialFraction
	b.MinRetriesPerSecond = slack * rateFraction / bounds.RetryWindow.Seconds()
	return b
}
