package member

import (
	"flag"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// fixSeed makes the schedules of rapid the same in every run.
func fixSeed() {
	_ = flag.Set("rapid.seed", "20260102")
	_ = flag.Set("rapid.nofailfile", "true")
}

// TestRandomFaults drives a fleet through random kills, restarts, pauses, cuts,
// planned stops and losses, ends the faults, and wants every running VM to see
// exactly the running ones under their present incarnations, without doubt.
func TestRandomFaults(t *testing.T) {
	fixSeed()
	rapid.Check(t, func(r *rapid.T) {
		size := rapid.IntRange(2, 9).Draw(r, "size")
		f := newFleet(size, rapid.IntRange(1, 3).Draw(r, "regions"), rapid.Uint64().Draw(r, "seed"))
		f.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(r, "loss")
		for _, name := range f.names {
			f.start(f.nodes[name])
		}
		for range rapid.IntRange(1, 25).Draw(r, "faults") {
			f.run(f.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(r, "ms")) * time.Millisecond))
			f.fault(r)
		}
		f.settle()
		for _, name := range f.names {
			if n := f.nodes[name]; n.up {
				f.wantWhole(r, n)
			}
		}
	})
}

// TestIsolatedDoubtsFirst cuts one VM off in one or both directions and wants it to doubt itself before
// any other VM holds it dead, so that two owners never act at once.
func TestIsolatedDoubtsFirst(t *testing.T) {
	fixSeed()
	rapid.Check(t, func(r *rapid.T) {
		f := newFleet(rapid.IntRange(3, 12).Draw(r, "size"), rapid.IntRange(1, 3).Draw(r, "regions"), rapid.Uint64().Draw(r, "seed"))
		f.loss = rapid.SampledFrom([]float64{0, 0.02}).Draw(r, "loss")
		for _, name := range f.names {
			f.start(f.nodes[name])
		}
		f.run(f.now.Add(time.Duration(rapid.IntRange(5000, 9000).Draw(r, "ms")) * time.Millisecond))
		n := f.draw(r)
		mute, deaf := rapid.Bool().Draw(r, "mute"), rapid.Bool().Draw(r, "deaf")
		f.isolate(n, mute || !deaf, deaf || !mute)
		deaths := 0
		f.onView = func(_ *node, v View) {
			if m, _ := v.Find(n.id); m.State == Dead {
				deaths++
				if diff := cmp.Diff(true, n.view.Unconfirmed); diff != "" {
					r.Errorf("%s holds %s dead, which doubts (-want +got):\n%s", v.Self.ID, n.id, diff)
				}
			}
		}
		f.run(f.now.Add(15 * time.Second))
		if deaths == 0 {
			r.Errorf("no VM holds %s dead", n.id)
		}
	})
}

func (f *fleet) draw(r *rapid.T) *node {
	return f.nodes[rapid.SampledFrom(f.names).Draw(r, "vm")]
}

func (f *fleet) fault(r *rapid.T) {
	n := f.draw(r)
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
		f.cut(n.id, f.draw(r).id)
	case "isolate":
		f.isolate(n, true, true)
	case "heal":
		clear(f.cuts)
	case "leave":
		if n.up && !n.paused {
			f.step(n, LeaveStarted{})
			f.step(n, LeaveCompleted{})
			n.up = false
		}
	}
}

// isolate cuts a VM off: others do not hear it if it is mute, and it does not
// hear others if it is deaf.
func (f *fleet) isolate(n *node, mute, deaf bool) {
	for _, name := range f.names {
		if mute {
			f.cut(n.id, f.nodes[name].id)
		}
		if deaf {
			f.cut(f.nodes[name].id, n.id)
		}
	}
}

// settle ends the faults and gives the VMs time to find each other.
func (f *fleet) settle() {
	clear(f.cuts)
	f.loss = 0
	for _, name := range f.names {
		if n := f.nodes[name]; n.paused {
			f.resume(n)
		}
	}
	f.run(f.now.Add(45 * time.Second))
}

func (f *fleet) wantWhole(r *rapid.T, n *node) {
	want, got := map[string]uint64{}, map[string]uint64{}
	for _, name := range f.names {
		if o := f.nodes[name]; o.up {
			want[o.id] = o.table.Self.Incarnation
		}
	}
	for _, m := range n.view.Live() {
		got[m.ID] = m.Incarnation
	}
	if diff := cmp.Diff(want, got); diff != "" {
		r.Errorf("%s sees (-want +got):\n%s", n.id, diff)
	}
	// The only survivor of several VMs cannot tell that it is not cut off.
	if diff := cmp.Diff(false, n.view.Unconfirmed); diff != "" && len(want) > 1 {
		r.Errorf("%s doubts (-want +got):\n%s", n.id, diff)
	}
}
