package emul

import (
	"time"

	"bergamotworks/engine"
	"bergamotworks/note"
)

// The behaviour of a target under load.
const (
	defaultWarmUpCalls = 8
	coldFactor         = 2.0 // A cold target takes this much longer.
	strainFactor       = 4.0 // A cold target beyond its limit takes this much longer.
	collapseShare      = 2   // A cold target falls over beyond this multiple of its limit.
	refusalShare       = 4   // A warm target refuses calls beyond this multiple of its limit.
	keptReports        = 1024
	// turnGrace is the time after a turn to cold in which nobody can know of it
	// yet; calls beyond the limit are then slow but do not make the target fall
	// over, and are counted apart.
	turnGrace = 500 * time.Millisecond
)

// batch is the state of one life of a target: what it runs and how warm it is.
// Its owner guards it by a mutex.
type batch struct {
	service   note.Service
	running   int
	completed int
	cache     prefixCache
	samples   []sample
	turned    time.Time // When a warm target turned cold.
}

// sample is the load at one time, for lagging reports.
type sample struct {
	at      time.Time
	running int
	waiting int
}

// admission says what happens to a call that arrives.
type admission int

const (
	admitted  admission = iota
	refused             // Answered with 429 before it runs.
	collapsed           // The target falls over.
)

// cold reports whether the target still bears only its cold limit.
func (b *batch) cold() bool {
	limit := b.service.WarmUpCalls
	if limit == 0 {
		limit = defaultWarmUpCalls
	}
	return b.completed < limit
}

// turnCold makes a warm target cold and empties its cache.
func (b *batch) turnCold(now time.Time) {
	b.completed = 0
	b.turned = now
	b.cache = prefixCache{}
}

// inGrace reports whether the target has just turned cold.
func (b *batch) inGrace(now time.Time) bool {
	return !b.turned.IsZero() && now.Sub(b.turned) < turnGrace
}

// admit decides about a call; beyond says that it exceeds the cold limit.
func (b *batch) admit(now time.Time) (result admission, beyond bool) {
	if !b.cold() {
		if b.running >= refusalShare*max(b.service.WarmLimit, 1) {
			return refused, false
		}
		return admitted, false
	}
	limit := max(b.service.ColdLimit, 1)
	if b.running >= collapseShare*limit && !b.inGrace(now) {
		return collapsed, true
	}
	return admitted, b.running >= limit
}

// start and finish count a running call.
func (b *batch) start(now time.Time) {
	b.running++
	b.sample(now)
}

func (b *batch) finish(now time.Time, whole bool) {
	b.running--
	if whole {
		b.completed++
	}
	b.sample(now)
}

// factor returns how much longer than usual the work takes at present.
func (b *batch) factor() float64 {
	if b.cold() {
		if b.running > max(b.service.ColdLimit, 1) {
			return coldFactor * strainFactor
		}
		return coldFactor
	}
	return max(1, float64(b.running)/float64(max(b.service.WarmLimit, 1)))
}

func (b *batch) sample(now time.Time) {
	limit := b.service.WarmLimit
	if b.cold() {
		limit = b.service.ColdLimit
	}
	b.samples = append(b.samples, sample{at: now, running: min(b.running, limit), waiting: max(0, b.running-limit)})
	if len(b.samples) > 2*keptReports {
		b.samples = append([]sample(nil), b.samples[keptReports:]...)
	}
}

// report returns the load as it was at the time.
func (b *batch) report(at time.Time) engine.LoadReport {
	report := engine.LoadReport{Limit: b.service.WarmLimit, CacheSequence: b.cache.sequence}
	if b.cold() {
		report.Limit = b.service.ColdLimit
	}
	for i := len(b.samples) - 1; i >= 0; i-- {
		if !b.samples[i].at.After(at) {
			report.Running, report.Waiting = b.samples[i].running, b.samples[i].waiting
			break
		}
	}
	return report
}
