package pool

import (
	"math"
	"time"
)

const (
	maxStages       = 256 // Maximum number of stages with statistics of their own.
	latencyGain     = 0.1 // Weight of a new sample.
	deviationFactor = 2   // Deviations above the mean in upperBound.
)

// latencyStats holds the moving averages of the latency of calls and of its
// absolute deviation, in nanoseconds.
type latencyStats struct{ mean, deviation float64 }

// withSample returns the statistics updated by one call.
func (s latencyStats) withSample(latency time.Duration) latencyStats {
	if s.mean == 0 {
		return latencyStats{mean: float64(latency), deviation: float64(latency) / 4}
	}
	delta := float64(latency) - s.mean
	s.mean += latencyGain * delta
	s.deviation += latencyGain * (math.Abs(delta) - s.deviation)
	return s
}

// upperBound returns a latency that few calls exceed.
func (s latencyStats) upperBound() time.Duration {
	return time.Duration(s.mean + deviationFactor*s.deviation)
}

// latencyTable holds latency statistics by stage, and of all calls under "".
type latencyTable struct{ stages map[string]latencyStats }

func (t *latencyTable) add(stage string, latency time.Duration) {
	t.record("", latency)
	if stage != "" {
		t.record(stage, latency)
	}
}

// addLowerBound records a call that was canceled after the given time and so
// would have taken longer. It ignores the call if the mean is not lower anyway.
func (t *latencyTable) addLowerBound(stage string, latency time.Duration) {
	if float64(latency) > t.lookup(stage, latency).mean {
		t.add(stage, latency)
	}
}

// record adds a sample to the statistics of one stage. It ignores new stages above
// maxStages.
func (t *latencyTable) record(stage string, latency time.Duration) {
	if t.stages == nil {
		t.stages = make(map[string]latencyStats)
	}
	s, ok := t.stages[stage]
	if !ok && len(t.stages) >= maxStages {
		return
	}
	t.stages[stage] = s.withSample(latency)
}

// lookup returns the statistics of a stage, or those of all calls, or fallback as
// the mean.
func (t *latencyTable) lookup(stage string, fallback time.Duration) latencyStats {
	if s, ok := t.stages[stage]; ok {
		return s
	}
	if s, ok := t.stages[""]; ok {
		return s
	}
	return latencyStats{mean: float64(fallback)}
}
