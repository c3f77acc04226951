package batch

import (
	"time"

	"bergamotworks/site"
)

// The memory of a target is what its results take: those of the table's own
// calls, whose handles are known, and foreign ones. Foreign memory is measured,
// and believed until the results must have expired.

func (k *state) holds(handle string) bool {
	_, ok := k.results[handle]
	return ok
}

// used returns the memory that the table's own results take.
func (k *state) used(now time.Time) int64 {
	var sum int64
	for h, r := range k.results {
		if now.After(r.until) {
			delete(k.results, h)
			continue
		}
		sum += r.bytes
	}
	for _, r := range k.running {
		sum += r.bytes
	}
	return sum
}

// usedSince returns the part of the used memory that calls begun at a time or
// later take.
func (k *state) usedSince(begin time.Time) int64 {
	var sum int64
	for _, r := range k.results {
		if !r.since.Before(begin) {
			sum += r.bytes
		}
	}
	for _, r := range k.running {
		if !r.since.Before(begin) {
			sum += r.bytes
		}
	}
	return sum
}

// measure takes in that a target has told its free memory. What it tells is as
// of a short time ago, so the latest calls may be missing in it.
func (k *state) measure(now time.Time, limits site.BatchLimits, free int64) {
	if !now.Before(k.foreignUntil) {
		k.foreignUntil = now.Add(limits.Retention)
	}
	known := k.used(now) - k.usedSince(now.Add(-reportLag))
	k.foreign = max(0, limits.ResultCapacityBytes-free-known)
	k.measuredAt = now
}

// leave notes that results may have been made whose handles are not known.
func (k *state) leave(now time.Time, limits site.BatchLimits, bytes int64) {
	if !now.Before(k.foreignUntil) {
		k.foreign = 0
	}
	k.foreign += bytes
	k.foreignUntil = now.Add(limits.Retention)
}

// outdated reports whether work waits for memory that results of another VM's
// calls took when the target was last measured.
func (k *state) outdated(now time.Time) bool {
	return k.short && k.foreign > 0 && now.Before(k.foreignUntil) && now.Sub(k.measuredAt) >= measureInterval
}

// room returns the free memory.
func (k *state) room(now time.Time, limit int64) int64 {
	free := limit - k.used(now)
	if now.Before(k.foreignUntil) {
		free -= k.foreign
	}
	return free
}

// crowd notes that a result of a size found no room.
func (k *state) crowd(now time.Time, bytes int64) {
	if !now.Before(k.crowdedUntil) || bytes < k.crowdedFrom {
		k.crowdedFrom = bytes
	}
	k.crowdedUntil = now.Add(crowdedTime)
}

// crowded reports whether a result of a size would find no room.
func (k *state) crowded(now time.Time, bytes int64) bool {
	return now.Before(k.crowdedUntil) && bytes >= k.crowdedFrom
}
