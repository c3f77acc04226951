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

// targetScript is a data file: a target's settings, and steps with the phase,
// limit and occupation that follow.
type targetScript struct {
	About   string       `json:"about"`
	Service note.Service `json:"service"`
	Steps   []targetStep `json:"steps"`
}

// targetStep runs a number of calls at once, each with the same end, or takes in
// a report or an assumption.
type targetStep struct {
	AtMS   int64            `json:"at_ms"`
	Calls  int              `json:"calls"`
	Times  int              `json:"times"` // How often, one after another.
	MS     int64            `json:"ms"`
	Kind   warm.OutcomeKind `json:"kind"`
	Assume int              `json:"assume"`
	Report *warm.LoadReport `json:"report"`
	Want   string           `json:"want"`
}

func TestTarget(t *testing.T) {
	script.Run(t, "testdata/*.json", func(t *testing.T, data targetScript) {
		m := &warm.Target{Settings: warm.SettingsOf(data.Service)}
		var want, got []string
		for _, s := range data.Steps {
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(s.AtMS) * time.Millisecond)
			now = s.play(m, now)
			want = append(want, s.Want)
			got = append(got, fmt.Sprint(m.Phase(), " limit ", m.Limit(now), " occupied ", m.Occupied(now)))
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	})
}

// play runs the step on the target and returns the time at its end.
func (s targetStep) play(m *warm.Target, now time.Time) time.Time {
	if s.Assume > 0 {
		m.AssumeUntracked(now, s.Assume)
	}
	if s.Report != nil {
		m.Report(now, *s.Report)
	}
	latency := time.Duration(s.MS) * time.Millisecond
	for range max(1, s.Times) {
		for range s.Calls {
			m.Start(now)
		}
		epoch := m.Epoch()
		if s.Calls > 0 {
			now = now.Add(latency)
		}
		for range s.Calls {
			m.Finish(now, epoch, warm.Outcome{Kind: s.Kind, Latency: latency})
		}
	}
	return now
}
