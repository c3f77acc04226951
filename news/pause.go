package news

import "time"

// pauseThreshold is the least duration of a pause that is detected.
const pauseThreshold = 200 * time.Millisecond

// pauseDetector detects that the VM was suspended. The monotonic clock, by which
// the state of a node ages, stands still meanwhile; the time of day does not. A
// time of day that is set forward counts as a pause.
type pauseDetector struct {
	started time.Time     // First time observed.
	lead    time.Duration // By which the time of day is ahead of the monotonic clock.
	resumed time.Time     // End of the last pause; zero if there was none.
}

// observe is called at each time at which the age of the state matters.
func (d *pauseDetector) observe(now time.Time) {
	if d.started.IsZero() {
		d.started = now
	}
	timeOfDay := now.Round(0).Sub(d.started.Round(0))
	if d.advance(timeOfDay, now.Sub(d.started)) {
		d.resumed = now
	}
}

// advance reports whether there was a pause since the last call, given the times
// since the first call.
func (d *pauseDetector) advance(timeOfDay, monotonic time.Duration) bool {
	before := d.lead
	d.lead = timeOfDay - monotonic
	return d.lead-before > pauseThreshold
}

// age returns the time from asOf to now, or the maximum duration if the VM was
// paused in between.
func (d *pauseDetector) age(now, asOf time.Time) time.Duration {
	if asOf.Before(d.resumed) {
		return maxAge
	}
	return now.Sub(asOf)
}
