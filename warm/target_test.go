package warm_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/note"
	"bergamotworks/script"
	"bergamotworks/warm"
)

// targetScript is a data file: a target's settings, and steps with the expected
// phase, limit and number of calls that may run on the target.
type targetScript struct {
	About   string       `json:"about"`
	Service note.Service `json:"service"`
	Steps   []targetStep `json:"steps"`
}

// targetStep runs a number of concurrent calls with the same outcome, or applies a
// report or an assumption about untracked calls.
type targetStep struct {
	AtMS      int64            `json:"at_ms"`
	Calls     int              `json:"calls"`
	Times     int              `json:"times"` // Number of consecutive repetitions.
	LatencyMS int64            `json:"ms"`
	Kind      warm.OutcomeKind `json:"kind"`
	Assume    int              `json:"assume"`
	Report    *warm.LoadReport `json:"report"`
	Want      string           `json:"want"`
}

func TestTarget(t *testing.T) {
	script.Run(t, "testdata/*.json", func(t *testing.T, data targetScript) {
		target := &warm.Target{Settings: warm.SettingsOf(data.Service)}
		var want, got []string
		for _, s := range data.Steps {
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(s.AtMS) * time.Millisecond)
			now = s.run(target, now)
			want = append(want, s.Want)
			got = append(got, fmt.Sprint(target.Phase(), " limit ", target.Limit(now), " occupied ", target.Occupied(now)))
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	})
}

// run applies the step to the target and returns the time at its end.
func (s targetStep) run(target *warm.Target, now time.Time) time.Time {
	if s.Assume > 0 {
		target.AssumeUntracked(now, s.Assume)
	}
	if s.Report != nil {
		target.Report(now, *s.Report)
	}
	latency := time.Duration(s.LatencyMS) * time.Millisecond
	for range max(1, s.Times) {
		for range s.Calls {
			target.Start(now)
		}
		epoch := target.Epoch()
		if s.Calls > 0 {
			now = now.Add(latency)
		}
		for range s.Calls {
			target.Finish(now, epoch, warm.Outcome{Kind: s.Kind, Latency: latency})
		}
	}
	return now
}
