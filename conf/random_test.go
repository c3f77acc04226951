package conf

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/store"
)

const randomNodes = 4

// TestRandomSchedules runs random offers and faults and checks what must hold
// whatever happens: a note that was accepted is in force everywhere in the end,
// one that was said not to have run is not, and no node ever goes back.
func TestRandomSchedules(t *testing.T) {
	_ = flag.Set("rapid.seed", "20260102")
	_ = flag.Set("rapid.nofailfile", "true")
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 10, 40).Draw(r, "steps")
		var failure string
		synctest.Test(t, func(t *testing.T) { failure = play(t, steps) })
		if failure != "" {
			r.Fatal(failure)
		}
	})
}

func drawStep(r *rapid.T) step {
	s := step{
		VMs:    []string{drawVM(r, "vm")},
		From:   []string{drawVM(r, "from")},
		WaitMS: rapid.Int64Range(0, 3000).Draw(r, "wait"),
	}
	s.Do = rapid.SampledFrom([]string{
		"offer", "offer", "offer", "offer", "faults", "faults", "faults",
		"clear", "release", "wait", "cut", "heal", "stop", "start",
	}).Draw(r, "do")
	s.Faults = []store.Fault{{
		Kind: rapid.SampledFrom([]store.FaultKind{
			store.FaultDown, store.FaultRequestLost, store.FaultAnswerLost, store.FaultLate,
			store.FaultSlow, store.FaultStaleRead, store.FaultWatchLost, store.FaultWatchSilent,
		}).Draw(r, "fault"),
		Prefix:  "bergamot/",
		Skip:    rapid.IntRange(0, 3).Draw(r, "skip"),
		Count:   rapid.IntRange(1, 5).Draw(r, "count"),
		DelayMS: s.WaitMS,
		Back:    rapid.Int64Range(1, 4).Draw(r, "back"),
	}}
	// Some offers are made on a revision that is no longer the present one.
	s.Revision = rapid.Int64Range(0, 8).Draw(r, "behind") / 8
	return s
}

func drawVM(r *rapid.T, label string) string {
	return fmt.Sprintf("n%d", rapid.IntRange(0, randomNodes-1).Draw(r, label))
}

// gambler runs random steps and remembers the verdicts of its offers.
type gambler struct {
	*actor
	accepted map[string]bool
	notRun   map[string]bool
}

func play(t *testing.T, steps []step) string {
	g := &gambler{
		actor:    &actor{cluster: newCluster(t)},
		accepted: map[string]bool{},
		notRun:   map[string]bool{},
	}
	defer g.close()
	for i := range randomNodes {
		g.start(fmt.Sprintf("n%d", i))
	}
	g.bet(0, step{VMs: []string{"n0"}})
	for i, s := range steps {
		g.turn(i+1, s)
	}
	g.mend()
	g.checkOrder()
	return g.check()
}

func (g *gambler) turn(i int, s step) {
	running := g.nodes[s.VMs[0]] != nil
	switch {
	case s.Do == "offer":
		g.bet(i, s)
	case s.Do == "start" && running, s.Do == "stop" && (!running || len(g.nodes) == 1):
	case s.Do == "release":
		g.faultsOf(s.VMs[0]).Release(context.Background())
	default:
		g.run(s)
	}
}

// bet offers a note on the revision that the VM has in force.
func (g *gambler) bet(i int, s step) {
	service := g.service(s.VMs[0])
	n := note.Note{ID: fmt.Sprintf("note-%d", i), BaseRevision: max(0, service.Current().Revision-s.Revision)}
	n.Added.Domains = map[string]note.FailureDomain{n.ID: {}}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err := service.Submit(ctx, n)
	switch {
	case err == nil:
		g.accepted[n.ID] = true
	case fault.VerdictOf(err) == fault.NotRun:
		g.notRun[n.ID] = true
	}
}

// mend ends all faults and lets what is under way come to its end.
func (g *gambler) mend() {
	g.connect([]string{"n0", "n1", "n2", "n3"}, []string{"n0", "n1", "n2", "n3"}, true)
	for i := range randomNodes {
		vm := fmt.Sprintf("n%d", i)
		g.faultsOf(vm).Clear()
		g.faultsOf(vm).Release(context.Background())
		if g.nodes[vm] == nil {
			g.start(vm)
		}
	}
	time.Sleep(20 * time.Second)
}

// check compares what the offers were told with what is in force.
func (g *gambler) check() string {
	p, err := readHead(context.Background(), g.memory)
	if err != nil {
		return err.Error()
	}
	if !p.covers(0) {
		return fmt.Sprintf("the history has gaps: %v", p.history)
	}
	for id := range g.accepted {
		if !p.has(id) {
			return id + " was accepted and is not in the history"
		}
	}
	for id := range g.notRun {
		if p.has(id) {
			return id + " was said not to have run and is in the history"
		}
	}
	for vm, n := range g.nodes {
		for _, e := range p.history {
			if _, ok := n.Current().Sections.Domains[e.NoteID]; !ok {
				return fmt.Sprintf("%s is not in force on %s", e.NoteID, vm)
			}
		}
		if diff := cmp.Diff(p.head.Checksum, n.current.Load().sum()); diff != "" {
			return vm + ": " + diff
		}
	}
	return ""
}

func (i *image) sum() string {
	if i == nil {
		return ""
	}
	return i.checksum
}
