package retry_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/fault"
	"bergamotworks/retry"
	"bergamotworks/script"
)

type decisionScript struct {
	About      string         `json:"about"`
	RetryRatio float64        `json:"share"`
	Cases      []decisionCase `json:"cases"`
}

type decisionCase struct {
	FirstAttempts int            `json:"firsts"` // First attempts before the failure.
	Kind          fault.Kind     `json:"kind"`
	Verdict       fault.Verdict  `json:"verdict"`
	Idempotent    bool           `json:"idempotent"`
	Attempts      int            `json:"attempts"`
	Rejections    int            `json:"refusals"`
	LeftMS        int64          `json:"left_ms"`
	Want          retry.Decision `json:"want"`
}

func TestDecide(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	script.Run(t, "testdata/*.json", func(t *testing.T, data decisionScript) {
		budget := &retry.Budget{RetryRatio: data.RetryRatio}
		var want, got []string
		for _, c := range data.Cases {
			for range c.FirstAttempts {
				budget.RecordFirstAttempt(now)
			}
			failure := retry.Failure{Err: fault.New(c.Kind, c.Verdict, "failed"), Idempotent: c.Idempotent, Attempts: c.Attempts,
				Rejections: c.Rejections, Deadline: now.Add(time.Duration(c.LeftMS) * time.Millisecond), ExpectedDuration: 100 * time.Millisecond}
			want = append(want, c.Want.String())
			got = append(got, retry.Decide(now, failure, budget).String())
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	})
}

// TestBudget guards against retry storms: while every attempt fails, retries
// must stay within the ratio of first attempts plus the minimum rate.
func TestBudget(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	budget := &retry.Budget{RetryRatio: 0.1}
	firstAttempts, retries := 0, 0
	for range 10000 {
		now = now.Add(time.Millisecond)
		firstAttempts++
		budget.RecordFirstAttempt(now)
		for budget.Spend(now) {
			retries++
		}
	}
	if allowed := 0.1*float64(firstAttempts) + 0.5*10 + 1; float64(retries) > allowed {
		t.Errorf("%d retries for %d first attempts, want at most %.0f", retries, firstAttempts, allowed)
	}
}
