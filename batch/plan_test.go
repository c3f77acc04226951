package batch_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotworks/batch"
	"bergamotworks/site"
)

// TestRandomPlan runs the stages of random requests in random order, with
// queue waits that change at each step. It guards against a deadlock of the
// schedule: while no stage is running, a stage must be ready and due.
func TestRandomPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		waits := make(map[string]time.Duration)
		p := randomPlan(t, waits)
		running, done := make(map[int]bool), make(map[int]bool)
		isDone := func(i int) bool { return done[i] }
		for range 2 * len(p.Stages) {
			drawWaits(t, waits)
			for i := range p.Stages {
				if p.Counts[i] > 0 && !done[i] && p.Ready(i, isDone) && p.Due(i, isDone) {
					running[i] = true
				}
			}
			if len(running) == 0 {
				break
			}
			ended := rapid.SampledFrom(sortedStages(running)).Draw(t, "ended")
			delete(running, ended)
			done[ended] = true
		}
		for i, n := range p.Counts {
			if n > 0 && !done[i] {
				t.Fatalf("stage %d of %+v with %v pieces never runs", i, p.Stages, p.Counts)
			}
		}
	})
}

// planServices is the number of services used by the stages of a plan.
const planServices = 3

func drawWaits(t *rapid.T, waits map[string]time.Duration) {
	for i := range planServices {
		waits[fmt.Sprint("s", i)] = time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait_ms")) * time.Millisecond
	}
}

// randomPlan returns a plan of up to six stages with random dependencies.
func randomPlan(t *rapid.T, waits map[string]time.Duration) batch.Plan {
	var services []site.Service
	for i := range planServices {
		services = append(services, site.Service{Name: fmt.Sprint("s", i), Batch: &site.BatchLimits{
			Size: rapid.IntRange(1, 30).Draw(t, "size"), CallTime: time.Duration(rapid.IntRange(0, 500).Draw(t, "call_ms")) * time.Millisecond,
			PieceTime: time.Duration(rapid.IntRange(0, 50).Draw(t, "piece_ms")) * time.Millisecond,
		}})
	}
	p := batch.Plan{
		Config:       site.NewConfig(site.Config{Revision: 1, Services: services}),
		EstimateWait: func(service string) time.Duration { return waits[service] },
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "stages") {
		s := site.RouteStage{Service: fmt.Sprint("s", rapid.IntRange(0, planServices-1).Draw(t, "service")), ResultBytes: rapid.SampledFrom([]int64{1000, 3_000_000}).Draw(t, "bytes")}
		for a := range i {
			if rapid.IntRange(0, 2).Draw(t, "after") == 0 {
				s.After = append(s.After, a)
			}
		}
		p.Stages = append(p.Stages, s)
		p.Counts = append(p.Counts, rapid.IntRange(0, 5).Draw(t, "pieces"))
	}
	return p
}

func sortedStages(m map[int]bool) []int {
	var list []int
	for i := range 6 {
		if m[i] {
			list = append(list, i)
		}
	}
	return list
}
