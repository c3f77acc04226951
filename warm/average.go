package warm

import (
	"math"
	"time"
)

const (
	averageGain     = 0.2
	averageHalfLife = 5 * time.Second
	peakWindow      = 2 * time.Second
)

// average is a moving average that returns to a default when it gets old.
type average struct {
	mean float64
	seen time.Time
}

func (a *average) add(now time.Time, sample time.Duration) {
	if a.seen.IsZero() {
		a.mean = float64(sample)
	}
	a.mean += averageGain * (float64(sample) - a.mean)
	a.seen = now
}

func (a *average) value(now time.Time, fallback time.Duration) time.Duration {
	if a.seen.IsZero() {
		return fallback
	}
	age := now.Sub(a.seen)
	if age < averageHalfLife/4 {
		return time.Duration(a.mean)
	}
	keep := math.Exp2(-float64(age) / float64(averageHalfLife))
	return time.Duration(keep*a.mean + (1-keep)*float64(fallback))
}

// peak is the largest value of a count in the last one to two windows.
type peak struct {
	since          time.Time
	present, prior int
}

func (p *peak) see(now time.Time, count int) {
	p.roll(now, count)
	p.present = max(p.present, count)
}

func (p *peak) roll(now time.Time, count int) {
	age := now.Sub(p.since)
	if age < peakWindow {
		return
	}
	p.prior = p.present
	if age >= 2*peakWindow {
		p.prior = count
	}
	p.present = count
	p.since = now
}

func (p *peak) value(now time.Time, count int) int {
	p.roll(now, count)
	return max(p.present, p.prior, count)
}
