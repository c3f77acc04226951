package retry

import (
	"cmp"
	"time"
)

const (
	defaultMinRate = 0.5 // Retries per second allowed without first attempts.
	defaultBurst   = 10  // Maximum number of accumulated retries.
)

// Budget is a token bucket that limits retries to a ratio of first attempts.
// The zero value allows an initial retry and 0.5 retries per second.
type Budget struct {
	// RetryRatio is the number of retries allowed for each first attempt.
	RetryRatio float64
	// MinRetriesPerSecond is the number of retries per second allowed without
	// any first attempt; zero means 0.5.
	MinRetriesPerSecond float64
	// Burst is the maximum number of retries that can accumulate; zero means
	// 10.
	Burst float64
	// Initial is the number of retries allowed at the start; zero means
	// Burst, but at least 1. If both are zero, 1 retry is allowed.
	Initial float64

	tokens  float64
	updated time.Time
}

// RecordFirstAttempt adds the retry allowance of a first attempt at now.
func (b *Budget) RecordFirstAttempt(now time.Time) {
	b.refill(now)
	b.tokens = min(b.burst(), b.tokens+b.RetryRatio)
}

// Spend takes one retry from the budget. It reports false if none is left.
func (b *Budget) Spend(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now time.Time) {
	if b.updated.IsZero() {
		b.tokens = cmp.Or(b.Initial, max(1, b.Burst))
	} else {
		b.tokens = min(b.burst(), b.tokens+b.minRate()*max(0, now.Sub(b.updated).Seconds()))
	}
	b.updated = now
}

func (b *Budget) minRate() float64 {
	return cmp.Or(b.MinRetriesPerSecond, defaultMinRate)
}

func (b *Budget) burst() float64 {
	return cmp.Or(b.Burst, defaultBurst)
}
