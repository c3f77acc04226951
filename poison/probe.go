package poison

import (
	"slices"
	"time"
)

const (
	// probeAfter is the time after which a request with a quarantined fingerprint is
	// let through. The wait is multiplied by probeWaitFactor after each probe that is
	// lost.
	probeAfter      = 5 * time.Second
	probeWaitFactor = 4
	// soundProbeAfter and soundProbeWaitFactor apply to fingerprints of which a
	// request was completed at this node within completionLifetime.
	soundProbeAfter      = time.Second
	soundProbeWaitFactor = 2
	// minLostTogether is the number of targets whose loss at the same time has
	// another cause than a request.
	minLostTogether = 3
	maxRecentLosses = 64
)

// startProbes schedules the first probe of a fingerprint that is quarantined now.
func (t *Tracker) startProbes(now time.Time, fingerprint uint64, s *suspect) {
	if !s.nextProbe.IsZero() || !t.quarantined(fingerprint, s) {
		return
	}
	s.probeWait, s.probeFactor = probeAfter, probeWaitFactor
	if t.completedAt(fingerprint, now) {
		s.probeWait, s.probeFactor = soundProbeAfter, soundProbeWaitFactor
	}
	s.since, s.nextProbe = now, now.Add(s.probeWait)
}

// takeProbe reports whether the request is let through as a probe.
func (t *Tracker) takeProbe(now time.Time, fingerprint uint64, mayProbe func(uint64) bool) bool {
	s := t.suspects[fingerprint]
	if !s.probeLostAt.IsZero() && !t.lostTogether(s.probeLostAt) {
		longer := s.probeWait * time.Duration(s.probeFactor)
		s.nextProbe = s.nextProbe.Add(longer - s.probeWait)
		s.probeWait = longer
	}
	s.probeLostAt = time.Time{}
	if now.Before(s.nextProbe) || !mayProbe(fingerprint) {
		return false
	}
	s.nextProbe = now.Add(s.probeWait)
	return true
}

// RecordProbeLoss records that the target of a probe was lost. The next probe of
// the fingerprint waits longer, unless other targets were lost at the same time.
func (t *Tracker) RecordProbeLoss(now time.Time, fingerprint uint64) {
	if s := t.suspects[fingerprint]; s != nil {
		s.probeLostAt = now
	}
}

// lostTogether reports whether so many targets were lost at about the same time
// that no request can have caused it.
func (t *Tracker) lostTogether(at time.Time) bool {
	var targets []uint32
	for _, l := range t.recent {
		if l.At.Sub(at).Abs() < minGap && !slices.Contains(targets, l.Target) {
			targets = append(targets, l.Target)
		}
	}
	return len(targets) >= minLostTogether
}

// addRecent keeps a loss to find out later which targets were lost together.
func (t *Tracker) addRecent(l Loss) {
	if !l.ofPart() || slices.ContainsFunc(t.recent, func(o Loss) bool { return o.Target == l.Target }) {
		return
	}
	if len(t.recent) == maxRecentLosses {
		t.recent = slices.Delete(t.recent, 0, 1)
	}
	t.recent = append(t.recent, l)
}
