package batch

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/site"
)

// perform executes the requested actions of a table. The caller holds
// s.mutex.
func (s *Service) perform(b *batcher) {
	for _, a := range b.table.TakeActions() {
		switch v := a.(type) {
		case StartCall:
			s.running.Add(1)
			c := callTask{service: s, batcher: b, start: v, timeout: b.callTimeout(len(v.Pieces))}
			go c.run()
		case GroupDone:
			if outcome := b.waiters[v.Group]; outcome != nil {
				delete(b.waiters, v.Group)
				outcome <- v
			}
		case ReleaseResults:
			s.running.Add(1)
			r := releaseTask{service: s, batcher: b, release: v}
			go r.run()
		case MeasureCapacity:
			s.running.Add(1)
			m := measureTask{service: s, batcher: b, target: v.Target}
			go m.run()
		}
	}
}

// callTimeout returns the time after which a call with the given number of
// pieces is canceled as lost.
func (b *batcher) callTimeout(pieces int) time.Duration {
	return 2*b.table.callTime(pieces) + callSlack
}

// callTask sends one call to a target.
type callTask struct {
	service *Service
	batcher *batcher
	start   StartCall
	timeout time.Duration
}

func (c callTask) run() {
	s := c.service
	defer s.running.Done()
	ctx, cancel := context.WithTimeout(s.baseContext, c.timeout)
	defer cancel()
	s.Rollouts.RunStarted(c.start.Target)
	defer s.Rollouts.RunEnded(c.start.Target)
	started := s.Clock.Now()
	results, err := s.Runner.Run(ctx, c.start.Target, c.start.Pieces)
	if err == nil && len(results) != len(c.start.Pieces) {
		err = fault.New(fault.TargetFailed, fault.MayHaveRun, "%d results for %d pieces", len(results), len(c.start.Pieces))
	}
	took := s.Clock.Now().Sub(started)
	s.recordCall(c, took, results, err)
	s.recordVersion(c.start.Target, took, results, err)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c.batcher.table.CallEnded(s.Clock.Now(), c.start.Target.ID, c.start.CallID, results, err)
	s.perform(c.batcher)
}

// recordCall logs the end of a call and updates the metrics.
func (s *Service) recordCall(c callTask, took time.Duration, results []Result, err error) {
	entry := s.Log.WithFields(logrus.Fields{
		"service": c.batcher.name, "target": c.start.Target.ID, "pieces": len(c.start.Pieces),
		"first": c.start.Pieces[0].Request, "ms": took.Milliseconds(), "waiting": c.start.Waiting, "room_bytes": c.start.FreeCapacity,
	})
	if err != nil {
		s.countPieces(c.batcher.name, "failed", len(c.start.Pieces))
		entry.WithField("error", err.Error()).Warn("batch call failed")
		return
	}
	s.Metrics.GetOrCreateHistogram(fmt.Sprintf("batch_call_seconds{service=%q}", c.batcher.name)).Update(took.Seconds())
	missing := make(map[string]int)
	for _, r := range results {
		if r.Handle == "" {
			missing[r.Reason.String()]++
		}
	}
	processed := len(results)
	for reason, n := range missing {
		processed -= n
		s.countPieces(c.batcher.name, reason, n)
		entry = entry.WithField(reason, n)
	}
	s.countPieces(c.batcher.name, "made", processed)
	entry.Info("batch call completed")
}

func (s *Service) countPieces(service, result string, n int) {
	s.Metrics.GetOrCreateCounter(fmt.Sprintf("batch_pieces_total{service=%q,result=%q}", service, result)).Add(n)
}

// releaseTask deletes results at a target.
type releaseTask struct {
	service *Service
	batcher *batcher // Nil if the owner is another VM.
	release ReleaseResults
}

func (r releaseTask) run() {
	s := r.service
	defer s.running.Done()
	ctx, cancel := context.WithTimeout(s.baseContext, maintenanceTimeout)
	defer cancel()
	if err := s.Runner.Release(ctx, r.release.Target, r.release.Handles); err != nil {
		s.Log.WithFields(logrus.Fields{"target": r.release.Target.ID, "handles": len(r.release.Handles), "error": err.Error()}).Warn("releasing results failed; the target keeps them until they expire")
		return
	}
	if r.batcher == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r.batcher.table.ResultsReleased(s.Clock.Now(), r.release.Target.ID, r.release.Handles)
	s.perform(r.batcher)
}

// measureTask queries the free capacity of a target.
type measureTask struct {
	service *Service
	batcher *batcher
	target  site.Target
}

func (m measureTask) run() {
	s := m.service
	defer s.running.Done()
	ctx, cancel := context.WithTimeout(s.baseContext, maintenanceTimeout)
	defer cancel()
	free, err := s.Runner.FreeCapacity(ctx, m.target)
	if err != nil {
		s.Log.WithFields(logrus.Fields{"target": m.target.ID, "error": err.Error()}).Warn("querying the free capacity of a target failed")
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.Log.WithFields(logrus.Fields{"service": m.batcher.name, "target": m.target.ID, "free_bytes": free, "limit_bytes": m.batcher.table.Limits.ResultCapacityBytes}).Info("target reported its free capacity")
	m.batcher.table.CapacityMeasured(s.Clock.Now(), m.target.ID, free)
	s.perform(m.batcher)
}
