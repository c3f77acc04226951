package relay

import (
	"io"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"bergamotworks/member"
	"bergamotworks/ports"
)

// TestRandomBudget makes nodes retry as often as their budgets allow, at random
// request rates and with restarts of all nodes. It checks that the retries in
// every window stay within the limit of the fleet.
func TestRandomBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 20).Draw(t, "nodes")
		e := newBudgetEnv(nodes)
		bounds := Bounds{
			RetryRatio: rapid.Float64Range(0.05, 0.4).Draw(t, "retry_ratio"), RetrySlack: rapid.Float64Range(float64(max(20, 2*nodes)), 200).Draw(t, "slack"),
			RetryWindow: 10 * time.Second,
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			index := rapid.IntRange(0, len(e.nodes)-1).Draw(t, "node")
			if rapid.IntRange(0, 30).Draw(t, "restart") == 0 && e.restarts < 2 {
				e.restarts++
				clear(e.nodes) // Restart all nodes.
			}
			s := e.node(index, bounds)
			for range rapid.IntRange(0, 200).Draw(t, "requests") {
				s.recordRequest("svc", e.now)
				e.requests = append(e.requests, e.now)
			}
			for range rapid.IntRange(0, 200).Draw(t, "failures") {
				if s.takeRetry("svc", e.now) {
					e.retries = append(e.retries, e.now)
				}
			}
			e.now = e.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause_ms")) * time.Millisecond)
		}
		e.check(t, bounds)
	})
}

// budgetEnv holds the nodes of a fleet and the times of their requests and
// retries.
type budgetEnv struct {
	nodes    []*Server
	view     member.View
	now      time.Time
	restarts int
	requests []time.Time
	retries  []time.Time
}

func newBudgetEnv(nodes int) *budgetEnv {
	e := &budgetEnv{nodes: make([]*Server, nodes), now: time.Unix(1000, 0)}
	var vms []member.VM
	for i := range nodes {
		vms = append(vms, member.VM{ID: string(rune('a' + i)), State: member.Alive})
	}
	e.view = member.NewView(vms[0], vms[1:]...)
	return e
}

// node returns a node; it creates a new one after a restart.
func (e *budgetEnv) node(index int, bounds Bounds) *Server {
	if e.nodes[index] == nil {
		log := logrus.New()
		log.SetOutput(io.Discard)
		s := &Server{
			View: func() member.View { return e.view }, Bounds: func() Bounds { return bounds },
			Clock: ports.SystemClock{}, Log: logrus.NewEntry(log), Metrics: metrics.NewSet(),
		}
		s.once.Do(s.init)
		e.nodes[index] = s
	}
	return e.nodes[index]
}

// check compares the retries of each window with the limit. The number of
// requests is the largest of three windows: this one, the previous one and the
// one that starts half a window earlier.
func (e *budgetEnv) check(t *rapid.T, b Bounds) {
	for _, from := range e.retries {
		retries := countIn(e.retries, from, b.RetryWindow)
		requests := 0
		for _, shift := range []time.Duration{0, b.RetryWindow / 2, b.RetryWindow} {
			requests = max(requests, countIn(e.requests, from.Add(-shift), b.RetryWindow))
		}
		if bound := b.RetryRatio*float64(requests) + b.RetrySlack; float64(retries) > bound {
			t.Fatalf("%d retries for %d requests in a window, want at most %.1f", retries, requests, bound)
		}
	}
}

func countIn(times []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(window)) {
			n++
		}
	}
	return n
}
