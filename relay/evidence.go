package relay

import (
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"bergamotworks/member"
	"bergamotworks/poison"
)

const (
	// fleetEvidencePerSecond and fleetEvidenceBurst limit the evidence that all
	// nodes together announce, for the case that many targets are lost at once.
	fleetEvidencePerSecond = 160
	fleetEvidenceBurst     = 640
	// minEvidencePerSecond and minEvidenceBurst are the least limits of one node.
	minEvidencePerSecond = 2
	minEvidenceBurst     = 6
)

// The kinds of announcements of evidence.
const (
	lossKind       = "request_loss"
	clearanceKind  = "request_sound"
	quarantineKind = "request_quarantine"
	probeKind      = "request_probe"
)

// The parts of the value of the announcement of a loss, from the lowest bit: the
// hashes of the target and of the content.
const (
	lossContentShift = 32
	lossTargetMask   = 1<<lossContentShift - 1
)

// probeWaitBits is the number of the lowest bits in the value of the announcement of a
// probe that hold the wait in milliseconds. The others hold the Unix time of the probe
// in milliseconds.
const probeWaitBits = 22

// maxProbeWait is the longest wait that can be announced, more than an hour.
const maxProbeWait = (1<<probeWaitBits - 1) * time.Millisecond

// EvidenceAnnouncement returns the announcement that broadcasts the evidence.
func EvidenceAnnouncement(e poison.Evidence) member.Announcement {
	switch e := e.(type) {
	case poison.Loss:
		value := uint64(e.Content)<<lossContentShift | uint64(e.Target)
		// The key differs between losses, so that one does not replace another.
		return member.Announcement{Kind: lossKind, Key: e.Fingerprint ^ member.Score(value, 0), Value: int64(value), Until: e.At.Add(poison.LossLifetime)}
	case poison.Clearance:
		return member.Announcement{Kind: clearanceKind, Key: e.Fingerprint, Value: e.At.UnixMilli(), Until: e.At.Add(poison.LossLifetime)}
	case poison.Quarantine:
		return member.Announcement{Kind: quarantineKind, Key: e.Fingerprint, Value: e.Until.UnixMilli(), Until: e.Until}
	case poison.Probe:
		e.Wait = min(e.Wait, maxProbeWait)
		value := e.At.UnixMilli()<<probeWaitBits | e.Wait.Milliseconds()
		return member.Announcement{Kind: probeKind, Key: e.Fingerprint, Value: value, Until: e.Until()}
	}
	return member.Announcement{}
}

// EvidenceFromAnnouncement returns the evidence that a announces, and false for an
// announcement of another kind.
func EvidenceFromAnnouncement(a member.Announcement) (poison.Evidence, bool) {
	switch a.Kind {
	case lossKind:
		value := uint64(a.Value)
		return poison.Loss{
			Fingerprint: a.Key ^ member.Score(value, 0), Target: uint32(value & lossTargetMask), Content: uint32(value >> lossContentShift),
			At: a.Until.Add(-poison.LossLifetime),
		}, true
	case clearanceKind:
		return poison.Clearance{Fingerprint: a.Key, At: time.UnixMilli(a.Value)}, true
	case quarantineKind:
		return poison.Quarantine{Fingerprint: a.Key, Until: time.UnixMilli(a.Value)}, true
	case probeKind:
		wait := a.Value & (1<<probeWaitBits - 1)
		return poison.Probe{Fingerprint: a.Key, At: time.UnixMilli(a.Value >> probeWaitBits), Wait: time.Duration(wait) * time.Millisecond}, true
	}
	return nil, false
}

// announce broadcasts evidence to the other nodes, within the share of this node of
// the fleet's limit. Quarantines and probes are always broadcast.
func (s *Server) announce(list []poison.Evidence) {
	if s.OnEvidence == nil {
		return
	}
	now := s.Clock.Now()
	for _, e := range list {
		if limited(e) && !s.allowEvidence(now) {
			s.Metrics.GetOrCreateCounter("relay_evidence_limited_total").Inc()
			continue
		}
		s.OnEvidence(e)
	}
}

// limited reports whether evidence is subject to the limit: there is a piece of it for
// each target that is lost or completes a request.
func limited(e poison.Evidence) bool {
	switch e.(type) {
	case poison.Loss, poison.Clearance:
		return true
	}
	return false
}

// allowEvidence reports whether this node may announce one more piece of evidence.
func (s *Server) allowEvidence(now time.Time) bool {
	nodes := s.nodeCount()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.evidenceLimit.SetLimitAt(now, rate.Limit(max(minEvidencePerSecond, fleetEvidencePerSecond/nodes)))
	s.evidenceLimit.SetBurstAt(now, max(minEvidenceBurst, int(fleetEvidenceBurst/nodes)))
	return s.evidenceLimit.AllowN(now, 1)
}

// ObserveEvidence records evidence that another node has announced.
func (s *Server) ObserveEvidence(e poison.Evidence) {
	s.once.Do(s.init)
	s.mutex.Lock()
	changed := s.losses.Observe(s.Clock.Now(), e)
	s.mutex.Unlock()
	if !changed {
		return
	}
	switch e := e.(type) {
	case poison.Loss:
		s.Log.WithFields(logrus.Fields{"fingerprint": e.Fingerprint, "lost_target": e.Target, "lost_at": e.At}).Info("another node lost a target during a request")
	case poison.Clearance:
		s.Log.WithFields(logrus.Fields{"fingerprint": e.Fingerprint, "cleared_at": e.At}).Info("another node completed a request that shares a fingerprint with lost ones")
	case poison.Quarantine:
		s.Log.WithFields(logrus.Fields{"fingerprint": e.Fingerprint, "until": e.Until}).Info("another node quarantines requests")
	case poison.Probe:
		s.Log.WithFields(logrus.Fields{"fingerprint": e.Fingerprint, "probed_at": e.At, "wait_ms": e.Wait.Milliseconds()}).Info("another node probes a quarantined fingerprint")
	}
}
