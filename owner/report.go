package owner

import (
	"context"
	"time"

	"bergamotworks/engine"
	"bergamotworks/pool"
)

// loopReports polls the load of the owned targets in turn.
func (s *Service) loopReports(ctx context.Context) error {
	for {
		polled := 0
		for _, o := range s.list() {
			polled += s.poll(ctx, o)
		}
		wait := max(pollInterval, time.Duration(polled)*pollPerTarget)
		select {
		case <-ctx.Done():
			return nil
		case <-s.Clock.After(wait):
		}
	}
}

// poll asks every target of a pool for its load and returns their number.
func (s *Service) poll(ctx context.Context, o *owned) int {
	config := s.Config()
	names := o.spec().Targets
	for _, n := range names {
		address := config.Sections.Targets[n].Address
		limited, cancel := context.WithTimeout(ctx, pollInterval)
		report, err := s.Engine.Load(limited, n, address)
		cancel()
		if err != nil {
			s.Metrics.GetOrCreateCounter("owner_poll_errors_total").Inc()
			continue
		}
		o.step(s.Clock.Now(), pool.Reported{Target: n, Load: loadReport(report)})
	}
	return len(names)
}

func loadReport(report engine.LoadReport) pool.LoadReport {
	return pool.LoadReport{
		Incarnation: uint64(report.Incarnation),
		Running:     report.Running,
		Waiting:     report.Waiting,
	}
}
