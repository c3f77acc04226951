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

// tracks reports whether the result is a tracked one.
func (s *targetState) tracks(handle string) bool {
	_, ok := s.results[handle]
	return ok
}

// usedBytes returns the memory of tracked results and of calls in flight, in
// bytes. It removes expired results.
func (s *targetState) usedBytes(now time.Time) int64 {
	var sum int64
	for h, r := range s.results {
		if now.After(r.expires) {
			delete(s.results, h)
			continue
		}
		sum += r.bytes
	}
	for _, call := range s.running {
		sum += call.bytes
	}
	return sum
}

// usedBytesSince returns the part of the tracked memory that belongs to calls
// started at start or later.
func (s *targetState) usedBytesSince(start time.Time) int64 {
	var sum int64
	for _, r := range s.results {
		if !r.callStarted.Before(start) {
			sum += r.bytes
		}
	}
	for _, call := range s.running {
		if !call.started.Before(start) {
			sum += call.bytes
		}
	}
	return sum
}

// recordCapacity records the free capacity in bytes that a target reported and
// derives the size of the untracked results from it. A report may be up to
// maxCapacityAge old and may not include the results of calls started within
// that time, so only the memory of earlier calls is subtracted; otherwise the
// untracked results could be underestimated.
func (s *targetState) recordCapacity(now time.Time, limits site.BatchLimits, free int64) {
	if !now.Before(s.untrackedUntil) {
		s.untrackedUntil = now.Add(limits.Retention)
	}
	known := s.usedBytes(now) - s.usedBytesSince(now.Add(-maxCapacityAge))
	s.untracked = max(0, limits.ResultCapacityBytes-free-known)
	s.measuredAt = now
}

// addUntracked adds memory in bytes of results that may exist at the target but
// whose handles are unknown.
func (s *targetState) addUntracked(now time.Time, limits site.BatchLimits, bytes int64) {
	if !now.Before(s.untrackedUntil) {
		s.untracked = 0
	}
	s.untracked += bytes
	s.untrackedUntil = now.Add(limits.Retention)
}

// needsMeasurement reports whether work waits for memory that untracked
// results took when the target last reported it, and that report is old.
func (s *targetState) needsMeasurement(now time.Time) bool {
	return s.lacksCapacity && s.untracked > 0 && now.Before(s.untrackedUntil) && now.Sub(s.measuredAt) >= measureInterval
}

// freeCapacity returns the free result capacity in bytes.
func (s *targetState) freeCapacity(now time.Time, limit int64) int64 {
	free := limit - s.usedBytes(now)
	if now.Before(s.untrackedUntil) {
		free -= s.untracked
	}
	return free
}

// recordRejection records that the target had no memory for a result of the
// given size.
func (s *targetState) recordRejection(now time.Time, bytes int64) {
	if !now.Before(s.rejectedUntil) || bytes < s.rejectedBytes {
		s.rejectedBytes = bytes
	}
	s.rejectedUntil = now.Add(rejectionBackoff)
}

// rejects reports whether the target would probably reject a result of the
// given size.
func (s *targetState) rejects(now time.Time, bytes int64) bool {
	return now.Before(s.rejectedUntil) && bytes >= s.rejectedBytes
}
