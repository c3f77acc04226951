package poison

import "cmp"

func compare(a, b Announcement) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) }

// lessWorth reports whether a is dropped before b.
func lessWorth(a, b Announcement) bool {
	if x, y := a.counted(), b.counted(); x != y {
		return x < y
	}
	if !a.Until.Equal(b.Until) {
		return a.Until.Before(b.Until)
	}
	return a.Fingerprint < b.Fingerprint
}
