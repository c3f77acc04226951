package relay

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"bergamotworks/fault"
	"bergamotworks/member"
	"bergamotworks/place"
	"bergamotworks/site"
)

const (
	// targetReportKind is the kind of announcements of reports on targets.
	targetReportKind = "target_report"
	// reportTTL is how long a report is gossiped.
	reportTTL = 3 * time.Second
	// reportsPerSecond and reportBurst limit the reports that this node makes: one
	// whose own network is broken could report every target.
	reportsPerSecond = 4
	reportBurst      = 8
)

// TargetReport is a report on a target as nodes announce it to each other.
type TargetReport struct {
	place.Report
	At time.Time // By the clock of the node that reports it; it orders that node's reports.
}

// The parts of the value of an announcement, from the lowest bit: two hashes, the
// kind and the time in reportTimeUnit.
const (
	reportKindBits  = 2
	reportLowBits   = 2*place.ReportHashBits + reportKindBits
	reportTimeUnit  = 100 * time.Millisecond
	reportLowMask   = 1<<reportLowBits - 1
	reportHashMask  = 1<<place.ReportHashBits - 1
	reportKindMask  = 1<<reportKindBits - 1
	reportKindShift = 2 * place.ReportHashBits
)

// Announcement returns the announcement that broadcasts the report. Its key differs
// between observers, so that one report does not replace another.
func (r TargetReport) Announcement() member.Announcement {
	low := uint64(r.Observer) | uint64(r.Domain)<<place.ReportHashBits | uint64(r.Kind)<<reportKindShift
	at := uint64(r.At.UnixMilli()) / uint64(reportTimeUnit.Milliseconds())
	return member.Announcement{
		Kind: targetReportKind, Key: r.Target ^ member.Score(low, 0), Value: int64(at<<reportLowBits | low), Until: r.At.Add(reportTTL),
	}
}

// TargetReportFromAnnouncement returns the report that a announces. It reports false
// for an announcement of another kind or a malformed one.
func TargetReportFromAnnouncement(a member.Announcement) (TargetReport, bool) {
	low := uint64(a.Value) & reportLowMask
	r := TargetReport{At: time.UnixMilli(a.Value >> reportLowBits * reportTimeUnit.Milliseconds())}
	r.Report = place.Report{
		Target: a.Key ^ member.Score(low, 0), Observer: uint16(low & reportHashMask),
		Domain: uint16(low >> place.ReportHashBits & reportHashMask), Kind: place.ReportKind(low >> reportKindShift & reportKindMask),
	}
	known := r.Kind == place.Replaced || r.Kind == place.Silent || r.Kind == place.Leaving
	return r, a.Kind == targetReportKind && a.Value >= 0 && known
}

// reportKindOf returns what a failed attempt says about the target, false if
// nothing that other nodes should know.
func reportKindOf(err error) (place.ReportKind, bool) {
	switch e := fault.From(err); {
	case isLocalShortage(err):
		return 0, false
	case e.Kind == fault.Conflict:
		return place.Replaced, true
	case refusedConnect(err):
		return place.Replaced, true
	case e.Kind == fault.Unavailable:
		return place.Silent, true
	}
	return 0, false
}

// reportTarget announces that an attempt has failed for a reason that other nodes
// should know, unless they have reported it already.
func (s *Server) reportTarget(t site.Target, err error) {
	kind, ok := reportKindOf(err)
	if !ok || s.OnTargetReport == nil {
		return
	}
	s.announceTarget(t, kind, err.Error())
}

// ReportLeaving announces that a target has told this node that it leaves.
func (s *Server) ReportLeaving(t site.Target) {
	s.once.Do(s.init)
	if s.OnTargetReport != nil {
		s.announceTarget(t, place.Leaving, "the target says that it leaves")
	}
}

// announceTarget announces a report on a target, unless other nodes have reported the
// target already.
func (s *Server) announceTarget(t site.Target, kind place.ReportKind, reason string) {
	now := s.Clock.Now()
	s.mutex.Lock()
	reported := s.placement.Reported(now, t, place.NameHash(s.Domain))
	s.mutex.Unlock()
	if reported {
		s.countReports("known", kind)
		return
	}
	if !s.reportLimit.AllowN(now, 1) {
		s.countReports("limited", kind)
		return
	}
	s.countReports("sent", kind)
	s.Log.WithFields(logrus.Fields{"target": t.ID, "incarnation": t.Incarnation, "kind": kind.String(), "reason": reason}).Info("reporting a target to other nodes")
	s.OnTargetReport(TargetReport{At: now, Report: place.Report{
		Target: place.TargetKey(t), Kind: kind, Observer: place.NameHash(s.Self), Domain: place.NameHash(s.Domain),
	}})
}

// ObserveTargetReport records a report that another node has announced.
func (s *Server) ObserveTargetReport(r TargetReport) {
	s.once.Do(s.init)
	if r.Observer == place.NameHash(s.Self) {
		return // The own attempt has been recorded.
	}
	now := s.Clock.Now()
	s.mutex.Lock()
	s.placement.Observe(now, r.Report)
	s.mutex.Unlock()
	s.countReports("received", r.Kind)
	if t, ok := s.findTarget(r.Target); ok {
		s.Log.WithFields(logrus.Fields{"target": t.ID, "service": t.Service, "kind": r.Kind.String(), "observer": r.Observer}).Info("another node reports a target")
	}
}

// findTarget returns the target with the given key in reports.
func (s *Server) findTarget(key uint64) (site.Target, bool) {
	for _, t := range s.Directory().Targets {
		if place.TargetKey(t) == key {
			return t, true
		}
	}
	return site.Target{}, false
}

// dropOldState discards reports from before a pause of this node, which begins
// a new epoch of the membership, and the state of targets that are gone. The mutex
// is held.
func (s *Server) dropOldState() {
	if epoch := s.View().Epoch; epoch != s.reportEpoch {
		s.reportEpoch = epoch
		s.placement.DropReports()
	}
	if d := s.Directory(); d.Position != s.prunedPosition {
		s.prunedPosition = d.Position
		s.placement.Prune(s.Clock.Now(), d)
		s.admission().Prune(s.Clock.Now(), d)
		s.listPaced(s.Clock.Now(), d)
	}
}

func (s *Server) countReports(outcome string, kind place.ReportKind) {
	s.Metrics.GetOrCreateCounter(fmt.Sprintf("relay_target_reports_total{outcome=%q,kind=%q}", outcome, kind)).Inc()
}

func newReportLimit() *rate.Limiter { return rate.NewLimiter(reportsPerSecond, reportBurst) }
