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

// TestRandomSchedules submits notes under random faults and checks that every
// accepted note becomes active on all nodes in the end, that a note whose error
// has the verdict NotRun does not, and that the revision of no node ever
// decreases.
func TestRandomSchedules(t *testing.T) {
	_ = flag.Set("rapid.seed", "20260102")
	_ = flag.Set("rapid.nofailfile", "true")
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 10, 40).Draw(r, "steps")
		var failure string
		synctest.Test(t, func(t *testing.T) { failure = runSteps(t, steps) })
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
			store.FaultDown, store.FaultRequestLost, store.FaultResponseLost, store.FaultLateCommit,
			store.FaultSlow, store.FaultStaleRead, store.FaultWatchLost, store.FaultWatchSilent,
		}).Draw(r, "fault"),
		Prefix:        "bergamot/",
		Skip:          rapid.IntRange(0, 3).Draw(r, "skip"),
		Count:         rapid.IntRange(1, 5).Draw(r, "count"),
		DelayMS:       s.WaitMS,
		RevisionsBack: rapid.Int64Range(1, 4).Draw(r, "back"),
	}}
	// Some notes are submitted with a base revision that is out of date.
	s.Revision = rapid.Int64Range(0, 8).Draw(r, "behind") / 8
	return s
}

func drawVM(r *rapid.T, label string) string {
	return fmt.Sprintf("n%d", rapid.IntRange(0, randomNodes-1).Draw(r, label))
}

// randomRunner runs random steps and records the verdicts of the submitted
// notes.
type randomRunner struct {
	*runner
	accepted map[string]bool
	notRun   map[string]bool
}

func runSteps(t *testing.T, steps []step) string {
	r := &randomRunner{
		runner:   &runner{cluster: newCluster(t)},
		accepted: map[string]bool{},
		notRun:   map[string]bool{},
	}
	defer r.close()
	for i := range randomNodes {
		r.start(fmt.Sprintf("n%d", i))
	}
	r.submit(0, step{VMs: []string{"n0"}})
	for i, s := range steps {
		r.runStep(i+1, s)
	}
	r.endFaults()
	r.checkMonotonic()
	return r.check()
}

func (r *randomRunner) runStep(i int, s step) {
	running := r.nodes[s.VMs[0]] != nil
	switch {
	case s.Do == "offer":
		r.submit(i, s)
	case s.Do == "start" && running, s.Do == "stop" && (!running || len(r.nodes) == 1):
	case s.Do == "release":
		r.faultsOf(s.VMs[0]).ApplyLateCommits(context.Background())
	default:
		r.run(s)
	}
}

// submit submits a note on the revision that is active on the VM.
func (r *randomRunner) submit(i int, s step) {
	service := r.service(s.VMs[0])
	n := note.Note{ID: fmt.Sprintf("note-%d", i), BaseRevision: max(0, service.Current().Revision-s.Revision)}
	n.Added.Domains = map[string]note.FailureDomain{n.ID: {}}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err := service.Submit(ctx, n)
	switch {
	case err == nil:
		r.accepted[n.ID] = true
	case fault.VerdictOf(err) == fault.NotRun:
		r.notRun[n.ID] = true
	}
}

// endFaults ends all faults and waits until the revisions have converged.
func (r *randomRunner) endFaults() {
	r.connect([]string{"n0", "n1", "n2", "n3"}, []string{"n0", "n1", "n2", "n3"}, true)
	for i := range randomNodes {
		vm := fmt.Sprintf("n%d", i)
		r.faultsOf(vm).Clear()
		r.faultsOf(vm).ApplyLateCommits(context.Background())
		if r.nodes[vm] == nil {
			r.start(vm)
		}
	}
	time.Sleep(20 * time.Second)
}

// check compares the results of the submissions with the history and the active
// configurations.
func (r *randomRunner) check() string {
	h, err := readHead(context.Background(), r.memory)
	if err != nil {
		return err.Error()
	}
	if !h.coversSince(0) {
		return fmt.Sprintf("the history is incomplete: %v", h.history)
	}
	for id := range r.accepted {
		if !h.accepted(id) {
			return id + " was accepted but is not in the history"
		}
	}
	for id := range r.notRun {
		if h.accepted(id) {
			return id + " failed with the verdict not_run but is in the history"
		}
	}
	for vm, n := range r.nodes {
		for _, e := range h.history {
			if _, ok := n.Current().Sections.Domains[e.NoteID]; !ok {
				return fmt.Sprintf("%s is not active on %s", e.NoteID, vm)
			}
		}
		if diff := cmp.Diff(h.head.Checksum, n.current.Load().checksumOrEmpty()); diff != "" {
			return vm + ": " + diff
		}
	}
	return ""
}

func (i *image) checksumOrEmpty() string {
	if i == nil {
		return ""
	}
	return i.checksum
}
