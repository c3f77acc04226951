package relay

import (
	"fmt"
	"math"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"bergamotworks/member"
	"bergamotworks/place"
	"bergamotworks/site"
)

const (
	// targetSpeedKind is the kind of announcements of the speed of a target.
	targetSpeedKind = "target_speed"
	// speedTTL is how long an announcement of a speed is gossiped.
	speedTTL = 3 * time.Second
	// speedsPerSecond and speedBurst limit the announcements of speeds by this node: one
	// whose own VM is slow could find every target slow.
	speedsPerSecond = 2
	speedBurst      = 4
	// speedCheckInterval is the time between two checks for overdue first events.
	speedCheckInterval = 100 * time.Millisecond
	// maxAnnouncedSlowShare is the largest share of the targets of a service that may be
	// slow. Above it, nothing is announced: the cause is this node or the load.
	maxAnnouncedSlowShare = 0.5
)

// TargetSpeed is the speed of a target as nodes announce it to each other.
type TargetSpeed struct {
	place.SpeedReport
	At time.Time // By the clock of the node that reports it; it orders that node's reports.
}

// The parts of the value of an announcement, from the lowest bit: the hash of the
// observer, the slowdown in steps of 1/slowdownSteps, and the time in reportTimeUnit.
const (
	slowdownSteps = 10
	slowdownBits  = 10
	slowdownMask  = 1<<slowdownBits - 1
	speedLowBits  = place.ReportHashBits + slowdownBits
)

// Announcement returns the announcement that broadcasts the speed. Its key is the same
// for all announcements of one observer and target, so that the last one replaces the
// others.
func (r TargetSpeed) Announcement() member.Announcement {
	slowdown := uint64(min(slowdownMask, max(0, math.Round(r.Slowdown*slowdownSteps))))
	at := uint64(r.At.UnixMilli()) / uint64(reportTimeUnit.Milliseconds())
	value := at<<speedLowBits | slowdown<<place.ReportHashBits | uint64(r.Observer)
	return member.Announcement{
		Kind: targetSpeedKind, Key: speedKey(r.Target, r.Observer), Value: int64(value), Until: r.At.Add(speedTTL),
	}
}

// speedKey returns the key of announcements. It returns the target for the key.
func speedKey(target uint64, observer uint16) uint64 {
	return target ^ member.Score(uint64(observer)+1, 0)
}

// TargetSpeedFromAnnouncement returns the speed that a announces. It reports false for an
// announcement of another kind or a malformed one.
func TargetSpeedFromAnnouncement(a member.Announcement) (TargetSpeed, bool) {
	value := uint64(a.Value)
	r := TargetSpeed{At: time.UnixMilli(a.Value >> speedLowBits * reportTimeUnit.Milliseconds())}
	r.Observer = uint16(value & reportHashMask)
	r.Slowdown = float64(value>>place.ReportHashBits&slowdownMask) / slowdownSteps
	r.Target = speedKey(a.Key, r.Observer)
	return r, a.Kind == targetSpeedKind && a.Value >= 0 && r.Slowdown > 0
}

// beginCall records that the request is about to be sent to a target, and starts the
// loop that finds overdue first events. The mutex is held.
func (s *Server) beginCall(x *exchange, t site.Target) {
	if !s.ExpectedTime && !s.placement.Estimates(x.service) {
		return
	}
	x.call = s.placement.Begin(s.Clock.Now(), t, x.criteria(nil))
	if x.call == nil || s.checkingSpeeds || s.closed {
		return
	}
	s.checkingSpeeds = true
	s.running.Add(1)
	go s.loopSpeeds()
}

// loopSpeeds checks for overdue first events until no call awaits one.
func (s *Server) loopSpeeds() {
	defer s.running.Done()
	for awaiting := true; awaiting; {
		<-s.Clock.After(speedCheckInterval)
		awaiting = s.checkSpeeds()
	}
}

// checkSpeeds logs and announces what has been found out about the speed of targets. It
// reports whether calls await their first event.
func (s *Server) checkSpeeds() bool {
	now := s.Clock.Now()
	s.mutex.Lock()
	changes, conditions := s.placement.CheckSpeeds(now), s.placement.CheckConditions(now)
	s.checkingSpeeds = s.placement.Awaiting() && !s.closed
	awaiting := s.checkingSpeeds
	slow := float64(s.placement.SlowTargets())
	s.mutex.Unlock()
	for _, c := range conditions {
		s.logCondition(now, c)
	}
	for _, c := range changes {
		s.logSpeed(now, c)
		if c.Announce && slow <= max(1, maxAnnouncedSlowShare*float64(len(s.Directory().Usable(c.Target.Service)))) {
			s.announceSpeed(now, c)
		}
	}
	return awaiting
}

// logCondition counts and logs that a target is slow, failing or full, or is not any
// more.
func (s *Server) logCondition(now time.Time, c place.ConditionChange) {
	s.Metrics.GetOrCreateCounter(fmt.Sprintf("relay_target_condition_changes_total{condition=%q,entered=\"%t\"}", c.Condition, c.Entered)).Inc()
	if !s.speedLogLimit.AllowN(now, 1) {
		return
	}
	s.Log.WithFields(logrus.Fields{
		"target": c.Target, "service": c.Service, "condition": c.Condition.String(), "entered": c.Entered, "slowdown": c.Slowdown, "failures": c.Failures,
		"running": c.Load.Running, "waiting": c.Load.Waiting, "slots": c.Load.Slots, "report_age_ms": c.ReportAge.Milliseconds(),
	}).Info("the condition of a target has changed")
}

// logSpeed logs the call that showed that a target is slow, or that it is not any more.
func (s *Server) logSpeed(now time.Time, c place.SpeedChange) {
	if !c.Changed || !s.speedLogLimit.AllowN(now, 1) {
		return
	}
	s.Log.WithFields(logrus.Fields{
		"target": c.Target.ID, "service": c.Target.Service, "incarnation": c.Target.Incarnation, "slow": c.Slow, "slowdown": c.Slowdown,
		"overdue": c.Overdue, "elapsed_ms": c.Elapsed.Milliseconds(), "expected_ms": c.Expected.Milliseconds(),
	}).Info("the first event of a call shows the speed of its target")
}

// announceSpeed broadcasts what this node has found out about the speed of a target.
func (s *Server) announceSpeed(now time.Time, c place.SpeedChange) {
	if s.OnTargetSpeed == nil {
		return
	}
	if !s.speedLimit.AllowN(now, 1) {
		s.countSpeeds("limited")
		return
	}
	s.countSpeeds("sent")
	s.OnTargetSpeed(TargetSpeed{At: now, SpeedReport: place.SpeedReport{
		Target: place.TargetKey(c.Target), Slowdown: c.Slowdown, Observer: place.NameHash(s.Self),
	}})
}

// ObserveTargetSpeed records the speed of a target that another node has announced.
func (s *Server) ObserveTargetSpeed(r TargetSpeed) {
	s.once.Do(s.init)
	t, ok := s.findTarget(r.Target)
	if !ok || r.Observer == place.NameHash(s.Self) {
		return
	}
	now := s.Clock.Now()
	s.mutex.Lock()
	s.placement.ObserveSpeed(now, t, r.SpeedReport)
	s.mutex.Unlock()
	s.countSpeeds("received")
	if s.speedLogLimit.AllowN(now, 1) {
		s.Log.WithFields(logrus.Fields{"target": t.ID, "service": t.Service, "slowdown": r.Slowdown, "observer": r.Observer}).Info("another node reports the speed of a target")
	}
}

// firstEvent records that the first event of the present call, or the response if it has
// no events, has arrived.
func (x *exchange) firstEvent() {
	s := x.server
	if x.call == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.placement.FirstEvent(s.Clock.Now(), x.call)
}

func (s *Server) countSpeeds(outcome string) {
	s.Metrics.GetOrCreateCounter(fmt.Sprintf("relay_target_speeds_total{outcome=%q}", outcome)).Inc()
}

// conditionCount returns the function that counts the targets in a condition.
func (s *Server) conditionCount(c place.Condition) func() float64 {
	return func() float64 {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return float64(s.placement.CountCondition(c))
	}
}

func newSpeedLimit() *rate.Limiter { return rate.NewLimiter(speedsPerSecond, speedBurst) }
