package batch

import (
	"time"

	"bergamotworks/site"
)

// The used memory of a target consists of tracked results, those of the
// table's own calls, and of untracked ones: results of calls that another
// owner made or whose responses were lost. The size of the untracked results
// is derived from the target's reports and assumed until the results must
// have expired.

func (k *targetState) tracks(handle string) bool {
	_, ok := k.results[handle]
	return ok
}

// usedBytes returns the memory of tracked results and of calls in flight, in
// bytes. It removes expired results.
func (k *targetState) usedBytes(now time.Time) int64 {
	var sum int64
	for h, r := range k.results {
		if now.After(r.expires) {
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

// usedBytesSince returns the part of the tracked memory that belongs to calls
// started at start or later.
func (k *targetState) usedBytesSince(start time.Time) int64 {
	var sum int64
	for _, r := range k.results {
		if !r.callStarted.Before(start) {
			sum += r.bytes
		}
	}
	for _, r := range k.running {
		if !r.started.Before(start) {
			sum += r.bytes
		}
	}
	return sum
}

// recordCapacity records the free memory that a target reported. A report may
// be up to maxReportAge old, so memory of calls started within that time
// is not subtracted as known.
func (k *targetState) recordCapacity(now time.Time, limits site.BatchLimits, free int64) {
	if !now.Before(k.untrackedUntil) {
		k.untrackedUntil = now.Add(limits.Retention)
	}
	known := k.usedBytes(now) - k.usedBytesSince(now.Add(-maxReportAge))
	k.untracked = max(0, limits.ResultCapacityBytes-free-known)
	k.measuredAt = now
}

// addUntracked adds memory of results that may exist at the target but whose
// handles are unknown.
func (k *targetState) addUntracked(now time.Time, limits site.BatchLimits, bytes int64) {
	if !now.Before(k.untrackedUntil) {
		k.untracked = 0
	}
	k.untracked += bytes
	k.untrackedUntil = now.Add(limits.Retention)
}

// needsMeasurement reports whether work waits for memory that untracked
// results took when the target last reported it, and that report is old.
func (k *targetState) needsMeasurement(now time.Time) bool {
	return k.lacksCapacity && k.untracked > 0 && now.Before(k.untrackedUntil) && now.Sub(k.measuredAt) >= measureInterval
}

// freeCapacity returns the free memory in bytes.
func (k *targetState) freeCapacity(now time.Time, limit int64) int64 {
	free := limit - k.usedBytes(now)
	if now.Before(k.untrackedUntil) {
		free -= k.untracked
	}
	return free
}

// recordRejection records that the target had no memory for a result of the
// given size.
func (k *targetState) recordRejection(now time.Time, bytes int64) {
	if !now.Before(k.rejectedUntil) || bytes < k.rejectedBytes {
		k.rejectedBytes = bytes
	}
	k.rejectedUntil = now.Add(rejectionBackoff)
}

// rejects reports whether the target would probably reject a result of the
// given size.
func (k *targetState) rejects(now time.Time, bytes int64) bool {
	return now.Before(k.rejectedUntil) && bytes >= k.rejectedBytes
}
