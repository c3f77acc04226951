package place_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotworks/place"
	"bergamotworks/site"
)

const (
	coldSeconds = 5
	// coldAllowance is the number of requests by which a cold target may
	// exceed its rate in one second.
	coldAllowance = 5
	// maxNoticeDelay is the maximum difference between the times at which
	// nodes observe a cold target.
	maxNoticeDelay = 1100 // Milliseconds.
)

// TestRandomCold guards against overloading a cold target when many nodes
// send it as much as they may: in any second it must get at most its rate
// plus coldAllowance requests.
func TestRandomCold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(2, 40).Draw(t, "rate")
		nodes := rapid.IntRange(1, 120).Draw(t, "nodes")
		start := time.Unix(1000, 0)
		var arrivals []int64
		for i := range nodes {
			observed := rapid.IntRange(0, maxNoticeDelay).Draw(t, "observed_ms")
			interval := rapid.IntRange(25, 400).Draw(t, "request_interval_ms")
			arrivals = append(arrivals, sendCold(start, observed, interval, place.Criteria{
				ColdRate: rate / float64(nodes), ColdPhase: float64(i) / float64(nodes),
			})...)
		}
		if most := mostInOneSecond(arrivals); float64(most) > rate+coldAllowance {
			t.Fatalf("%d requests in one second of %d nodes, rate %.1f", most, nodes, rate)
		}
	})
}

// sendCold returns the times in milliseconds at which one node sends
// requests.
func sendCold(start time.Time, observed, interval int, criteria place.Criteria) []int64 {
	var table place.Table
	target := site.Target{ID: "cold", Service: "svc", ColdUntil: start.Add(coldSeconds * time.Second)}
	criteria.Targets = []site.Target{target}
	var sent []int64
	for at := observed; at < coldSeconds*1000; at += interval {
		now := start.Add(time.Duration(at) * time.Millisecond)
		if _, ok := table.Choose(now, criteria); ok {
			table.CallStarted(now, target)
			sent = append(sent, int64(at))
		}
	}
	return sent
}

// mostInOneSecond returns the largest number of times in any window of one
// second.
func mostInOneSecond(times []int64) int {
	counts := make([]int, coldSeconds*1000+1)
	for _, m := range times {
		counts[m]++
	}
	most, sum := 0, 0
	for i, c := range counts {
		sum += c
		if i >= 1000 {
			sum -= counts[i-1000]
		}
		most = max(most, sum)
	}
	return most
}
