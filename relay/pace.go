package relay

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotworks/member"
	"bergamotworks/place"
	"bergamotworks/site"
)

const (
	// targetPaceKind is the kind of announcements of the levels of paced targets.
	targetPaceKind = "target_pace"
	// paceTTL is how long a level is gossiped. It outlasts the time that a target usually
	// needs to reach its full share, so that nodes that start meanwhile learn of it.
	paceTTL = 15 * time.Second
	// paceLevelBits is the number of bits of the level in the value of an announcement,
	// below the time in milliseconds.
	paceLevelBits = 4
	paceLevelMask = 1<<paceLevelBits - 1
)

// paceAnnouncement returns the announcement that broadcasts an update. The later of two
// updates of one target has the higher value and takes precedence.
func paceAnnouncement(u place.PaceUpdate) member.Announcement {
	return member.Announcement{
		Kind: targetPaceKind, Key: u.Target, Value: u.At.UnixMilli()<<paceLevelBits | int64(u.Level), Until: u.At.Add(paceTTL),
	}
}

// PaceFromAnnouncement returns the update that a announces. It reports false for an
// announcement of another kind or a malformed one.
func PaceFromAnnouncement(a member.Announcement) (place.PaceUpdate, bool) {
	if a.Kind != targetPaceKind || a.Value < 0 {
		return place.PaceUpdate{}, false
	}
	return place.PaceUpdate{Target: a.Key, Level: int(a.Value & paceLevelMask), At: time.UnixMilli(a.Value >> paceLevelBits)}, true
}

// ObservePace records the level of a target that another node has announced.
func (s *Server) ObservePace(u place.PaceUpdate) {
	s.once.Do(s.init)
	now := s.Clock.Now()
	t, listed := s.findTarget(u.Target)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if listed && !s.paced(t.Service) {
		return // Nothing would raise the level here.
	}
	s.placement.Pace.Observe(now, u)
}

// listPaced applies the targets of a new directory to the pace. All nodes learn of these
// targets by themselves, so that the levels are not announced. The mutex is held.
func (s *Server) listPaced(now time.Time, d site.Directory) {
	var usable []site.Target
	for _, t := range d.Targets {
		if d.Accepts(t) {
			usable = append(usable, t)
		}
	}
	s.logPace(s.placement.Pace.List(now, usable, func(service string) int {
		return s.startPaceLevel(now, d, service)
	}))
}

// startPaceLevel returns the level of a target of a service that starts. The mutex is held.
func (s *Server) startPaceLevel(now time.Time, d site.Directory, name string) int {
	if !s.paced(name) {
		return place.FullPaceLevel
	}
	service, _ := s.Config().Service(name) // It is configured since its targets are paced.
	return s.placement.StartLevel(now, name, len(d.Usable(name)), s.nodeCount(), service.ColdRate)
}

// paced reports whether targets of a service that start or recover are paced. The mutex
// is held.
func (s *Server) paced(name string) bool {
	service, ok := s.Config().Service(name)
	return ok && service.Batch == nil && (s.ExpectedTime || s.placement.Estimates(name))
}

// announcePace logs and broadcasts the levels that responses have changed.
func (s *Server) announcePace(changes []place.PaceChange) {
	s.logPace(changes)
	if s.OnTargetPace == nil {
		return
	}
	for _, c := range changes {
		s.OnTargetPace(paceAnnouncement(c.PaceUpdate))
	}
}

func (s *Server) logPace(changes []place.PaceChange) {
	for _, c := range changes {
		s.Metrics.GetOrCreateCounter(fmt.Sprintf("relay_target_pace_changes_total{cause=%q}", c.Cause)).Inc()
		if s.speedLogLimit.AllowN(c.At, 1) {
			s.Log.WithFields(logrus.Fields{"target": c.ID, "pace_level": c.Level, "before": c.Before, "cause": c.Cause.String()}).Info("the pace of a target has changed")
		}
	}
}

// pacedTargetCount returns the number of targets that are paced.
func (s *Server) pacedTargetCount() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return float64(s.placement.Pace.Count())
}
