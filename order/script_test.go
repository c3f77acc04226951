package order

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

type step struct {
	Do           string                      `json:"do"`
	VM           string                      `json:"vm"`
	Engine       string                      `json:"engine"`
	FencingToken int64                       `json:"fence"`
	Count        int                         `json:"count"`
	Orders       map[string]note.EngineOrder `json:"orders"`
	Faults       []store.Fault               `json:"faults"`
	WaitMS       int64                       `json:"wait_ms"`
	Log          []string                    `json:"log"`
	Incarnation  string                      `json:"incarnation"`
	Want         string                      `json:"want"`
}

type scenario struct {
	RejectsStale bool   `json:"refuses_old_fences"`
	Engines      int    `json:"engines"`
	PerMinute    int    `json:"per_minute"`
	Steps        []step `json:"steps"`
}

func TestScenarios(t *testing.T) {
	script.Run(t, "testdata/scenes/*.json", func(t *testing.T, data scenario) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t)
			f.configure(data)
			defer f.close()
			for i, s := range data.Steps {
				if diff := cmp.Diff(s.Want, f.run(s)); diff != "" {
					t.Errorf("step %d, %s: %s", i, s.Do, diff)
				}
			}
		})
	})
}

// configure creates the engines e0, e1 and so on, with their targets.
func (f *fleet) configure(data scenario) {
	s := note.Sections{
		Services: map[string]note.Service{"llm": {Kind: note.Generate, RejectsStaleTokens: data.RejectsStale}},
		Targets:  map[string]note.Target{},
		Limits:   map[string]note.Limits{"system": {WeightLoadsPerMinute: data.PerMinute}},
	}
	for i := range data.Engines {
		name := fmt.Sprintf("e%d", i)
		s.Targets[name] = note.Target{Service: "llm", Address: name}
		f.engines[name] = &fakeEngine{
			rejectsStale: data.RejectsStale,
			state:        EngineState{Incarnation: "1"},
		}
	}
	f.config = note.Config{}.WithSections(s)
}

func (f *fleet) run(s step) string {
	switch s.Do {
	case "start":
		f.startProcess(s.VM)
	case "pause":
		f.processes[s.VM].pause()
	case "resume":
		f.processes[s.VM].resume()
	case "wait":
		time.Sleep(time.Duration(s.WaitMS) * time.Millisecond)
	case "faults":
		f.processes[s.VM].faults.Add(s.Faults...)
	case "clear":
		f.processes[s.VM].faults.Clear()
	case "release":
		return fmt.Sprintf("released %d", f.processes[s.VM].faults.ApplyLateCommits(context.Background()))
	case "abandon":
		err := f.processes[s.VM].Abandon(context.Background(), s.Engine, s.FencingToken)
		if err != nil {
			return fault.From(err).Error()
		}
	case "record":
		return f.record(s.Engine)
	case "calls":
		return fmt.Sprintf("%d reads, %d writes", f.memory.Calls(store.CallRange), f.memory.Calls(store.CallCommit))
	default:
		return f.runLocked(s)
	}
	return ""
}

func (f *fleet) runLocked(s step) string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch s.Do {
	case "owner":
		f.owner = s.VM
	case "orders":
		sections := f.config.Sections
		sections.Orders = s.Orders
		f.config = f.config.WithSections(sections)
	case "lose_answer":
		f.engines[s.Engine].loseResponses = s.Count
	case "lose_request":
		f.engines[s.Engine].loseRequests = s.Count
	case "hold_request":
		f.engines[s.Engine].holdRequests = s.Count
	case "deliver":
		f.engines[s.Engine].deliver(time.Since(f.start))
	case "restart":
		f.engines[s.Engine].held = nil // The connections ended with the old process.
		f.engines[s.Engine].state = EngineState{Incarnation: s.Incarnation}
	case "log":
		return cmp.Diff(s.Log, f.engines[s.Engine].log)
	case "spacing":
		return f.spacing()
	default:
		return "unknown step"
	}
	return ""
}

// spacing returns the number of loads and the shortest time between two.
func (f *fleet) spacing() string {
	var all []int64
	for _, e := range f.engines {
		all = append(all, e.loads...)
	}
	return describeSpacing(all)
}

func (f *fleet) record(target string) string {
	r, err := readRecord(context.Background(), f.memory, target)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%s %d by %s", r.Phase, r.Command.FencingToken, r.Issuer)
}

// describeSpacing returns the number of times, which are in milliseconds, and
// the smallest difference between two of them.
func describeSpacing(times []int64) string {
	slices.Sort(times)
	smallest := int64(-1)
	for i := 1; i < len(times); i++ {
		if gap := times[i] - times[i-1]; smallest < 0 || gap < smallest {
			smallest = gap
		}
	}
	return fmt.Sprintf("%d loads, %d ms apart at least", len(times), smallest)
}
