package flow

import (
	"time"

	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/route"
)

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// checkFeasible returns a Busy error if the given stages are not expected to
// finish by the deadline of the request, so that the request is rejected before
// any of them runs. A stage counts as zero if a pool that accepts calls for it
// has no recent load summary, or if there is no such pool. The caller holds the
// mutex.
func (s *Service) checkFeasible(now time.Time, request Request, class string, stages []note.Stage) error {
	total := s.forecast(now, request, class, stages)
	excess := total - request.Deadline.Sub(now)
	if excess <= 0 {
		return nil
	}
	s.Metrics.GetOrCreateCounter("flow_refused_hopeless_total").Inc()
	retryAfter := min(maxRetryAfter, max(minRetryAfter, excess))
	return fault.New(fault.Busy, fault.NotRun, "the stages would take %s, longer than the time left", total).WithRetryAfter(retryAfter)
}

// checkFeasibleFrom applies [Service.checkFeasible] to the stages from index
// first on.
func (s *Service) checkFeasibleFrom(request Request, pipeline note.Pipeline, first int) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.checkFeasible(s.Clock.Now(), request, pipeline.Class, pipeline.Stages[first:])
}

// forecast returns the expected duration of the stages, including the time in
// queues. The caller holds the mutex.
func (s *Service) forecast(now time.Time, request Request, class string, stages []note.Stage) time.Duration {
	total := time.Duration(0)
	for _, stage := range stages {
		total += s.chooser.Forecast(now, route.Workload{Service: stage.Service, Class: class, Account: request.Account})
	}
	return total
}

// stageDeadline returns the time by which the stage must finish so that the
// later stages can meet the deadline of the run, the latest of its waiters'.
func (g *stageRun) stageDeadline() time.Time {
	s := g.run.service
	deadline := g.run.currentDeadline()
	now := s.Clock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return deadline.Add(-s.forecast(now, g.run.request, g.run.pipeline.Class, g.run.pipeline.Stages[g.index+1:]))
}
