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

// TestRandomBudget has nodes repeat all that they may while requests come in
// any rhythm and nodes start again, and counts the repeats in every window.
func TestRandomBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 20).Draw(t, "nodes")
		w := newBudgetWorld(nodes)
		bounds := Bounds{
			RetryRatio: rapid.Float64Range(0.05, 0.4).Draw(t, "share"), RetrySlack: rapid.Float64Range(float64(max(20, 2*nodes)), 200).Draw(t, "slack"),
			RetryWindow: 10 * time.Second,
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			at := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
			if rapid.IntRange(0, 30).Draw(t, "restart") == 0 && w.restarts < 2 {
				w.restarts++
				clear(w.nodes) // All nodes start again.
			}
			s := w.node(at, bounds)
			for range rapid.IntRange(0, 200).Draw(t, "firsts") {
				s.first("svc", w.now)
				w.firsts = append(w.firsts, w.now)
			}
			for range rapid.IntRange(0, 200).Draw(t, "failures") {
				if s.spend("svc", w.now) {
					w.repeats = append(w.repeats, w.now)
				}
			}
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause_ms")) * time.Millisecond)
		}
		w.check(t, bounds)
	})
}

// budgetWorld is the nodes of a fleet and what they have sent.
type budgetWorld struct {
	nodes    []*Server
	view     member.View
	now      time.Time
	restarts int
	firsts   []time.Time
	repeats  []time.Time
}

func newBudgetWorld(nodes int) *budgetWorld {
	w := &budgetWorld{nodes: make([]*Server, nodes), now: time.Unix(1000, 0)}
	var vms []member.VM
	for i := range nodes {
		vms = append(vms, member.VM{ID: string(rune('a' + i)), State: member.Alive})
	}
	w.view = member.NewView(vms[0], vms[1:]...)
	return w
}

// node returns a node, a new one in the place of one that has ended.
func (w *budgetWorld) node(index int, bounds Bounds) *Server {
	if w.nodes[index] == nil {
		log := logrus.New()
		log.SetOutput(io.Discard)
		s := &Server{
			View: func() member.View { return w.view }, Bounds: func() Bounds { return bounds },
			Clock: ports.SystemClock{}, Log: logrus.NewEntry(log), Metrics: metrics.NewSet(),
		}
		s.once.Do(s.init)
		w.nodes[index] = s
	}
	return w.nodes[index]
}

// check compares the repeats of each window with its bound. The requests are
// those of the window, of the one before it or of the one half a window before
// it, whichever has most.
func (w *budgetWorld) check(t *rapid.T, b Bounds) {
	for _, from := range w.repeats {
		repeats := countIn(w.repeats, from, b.RetryWindow)
		firsts := 0
		for _, shift := range []time.Duration{0, b.RetryWindow / 2, b.RetryWindow} {
			firsts = max(firsts, countIn(w.firsts, from.Add(-shift), b.RetryWindow))
		}
		if bound := b.RetryRatio*float64(firsts) + b.RetrySlack; float64(repeats) > bound {
			t.Fatalf("%d repeats after %d requests in a window, at most %.1f", repeats, firsts, bound)
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
