package flow

import (
	"time"

	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/route"
)

const (
	shortestRetryAfter = 100 * time.Millisecond
	longestRetryAfter  = 10 * time.Second
)

// refuseHopeless refuses a request whose stages together cannot end by its
// deadline, before any of them has run. The caller holds the mutex.
func (s *Service) refuseHopeless(now time.Time, request Request, class string, stages []note.Stage) error {
	total := s.forecast(now, request, class, stages)
	missing := total - request.Deadline.Sub(now)
	if missing <= 0 {
		return nil
	}
	s.Metrics.GetOrCreateCounter("flow_refused_hopeless_total").Inc()
	wait := min(longestRetryAfter, max(shortestRetryAfter, missing))
	return fault.New(fault.Busy, fault.NotRun, "the stages would take %s, longer than the time left", total).WithRetryAfter(wait)
}

// checkHopeless is [Service.refuseHopeless] for the stages from the first on.
func (s *Service) checkHopeless(request Request, pipeline note.Pipeline, first int) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.refuseHopeless(s.Clock.Now(), request, pipeline.Class, pipeline.Stages[first:])
}

// forecast returns the time that stages would take, waiting included. The caller
// holds the mutex.
func (s *Service) forecast(now time.Time, request Request, class string, stages []note.Stage) time.Duration {
	total := time.Duration(0)
	for _, stage := range stages {
		total += s.chooser.Forecast(now, route.Workload{Service: stage.Service, Class: class, Account: request.Account})
	}
	return total
}

// stageLimit returns the time by which a stage must have ended for the later
// ones to end in time.
func (g *stageRun) stageLimit() time.Time {
	s := g.run.service
	limit := g.run.limit()
	now := s.Clock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return limit.Add(-s.forecast(now, g.run.request, g.run.pipeline.Class, g.run.pipeline.Stages[g.index+1:]))
}
