package warm

import "time"

const (
	recentGain       = 0.1   // Weight of a new sample in the recent mean.
	baselineFallGain = 0.2   // Weight of a lower recent mean in the baseline.
	baselineRiseGain = 0.005 // Weight of a higher recent mean in the baseline.

	jitterAllowance = float64(20 * time.Millisecond) // Jitter that does not indicate load.
)

// latencyTracker compares the recent mean of a latency with its baseline, both in
// nanoseconds. The baseline falls quickly and rises slowly, so that it does not
// follow a period of congestion at once. Both are means, since a single slow call
// is not congestion.
type latencyTracker struct {
	recent   float64
	baseline float64
	samples  int
}

// known reports whether there are enough samples for a comparison.
func (t *latencyTracker) known() bool { return t.samples >= minSamples && t.baseline > 0 }

// ratio returns the ratio of a sample to the baseline. It is 1 while the baseline is
// not known, and for a sample of zero, which means that there is none.
func (t *latencyTracker) ratio(sample time.Duration) float64 {
	if !t.known() || sample <= 0 {
		return 1
	}
	return float64(sample) / (t.baseline + jitterAllowance)
}

// recentRatio returns the ratio of the recent mean to the baseline, or 1 while that
// is not known.
func (t *latencyTracker) recentRatio() float64 {
	if !t.known() {
		return 1
	}
	return t.recent / (t.baseline + jitterAllowance)
}

func (t *latencyTracker) add(sample time.Duration) {
	if sample <= 0 {
		return
	}
	t.samples++
	if t.samples == 1 {
		t.recent = float64(sample)
		t.baseline = t.recent
		return
	}
	t.recent += recentGain * (float64(sample) - t.recent)
	gain := baselineRiseGain
	if t.recent < t.baseline || t.samples < minSamples {
		gain = baselineFallGain
	}
	t.baseline += gain * (t.recent - t.baseline)
}

// rebase sets the baseline to the recent mean.
func (t *latencyTracker) rebase() { t.baseline = t.recent }

// resetRecent sets the recent mean to the baseline.
func (t *latencyTracker) resetRecent() { t.recent = t.baseline }

// restoredTracker returns a tracker with the baseline of another node, or an empty
// one if that is not positive.
func restoredTracker(baseline float64) latencyTracker {
	if baseline <= 0 {
		return latencyTracker{}
	}
	return latencyTracker{recent: baseline, baseline: baseline, samples: minSamples}
}
