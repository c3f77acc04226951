package pool_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"testing"
	"time"

	"bergamotworks/note"
	"bergamotworks/pool"
	"bergamotworks/script"
)

func TestExperiments(t *testing.T) {
	if testing.Short() {
		t.Skip("long; -short is set with the race detector, which finds nothing in a single goroutine")
	}
	script.Run(t, "testdata/experiments/*.json", func(t *testing.T, data experiment) {
		metrics := data.run(pool.Owned)
		for k, v := range data.AtLeast {
			if metrics[k] < v {
				t.Errorf("%s = %.4f, want at least %.4f", k, metrics[k], v)
			}
		}
		for k, v := range data.AtMost {
			if metrics[k] > v {
				t.Errorf("%s = %.4f, want at most %.4f", k, metrics[k], v)
			}
		}
	})
}

// BenchmarkExperiments reports the metrics that each experiment checks, under each
// policy. Run it with -benchtime 1x.
func BenchmarkExperiments(b *testing.B) {
	paths, _ := filepath.Glob("testdata/experiments/*.json")
	for _, path := range paths {
		data := readExperiment(b, path)
		for _, policy := range pool.PolicyValues() {
			b.Run(fmt.Sprintf("%s/%s", filepath.Base(path), policy), func(b *testing.B) {
				for b.Loop() {
					reportMetrics(b, data, data.run(policy))
				}
			})
		}
	}
}

func readExperiment(b *testing.B, path string) experiment {
	b.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		b.Fatal(err)
	}
	var data experiment
	if err := json.Unmarshal(text, &data); err != nil {
		b.Fatal(err)
	}
	return data
}

func reportMetrics(b *testing.B, data experiment, metrics map[string]float64) {
	var names []string
	for k := range data.AtLeast {
		names = append(names, k)
	}
	for k := range data.AtMost {
		names = append(names, k)
	}
	slices.Sort(names)
	for _, n := range slices.Compact(names) {
		b.ReportMetric(metrics[n], n)
	}
}

// BenchmarkStep measures submitting, dispatching and finishing one call in a pool
// of 16 targets, while a number of calls waits.
func BenchmarkStep(b *testing.B) {
	for _, waiting := range []int{0, 1000} {
		b.Run(fmt.Sprintf("waiting_%d", waiting), func(b *testing.B) {
			p := &pool.Pool{Config: benchmarkConfig(), QueueLimit: 2000}
			p.Spec = pool.Split(p.Config)[0]
			var running []string
			for n := range waiting {
				running = append(running, submit(p, -n)...)
			}
			b.ReportAllocs()
			for n := 1; b.Loop(); n++ {
				running = append(running, submit(p, n)...)
				actions := p.Step(origin, pool.Finished{Attempt: running[0], Outcome: pool.Outcome{Latency: 50 * time.Millisecond}})
				running = append(running[1:], dispatched(actions)...)
			}
		})
	}
}

func benchmarkConfig() note.Config {
	s := note.Sections{Services: map[string]note.Service{"model": {ColdLimit: 2, WarmLimit: 16, TypicalMS: 50}}, Targets: map[string]note.Target{}}
	for i := range 16 {
		s.Targets[fmt.Sprint("t", i)] = note.Target{Service: "model", Domain: "north"}
	}
	return note.Config{Sections: s}
}

func submit(p *pool.Pool, n int) []string {
	call := pool.Call{Attempt: strconv.Itoa(n), Account: "a", Class: "x", Deadline: origin.Add(time.Hour)}
	return dispatched(p.Step(origin, pool.Submitted{Call: call}))
}

func dispatched(actions []pool.Action) []string {
	var ids []string
	for _, a := range actions {
		if d, ok := a.(pool.Dispatch); ok {
			ids = append(ids, d.Attempt)
		}
	}
	return ids
}
