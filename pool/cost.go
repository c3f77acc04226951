package pool

import "time"

const (
	maxStages = 256
	costGain  = 0.1
)

// costTable holds the recent time of calls by stage, and of all under "".
type costTable struct{ stages map[string]float64 }

func (t *costTable) add(stage string, latency time.Duration) {
	if t.stages == nil {
		t.stages = make(map[string]float64)
	}
	t.fold("", latency)
	if stage != "" {
		t.fold(stage, latency)
	}
}

func (t *costTable) fold(stage string, latency time.Duration) {
	mean, known := t.stages[stage]
	if !known {
		if len(t.stages) >= maxStages {
			return
		}
		mean = float64(latency)
	}
	t.stages[stage] = mean + costGain*(float64(latency)-mean)
}

func (t *costTable) value(stage string, fallback time.Duration) time.Duration {
	if mean, known := t.stages[stage]; known {
		return time.Duration(mean)
	}
	if mean, known := t.stages[""]; known {
		return time.Duration(mean)
	}
	return fallback
}
