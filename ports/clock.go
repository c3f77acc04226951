package ports

import "time"

// Clock provides the current time and timers.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives the time after the given duration.
	After(wait time.Duration) <-chan time.Time
}

// SystemClock is the clock of the operating system.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }

// After returns a channel that receives the time after the given duration.
func (SystemClock) After(wait time.Duration) <-chan time.Time { return time.After(wait) }
