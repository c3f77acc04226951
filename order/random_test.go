package order

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"bergamotworks/note"
	"bergamotworks/store"
)

// TestRandomSchedules runs processes that are paused, lose the ownership of
// targets and have faults injected into their store and engine calls. It checks
// the engines' logs: no order follows a newer one, none arrives twice, and the
// wanted state is reached in the end.
func TestRandomSchedules(t *testing.T) {
	_ = flag.Set("rapid.seed", "20260103")
	_ = flag.Set("rapid.nofailfile", "true")
	rapid.Check(t, func(r *rapid.T) {
		data := scenario{Engines: 2, PerMinute: 600, RejectsStale: rapid.Bool().Draw(r, "refuses")}
		data.Steps = rapid.SliceOfN(rapid.Custom(drawStep), 10, 50).Draw(r, "steps")
		var failure string
		synctest.Test(t, func(t *testing.T) { failure = runScenario(t, data) })
		if failure != "" {
			r.Fatal(failure)
		}
	})
}

func drawStep(r *rapid.T) step {
	s := step{
		VM:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "vm"),
		Engine: rapid.SampledFrom([]string{"e0", "e1"}).Draw(r, "engine"),
		Count:  1,
		WaitMS: rapid.SampledFrom([]int64{100, 3000, 15000, 150000}).Draw(r, "wait"),
	}
	s.Do = rapid.SampledFrom([]string{
		"owner", "owner", "pause", "pause", "resume", "faults", "clear", "release",
		"orders", "orders", "orders", "lose_answer", "lose_request", "hold_request", "deliver", "restart", "wait", "wait", "wait", "wait",
	}).Draw(r, "do")
	if s.Do == "owner" && rapid.Bool().Draw(r, "disputed") {
		s.VM = "all"
	}
	s.Incarnation = fmt.Sprint(rapid.Uint32().Draw(r, "incarnation"))
	s.Faults = []store.Fault{{
		Kind: rapid.SampledFrom([]store.FaultKind{
			store.FaultDown, store.FaultRequestLost, store.FaultResponseLost, store.FaultLateCommit,
			store.FaultSlow, store.FaultStaleRead,
		}).Draw(r, "fault"),
		Skip:          rapid.IntRange(0, 3).Draw(r, "skip"),
		Count:         rapid.IntRange(1, 5).Draw(r, "count"),
		DelayMS:       rapid.Int64Range(0, 3000).Draw(r, "delay"),
		RevisionsBack: rapid.Int64Range(1, 6).Draw(r, "back"),
	}}
	role := rapid.SampledFrom([]string{"prefill", "decode", "mixed"}).Draw(r, "role")
	s.Orders = map[string]note.EngineOrder{"role": {Kind: note.ChangeRole, Service: "llm", Subject: role}}
	return s
}

func runScenario(t *testing.T, data scenario) string {
	f := newFleet(t)
	f.configure(data)
	defer f.close()
	for _, vm := range []string{"a", "b", "c"} {
		f.startProcess(vm)
	}
	f.run(step{Do: "owner", VM: "a"})
	for _, s := range data.Steps {
		if s.Do == "pause" && f.owner != "all" {
			s.VM = f.owner // Other processes have nothing to send.
		}
		f.run(s)
	}
	f.endFaults()
	for name, e := range f.engines {
		if failure := e.checkOrder(); failure != "" {
			return name + ": " + failure
		}
		for _, o := range f.config.Sections.Orders {
			if e.state.Role != o.Subject {
				return fmt.Sprintf("%s has the role %q instead of %q", name, e.state.Role, o.Subject)
			}
		}
	}
	return ""
}

// endFaults ends all faults and then abandons the orders that stay open, as an
// operator may do once no process is paused.
func (f *fleet) endFaults() {
	for _, p := range f.processes {
		p.faults.Clear()
		p.faults.ApplyLateCommits(context.Background())
		p.resume()
	}
	f.run(step{Do: "owner", VM: "a"})
	for _, name := range []string{"e0", "e1"} {
		f.run(step{Do: "lose_answer", Engine: name})
		f.run(step{Do: "lose_request", Engine: name})
		f.run(step{Do: "hold_request", Engine: name})
		f.run(step{Do: "deliver", Engine: name})
	}
	time.Sleep(5 * time.Minute)
	for name := range f.engines {
		r, err := readRecord(context.Background(), f.memory, name)
		if err == nil && r.Phase == PhaseOpen {
			_ = f.processes["a"].Abandon(context.Background(), name, r.Command.FencingToken)
		}
	}
	time.Sleep(5 * time.Minute)
}

// checkOrder returns a description of an order that the engine received after a
// newer one or twice, "" if there is none.
func (e *fakeEngine) checkOrder() string {
	last := int64(0)
	for _, entry := range e.log {
		if strings.HasSuffix(entry, " refused") {
			continue
		}
		var fencingToken int64
		if _, err := fmt.Sscan(entry, &fencingToken); err != nil || fencingToken <= last {
			return fmt.Sprintf("order after a newer one or repeated: %q", e.log)
		}
		last = fencingToken
	}
	return ""
}
