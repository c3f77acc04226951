package store

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"

	"bergamotworks/ports"
	"bergamotworks/script"
)

type budgetCase struct {
	CallsPerSecond float64  `json:"calls_per_second"`
	Burst          int      `json:"burst"`
	MaxWaitMS      int64    `json:"max_wait_ms"`
	Calls          int      `json:"calls"`
	Outcomes       []string `json:"outcomes"`
	Metrics        []string `json:"metrics"`
}

func TestBudget(t *testing.T) {
	script.Run(t, "testdata/budget/*.json", func(t *testing.T, data budgetCase) {
		synctest.Test(t, func(t *testing.T) {
			b := &Budget{
				Store:          &Memory{},
				Metrics:        metrics.NewSet(),
				CallsPerSecond: data.CallsPerSecond,
				Burst:          data.Burst,
				MaxWait:        time.Duration(data.MaxWaitMS) * time.Millisecond,
			}
			var outcomes []string
			start := time.Now()
			for range data.Calls {
				_, err := b.Range(t.Context(), ports.RangeRequest{Key: "k"})
				outcomes = append(outcomes, formatResult(time.Since(start).String(), err))
			}
			if _, err := b.Commit(context.Background(), ports.Txn{}); err != nil {
				outcomes = append(outcomes, formatResult("", err))
			}
			if diff := cmp.Diff(data.Outcomes, outcomes); diff != "" {
				t.Error(diff)
			}
			var text bytes.Buffer
			b.Metrics.WritePrometheus(&text)
			if diff := cmp.Diff(data.Metrics, strings.Split(strings.TrimSpace(text.String()), "\n")); diff != "" {
				t.Error(diff)
			}
		})
	})
}
