package poison

import (
	"slices"
	"time"
)

// Announcement is what one table tells others about a fingerprint.
type Announcement struct {
	Fingerprint uint64 `json:"fingerprint"`
	// Crashes identify the crashes that the request was part of, so that one
	// crash told twice counts once.
	Crashes []uint64 `json:"crashes"`
	// Cleared identify the crashes that a later run alone has explained away.
	Cleared []uint64 `json:"cleared,omitempty"`
	// Until is the time up to which the rumour counts.
	Until time.Time `json:"until"`
}

// with returns the union of two rumours about one fingerprint.
func (r Announcement) with(other Announcement) Announcement {
	r.Crashes = union(r.Crashes, other.Crashes)
	r.Cleared = union(r.Cleared, other.Cleared)
	if other.Until.After(r.Until) {
		r.Until = other.Until
	}
	return r
}

// counted returns the number of crashes that still count.
func (r Announcement) counted() int {
	count := 0
	for _, x := range r.Crashes {
		if !slices.Contains(r.Cleared, x) {
			count++
		}
	}
	return count
}

func union(a, b []uint64) []uint64 {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), maxCrashes)]
}
