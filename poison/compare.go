package poison

import "cmp"

func compareFingerprints(a, b Announcement) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) }

// evictBefore reports whether a is evicted before b: the one with fewer crashes
// first, then the one that expires earlier, then the one with the lower
// fingerprint, so that the order is total.
func evictBefore(a, b Announcement) bool {
	if x, y := a.crashCount(), b.crashCount(); x != y {
		return x < y
	}
	if !a.Until.Equal(b.Until) {
		return a.Until.Before(b.Until)
	}
	return a.Fingerprint < b.Fingerprint
}
