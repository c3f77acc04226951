package retry

import (
	"cmp"
	"time"
)

const (
	floorPerSecond = 0.5 // Retries allowed without any first attempt.
	largestSaving  = 10  // Retries that a budget may hold at most.
)

// Budget bounds retries as a share of first attempts. The zero value allows
// only the floor.
type Budget struct {
	// Share is the number of retries allowed for each first attempt.
	RetryRatio float64
	// Floor is the number of retries per second allowed without any first
	// attempt; zero means 0.5.
	MinRetriesPerSecond float64
	// Largest is the number of retries that may be saved up; zero means 10.
	Burst float64
	// Start is the number of retries allowed at the start; zero means Largest,
	// and 1 if that is not set.
	Initial float64

	tokens  float64
	updated time.Time
}

// RecordFirstAttempt counts a first attempt at now.
func (b *Budget) RecordFirstAttempt(now time.Time) {
	b.settle(now)
	b.tokens = min(b.largest(), b.tokens+b.RetryRatio)
}

// Spend takes one retry out of the budget and reports whether there was one.
func (b *Budget) Spend(now time.Time) bool {
	b.settle(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) settle(now time.Time) {
	if b.updated.IsZero() {
		b.tokens = cmp.Or(b.Initial, max(1, b.Burst))
	} else {
		b.tokens = min(b.largest(), b.tokens+b.floor()*max(0, now.Sub(b.updated).Seconds()))
	}
	b.updated = now
}

func (b *Budget) floor() float64 {
	return cmp.Or(b.MinRetriesPerSecond, floorPerSecond)
}

func (b *Budget) largest() float64 {
	return cmp.Or(b.Burst, largestSaving)
}
