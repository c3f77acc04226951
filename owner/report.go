package owner

import (
	"context"
	"strconv"
	"time"

	"bergamotworks/engine"
	"bergamotworks/pool"
)

// loopPolls polls the load of the targets of all owned pools, one after another,
// until ctx ends. It returns nil.
func (s *Service) loopPolls(ctx context.Context) error {
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

// poll fetches the load of each target of a pool and returns the number of targets.
func (s *Service) poll(ctx context.Context, o *ownedPool) int {
	config := s.Config()
	names := o.spec().Targets
	for _, n := range names {
		address := config.Sections.Targets[n].Address
		pollCtx, cancel := context.WithTimeout(ctx, pollInterval)
		report, err := s.Engine.Load(pollCtx, n, address)
		cancel()
		if err != nil {
			s.Metrics.GetOrCreateCounter("owner_poll_errors_total").Inc()
			continue
		}
		o.step(s.Clock.Now(), pool.LoadReported{Target: n, Load: loadReport(report, o.cacheCursors[n])})
		s.pollCache(ctx, o, n, address, report.CacheSequence)
	}
	return len(names)
}

// cacheCursor is the position up to which the cache events of a target have been
// read. Only the goroutine of loopPolls uses it.
type cacheCursor struct {
	sequence       int64  // Sequence number of the last event read.
	reportSequence uint64 // Sequence number of the last report to the pool.
}

// pollCache fetches the cache events of a target that has new ones and reports
// them to the pool. It skips a sequence number if events were lost, so that the
// pool detects the gap.
func (s *Service) pollCache(ctx context.Context, o *ownedPool, target, address string, sequence int64) {
	c := o.cacheCursors[target]
	if sequence == c.sequence {
		return
	}
	pollCtx, cancel := context.WithTimeout(ctx, pollInterval)
	defer cancel()
	events, err := s.Engine.CacheEvents(pollCtx, target, address, c.sequence)
	if err != nil {
		s.Metrics.GetOrCreateCounter("owner_poll_errors_total").Inc()
		return
	}
	c.reportSequence++
	if events.Gap {
		c.reportSequence++
	}
	c.sequence = events.Sequence
	o.cacheCursors[target] = c
	o.step(s.Clock.Now(), pool.CacheReported{
		Target: target, Sequence: c.reportSequence, Added: parsePrefixes(events.Added), Removed: parsePrefixes(events.Removed),
	})
}

// parsePrefixes parses prefix hashes in hexadecimal and skips malformed ones.
func parsePrefixes(names []string) []uint64 {
	hashes := make([]uint64, 0, len(names))
	for _, n := range names {
		if h, err := strconv.ParseUint(n, 16, 64); err == nil {
			hashes = append(hashes, h)
		}
	}
	return hashes
}

// loadReport converts a report of the engine. A cache sequence number lower than
// the last one read means that the cache was emptied. The number of cached
// prefixes is not known: the result only says whether there are any.
func loadReport(report engine.LoadReport, cursor cacheCursor) pool.LoadReport {
	load := pool.LoadReport{
		Incarnation: uint64(report.Incarnation),
		Running:     report.Running,
		Waiting:     report.Waiting,
		Cached:      unknownCache,
	}
	switch {
	case report.CacheSequence < cursor.sequence:
		load.Cached = 0
	case report.CacheSequence > 0:
		load.Cached = 1
	}
	return load
}

// unknownCache is the number of cached prefixes in a report without cache events.
const unknownCache = -1
