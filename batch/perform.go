package batch

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/site"
)

// perform carries out the actions of a table, under the service's mutex.
func (s *Service) perform(g *gathered) {
	for _, a := range g.table.TakeActions() {
		switch v := a.(type) {
		case StartCall:
			s.running.Add(1)
			c := calling{service: s, gathered: g, start: v, limit: g.callLimit(len(v.Pieces))}
			go c.run()
		case GroupDone:
			if wait := g.waiters[v.Group]; wait != nil {
				delete(g.waiters, v.Group)
				wait <- v
			}
		case ReleaseResults:
			s.running.Add(1)
			f := freeing{service: s, gathered: g, free: v}
			go f.run()
		case MeasureCapacity:
			s.running.Add(1)
			m := measuring{service: s, gathered: g, target: v.Target}
			go m.run()
		}
	}
}

// callLimit returns the time after which a call counts as lost.
func (g *gathered) callLimit(pieces int) time.Duration {
	return 2*g.table.callTime(pieces) + callSlack
}

// calling is a call in progress.
type calling struct {
	service  *Service
	gathered *gathered
	start    StartCall
	limit    time.Duration
}

func (c calling) run() {
	s := c.service
	defer s.running.Done()
	ctx, cancel := context.WithTimeout(s.base, c.limit)
	defer cancel()
	begun := s.Clock.Now()
	results, err := s.Runner.Run(ctx, c.start.Target, c.start.Pieces)
	if err == nil && len(results) != len(c.start.Pieces) {
		err = fault.New(fault.TargetFailed, fault.MayHaveRun, "%d results for %d pieces", len(results), len(c.start.Pieces))
	}
	s.note(c, s.Clock.Now().Sub(begun), results, err)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c.gathered.table.CallEnded(s.Clock.Now(), c.start.Target.ID, c.start.CallID, results, err)
	s.perform(c.gathered)
}

// note logs and counts the end of a call.
func (s *Service) note(c calling, took time.Duration, results []Result, err error) {
	entry := s.Log.WithFields(logrus.Fields{
		"service": c.gathered.name, "target": c.start.Target.ID, "pieces": len(c.start.Pieces),
		"first": c.start.Pieces[0].Request, "ms": took.Milliseconds(), "waiting": c.start.Waiting, "room_bytes": c.start.FreeCapacity,
	})
	if err != nil {
		s.count(c.gathered.name, "failed", len(c.start.Pieces))
		entry.WithField("error", err.Error()).Warn("call for pieces failed")
		return
	}
	s.Metrics.GetOrCreateHistogram(fmt.Sprintf("batch_call_seconds{service=%q}", c.gathered.name)).Update(took.Seconds())
	missing := make(map[string]int)
	for _, r := range results {
		if r.Handle == "" {
			missing[r.Reason.String()]++
		}
	}
	made := len(results)
	for reason, n := range missing {
		made -= n
		s.count(c.gathered.name, reason, n)
		entry = entry.WithField(reason, n)
	}
	s.count(c.gathered.name, "made", made)
	entry.Info("call for pieces ended")
}

func (s *Service) count(service, result string, n int) {
	s.Metrics.GetOrCreateCounter(fmt.Sprintf("batch_pieces_total{service=%q,result=%q}", service, result)).Add(n)
}

// freeing gives up results at their target.
type freeing struct {
	service  *Service
	gathered *gathered // Nil if another VM keeps the account of the memory.
	free     ReleaseResults
}

func (f freeing) run() {
	s := f.service
	defer s.running.Done()
	ctx, cancel := context.WithTimeout(s.base, releaseTimeout)
	defer cancel()
	if err := s.Runner.Release(ctx, f.free.Target, f.free.Handles); err != nil {
		s.Log.WithFields(logrus.Fields{"target": f.free.Target.ID, "handles": len(f.free.Handles), "error": err.Error()}).Warn("results are kept until they expire")
		return
	}
	if f.gathered == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f.gathered.table.ResultsReleased(s.Clock.Now(), f.free.Target.ID, f.free.Handles)
	s.perform(f.gathered)
}

// measuring asks a target for its free memory.
type measuring struct {
	service  *Service
	gathered *gathered
	target   site.Target
}

func (m measuring) run() {
	s := m.service
	defer s.running.Done()
	ctx, cancel := context.WithTimeout(s.base, releaseTimeout)
	defer cancel()
	room, err := s.Runner.FreeCapacity(ctx, m.target)
	if err != nil {
		s.Log.WithFields(logrus.Fields{"target": m.target.ID, "error": err.Error()}).Warn("free memory of target unknown")
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.Log.WithFields(logrus.Fields{"service": m.gathered.name, "target": m.target.ID, "free_bytes": room, "limit_bytes": m.gathered.table.Limits.ResultCapacityBytes}).Info("memory of target measured")
	m.gathered.table.CapacityMeasured(s.Clock.Now(), m.target.ID, room)
	s.perform(m.gathered)
}
