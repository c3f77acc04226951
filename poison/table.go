package poison

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Standing says how a request may run.
type Standing int

// The standings of a request.
const (
	// Clean means that the request may run beside others.
	Clean Standing = iota
	// Suspect means that the request may run only alone on its target.
	Suspect
	// Quarantined means that the request is refused.
	Quarantined
)

const (
	defaultCapacity       = 4096
	defaultSuspectFor     = 10 * time.Minute
	defaultCondemnedFor   = 30 * time.Minute
	defaultCondemnedAfter = 2
	maxCrashes            = 8 // Crashes remembered for one fingerprint.

	// oneCrash is the time in which failures on one target are the same crash.
	oneCrash = 250 * time.Millisecond
)

// Table holds the fingerprints of requests that were part of a crash. The zero
// value is ready for use.
type Table struct {
	// Capacity bounds the number of fingerprints; zero means 4096.
	Capacity int
	// CondemnedAfter is the number of crashes after which a request is
	// condemned; zero means 2.
	QuarantineAfter int
	// SuspectFor and CondemnedFor, which is not shorter, are the times for which
	// a standing lasts; zero means 10 and 30 minutes.
	SuspectFor, QuarantineFor time.Duration

	rumours map[uint64]Announcement
}

// Empty reports whether no request has been part of a crash.
func (t *Table) Empty() bool { return len(t.rumours) == 0 }

// Check returns how a request may run at now.
func (t *Table) Check(now time.Time, fingerprint uint64) Standing {
	r, known := t.rumours[fingerprint]
	if !known || now.After(r.Until) {
		return Clean
	}
	switch n := r.counted(); {
	case n >= cmp.Or(t.QuarantineAfter, defaultCondemnedAfter):
		return Quarantined
	case n > 0:
		return Suspect
	}
	return Clean
}

// RecordCrash takes in that a target crashed at now while requests were in flight on
// it, and returns what to tell the other nodes.
func (t *Table) RecordCrash(now time.Time, target string, fingerprints []uint64) []Announcement {
	crash := crashID(now, target)
	rumours := make([]Announcement, 0, len(fingerprints))
	for _, f := range fingerprints {
		r := Announcement{Fingerprint: f, Crashes: []uint64{crash}, Until: now.Add(cmp.Or(t.SuspectFor, defaultSuspectFor))}
		rumours = append(rumours, t.merge(now, r))
	}
	return rumours
}

// RecordCompletion takes in that a suspect ran alone and completed, and returns what to
// tell the other nodes.
func (t *Table) RecordCompletion(now time.Time, fingerprint uint64) []Announcement {
	r, known := t.rumours[fingerprint]
	if !known || t.Check(now, fingerprint) != Suspect {
		return nil
	}
	r.Cleared = slices.Clone(r.Crashes)
	return []Announcement{t.merge(now, r)}
}

// Observe takes in a rumour from another node, and reports whether it was news.
func (t *Table) Observe(now time.Time, rumour Announcement) bool {
	if now.After(rumour.Until) {
		return false
	}
	before := t.rumours[rumour.Fingerprint]
	after := t.merge(now, rumour)
	return len(after.Crashes) != len(before.Crashes) || len(after.Cleared) != len(before.Cleared)
}

// CrashCount returns the number of crashes that count at now, over all requests.
func (t *Table) CrashCount(now time.Time) int {
	n := 0
	for _, r := range t.rumours {
		if !now.After(r.Until) {
			n += r.counted()
		}
	}
	return n
}

// Announcements returns all that is in force at now, sorted by fingerprint.
func (t *Table) Announcements(now time.Time) []Announcement {
	var all []Announcement
	for _, r := range t.rumours {
		if !now.After(r.Until) {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, compare)
	return all
}

func (t *Table) merge(now time.Time, rumour Announcement) Announcement {
	if t.rumours == nil {
		t.rumours = make(map[uint64]Announcement)
	}
	old, known := t.rumours[rumour.Fingerprint]
	if known && now.After(old.Until) {
		old = Announcement{}
	}
	if !known {
		t.makeRoom(now)
	}
	merged := rumour.with(old)
	limit := cmp.Or(t.QuarantineAfter, defaultCondemnedAfter)
	if merged.counted() >= limit && old.counted() < limit {
		merged.Until = now.Add(cmp.Or(t.QuarantineFor, defaultCondemnedFor))
	}
	t.rumours[rumour.Fingerprint] = merged
	return merged
}

// makeRoom drops what has expired and, if that is not enough, the rumour that
// counts the fewest crashes and expires first.
func (t *Table) makeRoom(now time.Time) {
	if len(t.rumours) < t.capacity() {
		return
	}
	var worst Announcement
	found := false
	for f, r := range t.rumours {
		if now.After(r.Until) {
			delete(t.rumours, f)
			continue
		}
		if !found || lessWorth(r, worst) {
			worst, found = r, true
		}
	}
	if found && len(t.rumours) >= t.capacity() {
		delete(t.rumours, worst.Fingerprint)
	}
}

func (t *Table) capacity() int {
	if t.Capacity <= 0 {
		return defaultCapacity
	}
	return t.Capacity
}

func crashID(now time.Time, target string) uint64 {
	text := binary.LittleEndian.AppendUint64([]byte(target), uint64(now.UnixNano()/int64(oneCrash)))
	return xxhash.Sum64(text)
}
