package poison

import (
	"slices"
	"time"
)

// Announcement is the state of one fingerprint, as the tables of several nodes
// exchange it.
type Announcement struct {
	Fingerprint uint64 `json:"fingerprint"`
	// Crashes holds the IDs of the crashes in which the request was in flight.
	// The IDs ensure that a crash that is reported twice counts once.
	Crashes []uint64 `json:"crashes"`
	// Cleared holds the IDs of crashes that no longer count, because the
	// request ran alone afterwards and completed.
	Cleared []uint64 `json:"cleared,omitempty"`
	// Until is the time at which the announcement expires.
	Until time.Time `json:"until"`
}

// union merges two announcements of one fingerprint. It keeps the later expiry.
func (a Announcement) union(other Announcement) Announcement {
	a.Crashes = unionIDs(a.Crashes, other.Crashes)
	a.Cleared = unionIDs(a.Cleared, other.Cleared)
	if other.Until.After(a.Until) {
		a.Until = other.Until
	}
	return a
}

// crashCount returns the number of crashes that are not cleared.
func (a Announcement) crashCount() int {
	count := 0
	for _, crash := range a.Crashes {
		if !slices.Contains(a.Cleared, crash) {
			count++
		}
	}
	return count
}

// unionIDs returns the IDs of both lists, sorted, at most the maxCrashes smallest.
func unionIDs(a, b []uint64) []uint64 {
	ids := slices.Concat(a, b)
	slices.Sort(ids)
	ids = slices.Compact(ids)
	return ids[:min(len(ids), maxCrashes)]
}
