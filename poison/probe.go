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
	if !s.since.IsZero() || !t.quarantined(fingerprint, s) {
		return
	}
	s.since, s.probeFactor = now, probeWaitFactor
	wait := probeAfter
	if t.completedAt(fingerprint, now) {
		wait, s.probeFactor = soundProbeAfter, soundProbeWaitFactor
	}
	s.waitForProbe(now, wait)
}

// waitForProbe makes the next probe wait after a time, unless it waits longer already.
func (s *suspect) waitForProbe(from time.Time, wait time.Duration) {
	s.probeWait = max(s.probeWait, wait)
	if next := from.Add(wait); next.After(s.nextProbe) {
		s.nextProbe = next
	}
}

// probe returns the evidence for the other nodes that a request is let through as a
// probe. Any of them may be the one that lets the next one through. They wait as if
// this one were lost.
func (t *Tracker) probe(now time.Time, fingerprint uint64) Probe {
	s := t.suspects[fingerprint]
	s.probedAt = time.UnixMilli(now.UnixMilli()) // As precise as it is announced.
	return Probe{Fingerprint: fingerprint, At: s.probedAt, Wait: s.probeWait * time.Duration(s.probeFactor)}
}

// deferProbe applies the probe of another node and reports whether the next one waits
// longer than before. A node that hears of its own probe knows whether it was lost.
func (t *Tracker) deferProbe(now time.Time, p Probe) bool {
	if !now.Before(p.Until()) {
		return false
	}
	s := t.suspect(now, p.Fingerprint)
	if p.At.Equal(s.probedAt) || !p.At.After(s.clearedAt) || p.Wait <= s.probeWait && !p.At.Add(p.Wait).After(s.nextProbe) {
		return false
	}
	s.waitForProbe(p.At, p.Wait)
	if p.Until().After(s.until) {
		s.until = p.Until()
	}
	return true
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
