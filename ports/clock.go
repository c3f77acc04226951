package ports

import "time"

// Clock tells the time and wakes waiters.
type Clock interface {
	// Now returns the present time.
	Now() time.Time
	// After returns a channel that receives the time once the wait is over.
	After(wait time.Duration) <-chan time.Time
}

// SystemClock is the clock of the operating system.
type SystemClock struct{}

// Now returns the present time.
func (SystemClock) Now() time.Time { return time.Now() }

// After returns a channel that receives the time once the wait is over.
func (SystemClock) After(wait time.Duration) <-chan time.Time { return time.After(wait) }
