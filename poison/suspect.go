package poison

import (
	"slices"
	"time"
)

// maxLosses limits the losses that are kept of one fingerprint.
const maxLosses = 16

// suspect is what is known of one fingerprint.
type suspect struct {
	losses    []Loss // Of different targets, oldest first.
	clearedAt time.Time
	// imposed means that another node has quarantined the fingerprint, whatever
	// losses are known here.
	imposed bool
	// announced is the end of the quarantine that other nodes know of.
	announced time.Time
	until     time.Time // The record expires at this time.
	since     time.Time // Start of the quarantine; zero while there is none.
	nextProbe time.Time // Earliest time of the next probe of any node, as far as it is known.
	// probeWait is the wait before the next probe, which probeFactor multiplies after
	// each probe that is lost.
	probeWait   time.Duration
	probeFactor int
	probedAt    time.Time // Time of the last probe of this node.
	probeLostAt time.Time // The last probe of this node lost its target then.
}

// addLoss adds a loss and reports whether it counts: it is newer than the last
// clearance, and neither its target nor its content is that of another loss.
func (s *suspect) addLoss(l Loss) bool {
	if !l.At.After(s.clearedAt) || slices.ContainsFunc(s.losses, l.repeats) {
		return false
	}
	if len(s.losses) == maxLosses {
		s.losses = slices.Delete(s.losses, 0, 1)
	}
	at, _ := slices.BinarySearchFunc(s.losses, l, func(a, b Loss) int { return a.At.Compare(b.At) })
	s.losses = slices.Insert(s.losses, at, l)
	return true
}

// repeats reports whether another loss has the same target or the same content.
func (l Loss) repeats(other Loss) bool {
	return l.Target == other.Target || l.ofPart() && l.Content == other.Content
}

// independent returns the number of losses of which no two are within the gap. The
// gap does not apply to losses of requests with the same content.
func (s *suspect) independent(gap time.Duration) int {
	n := 0
	var last time.Time
	for _, l := range s.losses {
		if n > 0 && l.ofPart() && l.At.Sub(last) < gap {
			continue
		}
		n++
		last = l.At
	}
	return n
}

// accountsFor reports whether the losses of another fingerprint may all be due to
// this one: it was present at each of the targets lost, and at least once in the
// same request.
func (s *suspect) accountsFor(other *suspect) bool {
	together := false
	for _, l := range other.losses {
		if !slices.ContainsFunc(s.losses, func(own Loss) bool { return own.Target == l.Target }) {
			return false
		}
		together = together || l.ofPart() && slices.ContainsFunc(s.losses, func(own Loss) bool { return own.Content == l.Content })
	}
	return together
}

// holds reports whether anything speaks against the fingerprint at now.
func (s *suspect) holds(now time.Time) bool {
	return !now.After(s.until) && (len(s.losses) > 0 || s.imposed)
}

// clear discards the losses before a time and the quarantine.
func (s *suspect) clear(at time.Time) {
	s.losses = slices.DeleteFunc(s.losses, func(l Loss) bool { return !l.At.After(at) })
	s.clearedAt = at
	s.imposed = false
	s.announced, s.since, s.nextProbe = time.Time{}, time.Time{}, time.Time{}
	s.probeWait, s.probeLostAt = 0, time.Time{}
}
