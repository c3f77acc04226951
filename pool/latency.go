package pool

import (
	"math"
	"time"
)

const (
	maxStages       = 256
	costGain        = 0.1
	deviationFactor = 2
)

// cost is the recent time of calls: mean and mean deviation in nanoseconds.
type cost struct{ mean, deviation float64 }

// with returns the cost after one more call.
func (c cost) with(latency time.Duration) cost {
	if c.mean == 0 {
		return cost{mean: float64(latency), deviation: float64(latency) / 4}
	}
	off := float64(latency) - c.mean
	c.mean += costGain * off
	c.deviation += costGain * (math.Abs(off) - c.deviation)
	return c
}

// high returns a time that few calls exceed.
func (c cost) high() time.Duration {
	return time.Duration(c.mean + deviationFactor*c.deviation)
}

// costTable holds the recent time of calls by stage, and of all under "".
type costTable struct{ stages map[string]cost }

func (t *costTable) add(stage string, latency time.Duration) {
	t.fold("", latency)
	if stage != "" {
		t.fold(stage, latency)
	}
}

// addAtLeast takes in a call that was given up after a time: it would have taken
// longer. It says nothing if most calls take longer anyway.
func (t *costTable) addAtLeast(stage string, latency time.Duration) {
	if float64(latency) > t.value(stage, latency).mean {
		t.add(stage, latency)
	}
}

func (t *costTable) fold(stage string, latency time.Duration) {
	if t.stages == nil {
		t.stages = make(map[string]cost)
	}
	c, known := t.stages[stage]
	if !known && len(t.stages) >= maxStages {
		return
	}
	t.stages[stage] = c.with(latency)
}

// value returns the cost of a stage, or that of all, or the fallback.
func (t *costTable) value(stage string, fallback time.Duration) cost {
	if c, known := t.stages[stage]; known {
		return c
	}
	if c, known := t.stages[""]; known {
		return c
	}
	return cost{mean: float64(fallback)}
}
