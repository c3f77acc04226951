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
	// coldSlack is what a cold target bears beyond its rate in one second.
	coldSlack = 5
	// newsLag is how much later one node may find the target than another.
	newsLag = 1100 // Milliseconds.
)

// TestRandomCold has many nodes send all that they may to one cold target, and
// counts what it gets in any second.
func TestRandomCold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(2, 40).Draw(t, "rate")
		nodes := rapid.IntRange(1, 120).Draw(t, "nodes")
		start := time.Unix(1000, 0)
		var arrivals []int64
		for i := range nodes {
			found := rapid.IntRange(0, newsLag).Draw(t, "found_ms")
			every := rapid.IntRange(25, 400).Draw(t, "request_every_ms")
			arrivals = append(arrivals, sendCold(start, found, every, place.Criteria{
				ColdRate: rate / float64(nodes), ColdPhase: float64(i) / float64(nodes),
			})...)
		}
		if most := mostInOneSecond(arrivals); float64(most) > rate+coldSlack {
			t.Fatalf("%d requests in one second of %d nodes, rate %.1f", most, nodes, rate)
		}
	})
}

// sendCold returns the milliseconds at which one node sends.
func sendCold(start time.Time, found, every int, n place.Criteria) []int64 {
	var table place.Table
	g := site.Target{ID: "cold", Service: "svc", ColdUntil: start.Add(coldSeconds * time.Second)}
	n.Targets = []site.Target{g}
	var sent []int64
	for at := found; at < coldSeconds*1000; at += every {
		now := start.Add(time.Duration(at) * time.Millisecond)
		if _, ok := table.Choose(now, n); ok {
			table.CallStarted(now, g)
			sent = append(sent, int64(at))
		}
	}
	return sent
}

// mostInOneSecond returns the largest number of times within one second.
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
