package fleet

import "slices"

// Shrink returns a day with fewer events that still breaks the rule, as far as it finds
// one. Broken plays a day and reports whether it breaks the rule.
func Shrink(d Day, broken func(Day) bool) Day {
	for size := max(1, len(d.Events)/2); size > 0; size /= 2 {
		for at := 0; at < len(d.Events); {
			smaller := d
			smaller.Events = slices.Delete(slices.Clone(d.Events), at, min(at+size, len(d.Events)))
			if broken(smaller) {
				d = smaller
			} else {
				at += size
			}
		}
	}
	return d
}
