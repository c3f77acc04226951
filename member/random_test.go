package member

import (
	"flag"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// fixSeed makes rapid generate the same schedules in every run.
func fixSeed() {
	_ = flag.Set("rapid.seed", "20260102")
	_ = flag.Set("rapid.nofailfile", "true")
}

// TestRandomFaults injects random kills, restarts, pauses, one-way and full
// partitions, planned shutdowns and packet loss into a fleet. After the faults
// end, every running VM must have exactly the running VMs, with their current
// incarnations, in its view, and be confirmed.
func TestRandomFaults(t *testing.T) {
	fixSeed()
	rapid.Check(t, func(r *rapid.T) {
		size := rapid.IntRange(2, 9).Draw(r, "size")
		f := newFleet(size, rapid.IntRange(1, 3).Draw(r, "regions"), rapid.Uint64().Draw(r, "seed"))
		f.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(r, "loss")
		for _, address := range f.addresses {
			f.start(f.nodes[address])
		}
		for range rapid.IntRange(1, 25).Draw(r, "faults") {
			f.run(f.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(r, "ms")) * time.Millisecond))
			f.injectFault(r)
		}
		f.recoverAll()
		for _, address := range f.addresses {
			if n := f.nodes[address]; n.up {
				f.checkConverged(r, n)
			}
		}
	})
}

// TestIsolatedIsUnconfirmedFirst partitions one VM from all others, in one or both
// directions. It must become unconfirmed before any other VM considers it dead;
// otherwise two owners of a key could act at the same time.
func TestIsolatedIsUnconfirmedFirst(t *testing.T) {
	fixSeed()
	rapid.Check(t, func(r *rapid.T) {
		f := newFleet(rapid.IntRange(3, 12).Draw(r, "size"), rapid.IntRange(1, 3).Draw(r, "regions"), rapid.Uint64().Draw(r, "seed"))
		f.loss = rapid.SampledFrom([]float64{0, 0.02}).Draw(r, "loss")
		for _, address := range f.addresses {
			f.start(f.nodes[address])
		}
		f.run(f.now.Add(time.Duration(rapid.IntRange(5000, 9000).Draw(r, "ms")) * time.Millisecond))
		n := f.drawNode(r)
		noSend, noReceive := rapid.Bool().Draw(r, "no_send"), rapid.Bool().Draw(r, "no_receive")
		f.isolate(n, noSend || !noReceive, noReceive || !noSend)
		deaths := 0
		f.onView = func(_ *node, v View) {
			if m, _ := v.Find(n.id); m.State == Dead {
				deaths++
				if diff := cmp.Diff(true, n.view.Unconfirmed); diff != "" {
					r.Errorf("%s considers %s dead before the latter is unconfirmed (-want +got):\n%s", v.Self.ID, n.id, diff)
				}
			}
		}
		f.run(f.now.Add(15 * time.Second))
		if deaths == 0 {
			r.Errorf("no VM considers %s dead", n.id)
		}
	})
}

func (f *fleet) drawNode(r *rapid.T) *node {
	return f.nodes[rapid.SampledFrom(f.addresses).Draw(r, "vm")]
}

func (f *fleet) injectFault(r *rapid.T) {
	n := f.drawNode(r)
	switch rapid.SampledFrom([]string{"kill", "start", "pause", "resume", "cut", "isolate", "heal", "leave"}).Draw(r, "fault") {
	case "kill":
		n.up = false
	case "start":
		f.start(n)
	case "pause":
		n.paused = true
	case "resume":
		f.resume(n)
	case "cut":
		f.block(n.id, f.drawNode(r).id)
	case "isolate":
		f.isolate(n, true, true)
	case "heal":
		clear(f.blocked)
	case "leave":
		if n.up && !n.paused {
			f.step(n, LeaveStarted{})
			f.step(n, LeaveCompleted{})
			n.up = false
		}
	}
}

// isolate partitions a VM from all others: it cannot send if noSend is set, and
// receives nothing if noReceive is set.
func (f *fleet) isolate(n *node, noSend, noReceive bool) {
	for _, address := range f.addresses {
		if noSend {
			f.block(n.id, f.nodes[address].id)
		}
		if noReceive {
			f.block(f.nodes[address].id, n.id)
		}
	}
}

// recoverAll ends the faults and gives the VMs time to converge.
func (f *fleet) recoverAll() {
	clear(f.blocked)
	f.loss = 0
	for _, address := range f.addresses {
		if n := f.nodes[address]; n.paused {
			f.resume(n)
		}
	}
	f.run(f.now.Add(45 * time.Second))
}

func (f *fleet) checkConverged(r *rapid.T, n *node) {
	want, got := map[string]uint64{}, map[string]uint64{}
	for _, address := range f.addresses {
		if o := f.nodes[address]; o.up {
			want[o.id] = o.table.Self.Incarnation
		}
	}
	for _, m := range n.view.Live() {
		got[m.ID] = m.Incarnation
	}
	if diff := cmp.Diff(want, got); diff != "" {
		r.Errorf("live VMs and incarnations in the view of %s (-want +got):\n%s", n.id, diff)
	}
	// The only survivor of several VMs cannot detect that it is not
	// partitioned.
	if diff := cmp.Diff(false, n.view.Unconfirmed); diff != "" && len(want) > 1 {
		r.Errorf("unconfirmed in the view of %s (-want +got):\n%s", n.id, diff)
	}
}
