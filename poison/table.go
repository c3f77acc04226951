package poison

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Standing determines whether a request may run, and how.
type Standing int

// The standings of a request. The line comments are their texts.
const (
	// Clean means that the request may run concurrently with others.
	Clean Standing = iota // clean
	// Suspect means that the request may run only while its target runs no
	// other request.
	Suspect // suspect
	// Quarantined means that the request is rejected.
	Quarantined // condemned
)

const (
	defaultCapacity        = 4096
	defaultSuspectFor      = 10 * time.Minute
	defaultQuarantineFor   = 30 * time.Minute
	defaultQuarantineAfter = 2
	maxCrashes             = 8 // Maximum number of crash IDs stored per fingerprint.

	// Failures of one target in the same window of this length, counted from the
	// Unix epoch, count as one crash.
	crashWindow = 250 * time.Millisecond
)

// Table holds the fingerprints of requests that were in flight on a target that
// crashed. The zero value is ready for use. A Table is not safe for concurrent
// use.
type Table struct {
	// Capacity is the maximum number of fingerprints; zero means 4096.
	Capacity int
	// QuarantineAfter is the number of crashes after which a request is
	// quarantined; zero means 2.
	QuarantineAfter int
	// SuspectFor and QuarantineFor are the durations for which a request stays
	// suspect and quarantined; zero means 10 and 30 minutes. QuarantineFor must
	// not be shorter than SuspectFor.
	SuspectFor, QuarantineFor time.Duration

	announcements map[uint64]Announcement
}

// Check returns the standing of a request at now.
func (t *Table) Check(now time.Time, fingerprint uint64) Standing {
	a, ok := t.announcements[fingerprint]
	if !ok || now.After(a.Until) {
		return Clean
	}
	switch crashes := a.crashCount(); {
	case crashes >= cmp.Or(t.QuarantineAfter, defaultQuarantineAfter):
		return Quarantined
	case crashes > 0:
		return Suspect
	}
	return Clean
}

// RecordCrash records that a target crashed at now while the given requests were
// in flight on it. It returns the announcements to broadcast to the other nodes.
func (t *Table) RecordCrash(now time.Time, target string, fingerprints []uint64) []Announcement {
	crash := crashID(now, target)
	announcements := make([]Announcement, 0, len(fingerprints))
	for _, f := range fingerprints {
		a := Announcement{Fingerprint: f, Crashes: []uint64{crash}, Until: now.Add(cmp.Or(t.SuspectFor, defaultSuspectFor))}
		announcements = append(announcements, t.merge(now, a))
	}
	return announcements
}

// RecordCompletion clears the crashes of a suspect request that ran alone and
// completed. The table cannot check that it ran alone; the caller must ensure it.
// RecordCompletion returns the announcements that clear the request on the other
// nodes, nil if the request was not suspect.
func (t *Table) RecordCompletion(now time.Time, fingerprint uint64) []Announcement {
	a, ok := t.announcements[fingerprint]
	if !ok || t.Check(now, fingerprint) != Suspect {
		return nil
	}
	a.Cleared = slices.Clone(a.Crashes)
	return []Announcement{t.merge(now, a)}
}

// Observe applies an announcement of another node and reports whether it changed
// the number of recorded or cleared crashes of the request. An announcement that
// has expired is ignored.
func (t *Table) Observe(now time.Time, announcement Announcement) bool {
	if now.After(announcement.Until) {
		return false
	}
	before := t.announcements[announcement.Fingerprint]
	after := t.merge(now, announcement)
	return len(after.Crashes) != len(before.Crashes) || len(after.Cleared) != len(before.Cleared)
}

// Announcements returns the state of all fingerprints that have not expired at
// now, sorted by fingerprint.
func (t *Table) Announcements(now time.Time) []Announcement {
	var all []Announcement
	for _, a := range t.announcements {
		if !now.After(a.Until) {
			all = append(all, a)
		}
	}
	slices.SortFunc(all, compareFingerprints)
	return all
}

// merge adds an announcement to the table and returns the merged announcement.
// One in the table that has expired is replaced. When this quarantines the
// request, the merged announcement expires QuarantineFor after now.
func (t *Table) merge(now time.Time, announcement Announcement) Announcement {
	if t.announcements == nil {
		t.announcements = make(map[uint64]Announcement)
	}
	old, ok := t.announcements[announcement.Fingerprint]
	if ok && now.After(old.Until) {
		old = Announcement{}
	}
	if !ok {
		expired := func(a Announcement) bool { return now.After(a.Until) }
		evictIfFull(t.announcements, t.capacity(), expired, evictBefore)
	}
	merged := announcement.union(old)
	limit := cmp.Or(t.QuarantineAfter, defaultQuarantineAfter)
	if merged.crashCount() >= limit && old.crashCount() < limit {
		merged.Until = now.Add(cmp.Or(t.QuarantineFor, defaultQuarantineFor))
	}
	t.announcements[announcement.Fingerprint] = merged
	return merged
}

func (t *Table) capacity() int {
	if t.Capacity <= 0 {
		return defaultCapacity
	}
	return t.Capacity
}

// crashID returns the ID of a crash, a hash of the target and the number of the
// window of length crashWindow. Two failures on both sides of the end of a window
// have different IDs, however short the time between them is.
func crashID(now time.Time, target string) uint64 {
	text := binary.LittleEndian.AppendUint64([]byte(target), uint64(now.UnixNano()/int64(crashWindow)))
	return xxhash.Sum64(text)
}
