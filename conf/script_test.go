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

// step is one step of a script. Operators offer at a VM, or straight to the
// store if the VM has no node.
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

type scene struct {
	Steps []step `json:"steps"`
}

// actor runs a script against a cluster.
type actor struct {
	*cluster
	snapshot store.Snapshot
	racing   chan string
	dead     []string // Cut off for good.
}

func TestScenes(t *testing.T) {
	script.Run(t, "testdata/scenes/*.json", func(t *testing.T, data scene) {
		synctest.Test(t, func(t *testing.T) {
			a := &actor{cluster: newCluster(t)}
			defer a.close()
			for i, s := range data.Steps {
				if diff := cmp.Diff(s.Want, a.run(s)); diff != "" {
					t.Errorf("step %d, %s: %s", i, s.Do, diff)
				}
			}
			a.checkOrder()
		})
	})
}

// checkOrder checks that no node has ever gone back.
func (a *actor) checkOrder() {
	synctest.Wait()
	for vm, n := range a.nodes {
		if !slices.IsSorted(n.seen) || len(slices.Compact(slices.Clone(n.seen))) != len(n.seen) {
			a.t.Errorf("%s had the revisions %v", vm, n.seen)
		}
	}
}

func (a *actor) run(s step) string {
	switch s.Do {
	case "start":
		for _, vm := range s.VMs {
			a.start(vm)
		}
	case "stop":
		for _, vm := range s.VMs {
			a.stop(vm)
		}
	case "offer":
		return a.offer(s)
	case "race":
		return a.race(s)
	case "check":
		return outcome("accepted", a.service(s.VMs[0]).CheckNote(context.Background(), s.Note))
	case "wait":
		time.Sleep(time.Duration(s.WaitMS) * time.Millisecond)
	case "wait_in_force":
		return a.waitInForce(s)
	case "history":
		history, err := a.service(s.VMs[0]).History(context.Background())
		return outcome(cmp.Diff(s.History, history), err)
	default:
		return a.trouble(s)
	}
	return ""
}

func (a *actor) trouble(s step) string {
	switch s.Do {
	case "revisions":
		return cmp.Diff(s.Revisions, a.revisions())
	case "ready":
		ready := map[string]bool{}
		for vm, n := range a.nodes {
			ready[vm] = n.Ready()
		}
		return cmp.Diff(s.Ready, ready)
	case "faults":
		for _, vm := range s.VMs {
			a.faultsOf(vm).Add(s.Faults...)
		}
	case "clear":
		for _, vm := range s.VMs {
			a.faultsOf(vm).Clear()
		}
	case "release":
		return fmt.Sprintf("released %d", a.faultsOf(s.VMs[0]).Release(context.Background()))
	case "cut", "heal":
		a.connect(s.From, s.VMs, s.Do == "heal")
	case "mute", "unmute":
		a.muted.Store(s.Do == "mute")
	case "snapshot":
		a.snapshot = a.memory.Snapshot()
	case "restore":
		a.memory.Restore(a.snapshot)
	case "empty":
		a.memory.Restore(store.Snapshot{})
	default:
		return "unknown step"
	}
	return ""
}

// connect heals or cuts all connections between two sets of VMs.
func (a *actor) connect(from, to []string, whole bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, f := range from {
		for _, t := range to {
			a.cut[[2]string{f, t}] = !whole
			a.cut[[2]string{t, f}] = !whole
		}
	}
}

func (a *actor) revisions() map[string]int64 {
	revisions := map[string]int64{}
	for _, vm := range a.names() {
		if !slices.Contains(a.dead, vm) {
			revisions[vm] = a.nodes[vm].Current().Revision
		}
	}
	return revisions
}

// service returns the node on a VM, or an operator's own access to the store.
func (a *actor) service(vm string) *Service {
	if n := a.nodes[vm]; n != nil {
		return n.Service
	}
	return operator(a.cluster, vm)
}

func (a *actor) offer(s step) string {
	n := s.Note
	if s.Shipped != "" {
		var err error
		if n, err = note.Shipped(s.Shipped); err != nil {
			return err.Error()
		}
	}
	config, err := a.service(s.VMs[0]).Submit(context.Background(), n)
	return outcome(fmt.Sprintf("revision %d", config.Revision), err)
}

// race offers the note, with another identifier for each VM, at several VMs at
// once. It returns how many were accepted.
func (a *actor) race(s step) string {
	a.racing = make(chan string, len(s.VMs))
	for _, vm := range s.VMs {
		r := racer{actor: a, step: s}
		r.step.VMs = []string{vm}
		r.step.Note.ID = "race-" + vm
		a.tasks.Go(r.run)
	}
	outcomes := map[string]int{}
	for range s.VMs {
		outcomes[<-a.racing]++
	}
	return fmt.Sprint(outcomes)
}

type racer struct {
	*actor
	step step
}

func (r racer) run() { r.racing <- r.offer(r.step)[:len("revision 0")] }

func (a *actor) waitInForce(s step) string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.WaitMS)*time.Millisecond)
	defer cancel()
	return outcome("in force", a.service(s.VMs[0]).Wait(ctx, s.Revision, a.revisions))
}

func operator(c *cluster, vm string) *Service {
	n := newNode(c, vm)
	return n.Service
}

func outcome(text string, err error) string {
	if err == nil {
		return text
	}
	return fault.From(err).Error()
}
