package warm

import (
	"math"
	"time"
)

const (
	averageGain     = 0.2             // Weight of a new sample.
	averageHalfLife = 5 * time.Second // Time without samples in which the weight of the mean against the fallback halves.
	peakWindow      = 2 * time.Second // A peak covers the current and the previous window.
)

// average is a moving average of durations, in nanoseconds. Its value is the mean
// until no sample has been added for a quarter of averageHalfLife, and then
// approaches a fallback.
type average struct {
	mean      float64
	updatedAt time.Time
}

func (a *average) add(now time.Time, sample time.Duration) {
	if a.updatedAt.IsZero() {
		a.mean = float64(sample)
	}
	a.mean += averageGain * (float64(sample) - a.mean)
	a.updatedAt = now
}

func (a *average) value(now time.Time, fallback time.Duration) time.Duration {
	if a.updatedAt.IsZero() {
		return fallback
	}
	age := now.Sub(a.updatedAt)
	if age < averageHalfLife/4 {
		return time.Duration(a.mean)
	}
	weight := math.Exp2(-float64(age) / float64(averageHalfLife))
	return time.Duration(weight*a.mean + (1-weight)*float64(fallback))
}

// peak is the maximum of a count over the current and the previous window.
type peak struct {
	windowStart       time.Time
	current, previous int
}

func (p *peak) observe(now time.Time, count int) {
	p.advance(now, count)
	p.current = max(p.current, count)
}

func (p *peak) advance(now time.Time, count int) {
	age := now.Sub(p.windowStart)
	if age < peakWindow {
		return
	}
	p.previous = p.current
	if age >= 2*peakWindow {
		p.previous = count
	}
	p.current = count
	p.windowStart = now
}

// value returns the peak at now, where count is the present count.
func (p *peak) value(now time.Time, count int) int {
	p.advance(now, count)
	return max(p.current, p.previous, count)
}
