package owner

import (
	"context"
	"strconv"
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
		o.step(s.Clock.Now(), pool.LoadReported{Target: n, Load: loadReport(report, o.feeds[n])})
		s.pollCache(ctx, o, n, address, report.CacheSequence)
	}
	return len(names)
}

// feed is how far the cache events of a target have been read. It is used by
// loopReports alone.
type feed struct {
	sequence int64  // Last event read.
	batch    uint64 // Number of batches passed to the pool, gaps counted.
}

// pollCache reads the cache events of a target that has new ones. A batch after
// a gap gets a number that shows it.
func (s *Service) pollCache(ctx context.Context, o *owned, target, address string, sequence int64) {
	f := o.feeds[target]
	if sequence == f.sequence {
		return
	}
	limited, cancel := context.WithTimeout(ctx, pollInterval)
	defer cancel()
	events, err := s.Engine.CacheEvents(limited, target, address, f.sequence)
	if err != nil {
		s.Metrics.GetOrCreateCounter("owner_poll_errors_total").Inc()
		return
	}
	f.batch++
	if events.Gap {
		f.batch++
	}
	f.sequence = events.Sequence
	o.feeds[target] = f
	o.step(s.Clock.Now(), pool.CacheReported{
		Target: target, Sequence: f.batch, Added: prefixes(events.Added), Removed: prefixes(events.Removed),
	})
}

// prefixes parses prefix hashes; names of another form are left out.
func prefixes(names []string) []uint64 {
	hashes := make([]uint64, 0, len(names))
	for _, n := range names {
		if h, err := strconv.ParseUint(n, 16, 64); err == nil {
			hashes = append(hashes, h)
		}
	}
	return hashes
}

// loadReport translates a report. A cache whose events start again from an
// earlier number has been emptied.
func loadReport(report engine.LoadReport, read feed) pool.LoadReport {
	load := pool.LoadReport{
		Incarnation: uint64(report.Incarnation),
		Running:     report.Running,
		Waiting:     report.Waiting,
		Cached:      unknownCache,
	}
	switch {
	case report.CacheSequence < read.sequence:
		load.Cached = 0
	case report.CacheSequence > 0:
		load.Cached = 1
	}
	return load
}

// unknownCache says that a report tells nothing about the cache.
const unknownCache = -1
