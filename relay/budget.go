package relay

import (
	"time"

	"bergamotworks/retry"
)

// first counts a request for a service.
func (s *Server) first(service string, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.budget(service).RecordFirstAttempt(now)
}

// spend takes a repeated send out of the service's budget.
func (s *Server) spend(service string, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.budget(service).Spend(now)
}

// The parts of the fleet's bound on retries that are used. They leave room for
// windows that differ between nodes.
const (
	shareUsed  = 0.75 // Of the share of requests.
	slackSaved = 0.45 // Of the slack, for retries that come at once.
	slackDrawn = 0.25 // Of the slack, spread over a window.
	// slackStart is the part for a node that starts. Nodes that start again do not
	// know what they have spent; all of them may do so twice in a window.
	slackStart = 0.15
)

// budget returns this node's share of the retries for a service. The bound holds
// for a slack of two or more a node; a node may always save up one retry.
func (s *Server) budget(service string) *retry.Budget {
	b := s.budgets[service]
	if b == nil {
		b = &retry.Budget{}
		s.budgets[service] = b
	}
	bounds := s.Bounds()
	slack := bounds.RetrySlack / s.nodes()
	b.RetryRatio = bounds.RetryRatio * shareUsed
	b.Burst = max(1, slack*slackSaved)
	b.Initial = slack * slackStart
	b.MinRetriesPerSecond = slack * slackDrawn / bounds.RetryWindow.Seconds()
	return b
}
