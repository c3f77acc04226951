package poison

import (
	"slices"
	"time"
)

// LossLifetime is the time for which losses count, and for which a quarantine goes on
// after the last request with the fingerprint. It is the same on all nodes.
const LossLifetime = 2 * time.Minute

const (
	// lossLimit is the number of losses after which a fingerprint is quarantined.
	lossLimit = 3
	// minGap is the time within which several losses count once, since targets that
	// fail together have another cause than a request. It is halved for a
	// fingerprint of which no request was completed before.
	minGap             = 200 * time.Millisecond
	completionLifetime = time.Minute // For which a completion is remembered.
	// announceAfter is the time in which nodes that still let requests with the
	// fingerprint through can find that it is sound.
	announceAfter   = 5 * time.Second
	maxFingerprints = 4096 // That are suspect, and whose completion is remembered.
)

// Tracker finds the fingerprint that requests have in common which crash their
// targets, be it that of their content or of a part of their prompts, and says
// which requests to reject. It answers a load of requests of which no two are
// alike, mixed with sound requests that share all other fingerprints with them.
//
// A fingerprint is quarantined after losses of several targets, with different
// requests, if no request with it was completed in between. While several
// fingerprints have only been seen together, only requests with all of them are
// rejected. A quarantine lasts as long as such requests come; a single request is
// let through now and then, in case the fingerprint is sound.
//
// The zero value is ready for use. A Tracker is not safe for concurrent use.
type Tracker struct {
	suspects  map[uint64]*suspect
	completed map[uint64]time.Time // Last completion of a request with the fingerprint.
	recent    []Loss               // The newest losses, one of each target.
	until     time.Time            // The last record expires at this time.
}

// Verdict says whether a request may run.
type Verdict struct {
	Standing    Standing
	Fingerprint uint64 // The one that is quarantined.
	Probe       bool   // The request may run although it is quarantined.
	// Announce is evidence for the other nodes; may be empty.
	Announce []Evidence
}

// Empty reports whether nothing speaks against any fingerprint at now.
func (t *Tracker) Empty(now time.Time) bool { return now.After(t.until) }

// LossCount returns the number of losses at now that count against the content of
// requests.
func (t *Tracker) LossCount(now time.Time) int {
	n := 0
	for _, s := range t.suspects {
		// The losses of one fingerprint are all of a content at a service, or none is.
		if s.holds(now) && len(s.losses) > 0 && s.losses[0].Content == ContentAtService {
			n += len(s.losses)
		}
	}
	return n
}

// QuarantineCount returns the number of fingerprints that are quarantined at now.
func (t *Tracker) QuarantineCount(now time.Time) int {
	n := 0
	for f, s := range t.suspects {
		if s.holds(now) && t.quarantined(f, s) {
			n++
		}
	}
	return n
}

// RecordLoss records a loss that this node has observed. It returns the evidence
// for the other nodes, nil if the loss adds nothing to what is known.
func (t *Tracker) RecordLoss(now time.Time, l Loss) []Evidence {
	if !t.Observe(now, l) {
		return nil
	}
	return []Evidence{l}
}

// RecordCompletion records that a target has completed a request with the
// fingerprint, which is remembered for a minute. It returns the evidence for the
// other nodes, nil if nothing spoke against the fingerprint.
func (t *Tracker) RecordCompletion(now time.Time, fingerprint uint64) []Evidence {
	t.remember(now, fingerprint)
	if s := t.suspects[fingerprint]; s == nil || !s.holds(now) {
		return nil
	}
	c := Clearance{Fingerprint: fingerprint, At: now}
	if !t.Observe(now, c) {
		return nil
	}
	return []Evidence{c}
}

// Observe applies the evidence of another node and reports whether it changes what
// is known here.
func (t *Tracker) Observe(now time.Time, e Evidence) bool {
	switch e := e.(type) {
	case Loss:
		return t.addLoss(now, e)
	case Clearance:
		return t.clear(now, e)
	case Quarantine:
		return t.impose(now, e)
	case Probe:
		return t.deferProbe(now, e)
	}
	return false
}

// remember stores the time of a completion. If there is no space, another one is
// forgotten.
func (t *Tracker) remember(now time.Time, fingerprint uint64) {
	if t.completed == nil {
		t.completed = make(map[uint64]time.Time)
	}
	if _, ok := t.completed[fingerprint]; !ok && len(t.completed) >= maxFingerprints {
		for f := range t.completed {
			delete(t.completed, f)
			break
		}
	}
	t.completed[fingerprint] = now
}

func (t *Tracker) addLoss(now time.Time, l Loss) bool {
	if now.Sub(l.At) >= LossLifetime {
		return false
	}
	t.addRecent(l)
	s := t.suspect(now, l.Fingerprint)
	if !s.addLoss(l) {
		return false
	}
	t.extend(s, l.At.Add(LossLifetime))
	t.startProbes(now, l.Fingerprint, s)
	return true
}

func (t *Tracker) clear(now time.Time, c Clearance) bool {
	until := c.At.Add(LossLifetime)
	if now.After(until) {
		return false
	}
	s := t.suspect(now, c.Fingerprint)
	if !c.At.After(s.clearedAt) {
		return false
	}
	known := len(s.losses) > 0 || s.imposed
	s.clear(c.At)
	// The record outlives the losses that it clears, which may arrive later.
	if until.After(s.until) {
		s.until = until
	}
	t.startProbes(now, c.Fingerprint, s)
	return known
}

func (t *Tracker) impose(now time.Time, q Quarantine) bool {
	if !now.Before(q.Until) {
		return false
	}
	s := t.suspect(now, q.Fingerprint)
	if !q.Until.Add(-LossLifetime).After(s.clearedAt) {
		return false
	}
	known := s.imposed
	s.imposed = true
	t.extend(s, q.Until)
	s.announced = q.Until
	t.startProbes(now, q.Fingerprint, s)
	return !known
}

// extend makes a record expire not before a time.
func (t *Tracker) extend(s *suspect, until time.Time) {
	if until.After(s.until) {
		s.until = until
	}
	if until.After(t.until) {
		t.until = until
	}
}

// Standing returns the standing of a request with the fingerprints, for log lines.
func (t *Tracker) Standing(now time.Time, fingerprints []uint64) Standing {
	standing := Clean
	for _, f := range fingerprints {
		switch s := t.suspects[f]; {
		case s == nil || !s.holds(now):
		case t.quarantined(f, s) && !t.otherCause(f, s, fingerprints):
			return Quarantined
		default:
			standing = Suspect
		}
	}
	return standing
}

// Check returns whether a request with the fingerprints may run. If it must not,
// the quarantine is extended. MayProbe says whether this node is the one that lets
// a request through now and then.
func (t *Tracker) Check(now time.Time, fingerprints []uint64, mayProbe func(fingerprint uint64) bool) Verdict {
	v, suspected := Verdict{}, 0
	for _, f := range fingerprints {
		s := t.suspects[f]
		if s == nil || !s.holds(now) {
			continue
		}
		if len(s.losses) > 1 || s.imposed {
			suspected++
		}
		v.Standing = max(v.Standing, Suspect)
		if !t.quarantined(f, s) || t.otherCause(f, s, fingerprints) {
			continue
		}
		v.Announce = append(v.Announce, t.announcement(now, f, s)...)
		t.extend(s, now.Add(LossLifetime))
		v.Standing, v.Fingerprint = Quarantined, f
	}
	// With two suspects in one request, its loss would say nothing of either.
	if v.Standing == Quarantined && suspected == 1 && t.takeProbe(now, v.Fingerprint, mayProbe) {
		v.Probe = true
		v.Announce = append(v.Announce, t.probe(now, v.Fingerprint))
	}
	return v
}

// quarantined reports whether enough speaks against a fingerprint.
func (t *Tracker) quarantined(fingerprint uint64, s *suspect) bool {
	if s.imposed {
		return true
	}
	if len(s.losses) < lossLimit {
		return false
	}
	gap := minGap
	if !t.completedAt(fingerprint, s.losses[0].At) {
		gap /= 2
	}
	return s.independent(gap) >= lossLimit
}

// completedAt reports whether a request with the fingerprint was completed at this
// node shortly before a time.
func (t *Tracker) completedAt(fingerprint uint64, at time.Time) bool {
	last, ok := t.completed[fingerprint]
	return ok && at.Sub(last) < completionLifetime
}

// otherCause reports whether a fingerprint that the request does not have may have
// caused all losses instead.
func (t *Tracker) otherCause(fingerprint uint64, s *suspect, present []uint64) bool {
	if len(s.losses) == 0 {
		return false
	}
	for f, other := range t.suspects {
		if f != fingerprint && !slices.Contains(present, f) && other.accountsFor(s) {
			return true
		}
	}
	return false
}

// announcement returns the quarantine to announce to the other nodes, so that it
// outlives the losses and reaches nodes that start later. It returns nil while
// another fingerprint may be the cause or if they know of it already.
func (t *Tracker) announcement(now time.Time, fingerprint uint64, s *suspect) []Evidence {
	if s.announced.Sub(now) > LossLifetime/2 || now.Sub(s.since) < announceAfter {
		return nil
	}
	recent := len(s.losses) > 0 && now.Sub(s.losses[0].At) < LossLifetime/2
	if recent && t.otherCause(fingerprint, s, nil) {
		return nil
	}
	q := Quarantine{Fingerprint: fingerprint, Until: now.Add(LossLifetime)}
	t.impose(now, q)
	return []Evidence{q}
}

// suspect returns the record of a fingerprint and creates it if there is none.
func (t *Tracker) suspect(now time.Time, fingerprint uint64) *suspect {
	if s := t.suspects[fingerprint]; s != nil && !now.After(s.until) {
		return s
	}
	if t.suspects == nil {
		t.suspects = make(map[uint64]*suspect)
	}
	expired := func(s *suspect) bool { return now.After(s.until) }
	evictIfFull(t.suspects, maxFingerprints, expired, (*suspect).weaker)
	s := &suspect{}
	t.suspects[fingerprint] = s
	return s
}

// weaker reports whether a record is evicted before another one.
func (s *suspect) weaker(other *suspect) bool {
	if s.imposed != other.imposed {
		return other.imposed
	}
	if a, b := len(s.losses), len(other.losses); a != b {
		return a < b
	}
	return s.until.Before(other.until)
}
