package conf

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/script"
	"bergamotworks/store"
)

// step is one step of a scenario. Operators submit notes at a VM, or directly
// to the store if no node runs on the VM. Shipped names a note that is embedded
// in the program; it is submitted instead of Note.
type step struct {
	Do        string           `json:"do"`
	VMs       []string         `json:"vms"`
	From      []string         `json:"from"`
	Note      note.Note        `json:"note"`
	Shipped   string           `json:"shipped"`
	Faults    []store.Fault    `json:"faults"`
	WaitMS    int64            `json:"wait_ms"`
	Revision  int64            `json:"revision"`
	Want      string           `json:"want"`
	Revisions map[string]int64 `json:"revisions"`
	Ready     map[string]bool  `json:"ready"`
	History   []HistoryEntry   `json:"history"`
}

type scenario struct {
	Steps []step `json:"steps"`
}

// runner runs a scenario on a cluster.
type runner struct {
	*cluster
	snapshot     store.Snapshot
	raceOutcomes chan string
	isolated     []string // Isolated for the rest of the test.
}

func TestScenarios(t *testing.T) {
	script.Run(t, "testdata/scenes/*.json", func(t *testing.T, data scenario) {
		synctest.Test(t, func(t *testing.T) {
			r := &runner{cluster: newCluster(t)}
			defer r.close()
			for i, s := range data.Steps {
				if diff := cmp.Diff(s.Want, r.run(s)); diff != "" {
					t.Errorf("step %d, %s: %s", i, s.Do, diff)
				}
			}
			r.checkMonotonic()
		})
	})
}

// checkMonotonic checks that the active revision of every node only increased.
func (r *runner) checkMonotonic() {
	synctest.Wait()
	for vm, n := range r.nodes {
		if !slices.IsSorted(n.activeRevisions) || len(slices.Compact(slices.Clone(n.activeRevisions))) != len(n.activeRevisions) {
			r.t.Errorf("active revisions of %s are not increasing: %v", vm, n.activeRevisions)
		}
	}
}

func (r *runner) run(s step) string {
	switch s.Do {
	case "start":
		for _, vm := range s.VMs {
			r.start(vm)
		}
	case "stop":
		for _, vm := range s.VMs {
			r.stop(vm)
		}
	case "offer":
		return r.submitNote(s)
	case "race":
		return r.race(s)
	case "check":
		return outcomeText("accepted", r.service(s.VMs[0]).CheckNote(context.Background(), s.Note))
	case "wait":
		time.Sleep(time.Duration(s.WaitMS) * time.Millisecond)
	case "wait_in_force":
		return r.waitActive(s)
	case "history":
		history, err := r.service(s.VMs[0]).History(context.Background())
		return outcomeText(cmp.Diff(s.History, history), err)
	default:
		return r.runClusterStep(s)
	}
	return ""
}

func (r *runner) runClusterStep(s step) string {
	switch s.Do {
	case "revisions":
		return cmp.Diff(s.Revisions, r.revisions())
	case "ready":
		ready := map[string]bool{}
		for vm, n := range r.nodes {
			ready[vm] = n.Ready()
		}
		return cmp.Diff(s.Ready, ready)
	case "faults":
		for _, vm := range s.VMs {
			r.faultsOf(vm).Add(s.Faults...)
		}
	case "clear":
		for _, vm := range s.VMs {
			r.faultsOf(vm).Clear()
		}
	case "release":
		return fmt.Sprintf("released %d", r.faultsOf(s.VMs[0]).ApplyLateCommits(context.Background()))
	case "cut", "heal":
		r.connect(s.From, s.VMs, s.Do == "heal")
	case "mute", "unmute":
		r.reportsDisabled.Store(s.Do == "mute")
	case "snapshot":
		r.snapshot = r.memory.Snapshot()
	case "restore":
		r.memory.Restore(r.snapshot)
	case "empty":
		r.memory.Restore(store.Snapshot{})
	default:
		return "unknown step"
	}
	return ""
}

// connect restores or cuts all connections between two sets of VMs.
func (r *runner) connect(from, to []string, up bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, f := range from {
		for _, t := range to {
			r.disconnected[[2]string{f, t}] = !up
			r.disconnected[[2]string{t, f}] = !up
		}
	}
}

func (r *runner) revisions() map[string]int64 {
	revisions := map[string]int64{}
	for _, vm := range r.names() {
		if !slices.Contains(r.isolated, vm) {
			revisions[vm] = r.nodes[vm].Current().Revision
		}
	}
	return revisions
}

// service returns the service of the node on a VM, or one with direct access to
// the store if no node runs there.
func (r *runner) service(vm string) *Service {
	if n := r.nodes[vm]; n != nil {
		return n.Service
	}
	return operatorService(r.cluster, vm)
}

func (r *runner) submitNote(s step) string {
	n := s.Note
	if s.Shipped != "" {
		var err error
		if n, err = note.Shipped(s.Shipped); err != nil {
			return err.Error()
		}
	}
	config, err := r.service(s.VMs[0]).Submit(context.Background(), n)
	return outcomeText(fmt.Sprintf("revision %d", config.Revision), err)
}

// race submits the note at several VMs at once, with a different ID at each. It
// returns the number of each outcome.
func (r *runner) race(s step) string {
	r.raceOutcomes = make(chan string, len(s.VMs))
	for _, vm := range s.VMs {
		e := raceSubmission{runner: r, step: s}
		e.step.VMs = []string{vm}
		e.step.Note.ID = "race-" + vm
		r.tasks.Go(e.run)
	}
	outcomes := map[string]int{}
	for range s.VMs {
		outcomes[<-r.raceOutcomes]++
	}
	return fmt.Sprint(outcomes)
}

type raceSubmission struct {
	*runner
	step step
}

// run reports the outcome of the submission. It reports only the start of the
// text, so that errors that name different VMs count as one outcome.
func (r raceSubmission) run() { r.raceOutcomes <- r.submitNote(r.step)[:len("revision 0")] }

func (r *runner) waitActive(s step) string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.WaitMS)*time.Millisecond)
	defer cancel()
	return outcomeText("in force", r.service(s.VMs[0]).Wait(ctx, s.Revision, r.revisions))
}

func operatorService(c *cluster, vm string) *Service {
	n := newNode(c, vm)
	return n.Service
}

func outcomeText(text string, err error) string {
	if err == nil {
		return text
	}
	return fault.From(err).Error()
}
