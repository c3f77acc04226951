package emul

import (
	"time"

	"bergamotworks/engine"
	"bergamotworks/note"
)

// The load model of a target.
const (
	defaultWarmUpCalls = 8
	coldSlowdown       = 2.0  // Factor of the call time of a cold target.
	overloadSlowdown   = 4.0  // Further factor for a cold target above its limit.
	crashMultiple      = 2    // A cold target crashes at this multiple of its limit.
	rejectionMultiple  = 4    // A warm target rejects calls at this multiple of its limit.
	minSamples         = 1024 // Newest load samples that are always retained.
	// coldGrace is the time after a warm target became cold in which no owner
	// can have noticed it. Calls above the limit are slow then but do not crash
	// the target, and are counted separately.
	coldGrace = 500 * time.Millisecond
)

// engineState is the load and warm-up state of one incarnation of a target. The
// target's mutex guards it.
type engineState struct {
	service   note.Service
	running   int
	completed int
	cache     prefixCache
	samples   []loadSample
	coldAt    time.Time // When a warm target became cold; zero if it did not.
}

// loadSample is the load at one time; delayed load reports are made from samples.
type loadSample struct {
	at      time.Time
	running int
	waiting int
}

// admission is the outcome of admitting a call.
type admission int

const (
	admitted admission = iota
	rejected           // Rejected with status 429 before it runs.
	crashed            // The call crashes the target.
)

// isCold reports whether the target has completed fewer calls than it needs to
// warm up, so that its cold limit applies.
func (e *engineState) isCold() bool {
	limit := e.service.WarmUpCalls
	if limit == 0 {
		limit = defaultWarmUpCalls
	}
	return e.completed < limit
}

// markCold resets the warm-up of the target and empties its cache.
func (e *engineState) markCold(now time.Time) {
	e.completed = 0
	e.coldAt = now
	e.cache = prefixCache{}
}

// inColdGrace reports whether the target became cold less than coldGrace ago.
func (e *engineState) inColdGrace(now time.Time) bool {
	return !e.coldAt.IsZero() && now.Sub(e.coldAt) < coldGrace
}

// admit decides whether a call runs. beyond reports whether the call exceeds the
// cold limit.
func (e *engineState) admit(now time.Time) (result admission, beyond bool) {
	if !e.isCold() {
		if e.running >= rejectionMultiple*max(e.service.WarmLimit, 1) {
			return rejected, false
		}
		return admitted, false
	}
	limit := max(e.service.ColdLimit, 1)
	if e.running >= crashMultiple*limit && !e.inColdGrace(now) {
		return crashed, true
	}
	return admitted, e.running >= limit
}

// start records the start of a call.
func (e *engineState) start(now time.Time) {
	e.running++
	e.recordSample(now)
}

// finish records the end of a call.
func (e *engineState) finish(now time.Time, completed bool) {
	e.running--
	if completed {
		e.completed++
	}
	e.recordSample(now)
}

// slowdown returns the factor of the call time under the current load.
func (e *engineState) slowdown() float64 {
	if e.isCold() {
		if e.running > max(e.service.ColdLimit, 1) {
			return coldSlowdown * overloadSlowdown
		}
		return coldSlowdown
	}
	return max(1, float64(e.running)/float64(max(e.service.WarmLimit, 1)))
}

func (e *engineState) recordSample(now time.Time) {
	limit := e.service.WarmLimit
	if e.isCold() {
		limit = e.service.ColdLimit
	}
	e.samples = append(e.samples, loadSample{at: now, running: min(e.running, limit), waiting: max(0, e.running-limit)})
	if len(e.samples) > 2*minSamples {
		e.samples = append([]loadSample(nil), e.samples[minSamples:]...)
	}
}

// report returns a load report. Running and Waiting are as of the given time, or
// zero if no sample is as old; everything else is current.
func (e *engineState) report(at time.Time) engine.LoadReport {
	report := engine.LoadReport{Limit: e.service.WarmLimit, CacheSequence: e.cache.sequence}
	if e.isCold() {
		report.Limit = e.service.ColdLimit
	}
	for i := len(e.samples) - 1; i >= 0; i-- {
		if !e.samples[i].at.After(at) {
			report.Running, report.Waiting = e.samples[i].running, e.samples[i].waiting
			break
		}
	}
	return report
}
