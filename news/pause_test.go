package news

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/script"
)

// pauseStep is an observation of both clocks, in milliseconds since the start.
type pauseStep struct {
	TimeOfDay int  `json:"time_of_day"`
	Monotonic int  `json:"monotonic"`
	Paused    bool `json:"paused"`
}

func TestPauses(t *testing.T) {
	script.Run(t, "testdata/pauses/*.json", func(t *testing.T, steps []pauseStep) {
		var d pauseDetector
		for i, s := range steps {
			got := d.advance(time.Duration(s.TimeOfDay)*time.Millisecond, time.Duration(s.Monotonic)*time.Millisecond)
			if diff := cmp.Diff(s.Paused, got); diff != "" {
				t.Errorf("step %d (-want +got):\n%s", i, diff)
			}
		}
	})
}

func TestStateFromBeforeAPauseIsNotRecent(t *testing.T) {
	now := time.Now()
	d := pauseDetector{resumed: now.Add(-time.Second)}
	got := []time.Duration{d.age(now, now.Add(-1100*time.Millisecond)), d.age(now, now.Add(-900*time.Millisecond))}
	if diff := cmp.Diff([]time.Duration{maxAge, 900 * time.Millisecond}, got); diff != "" {
		t.Errorf("ages (-want +got):\n%s", diff)
	}
}
