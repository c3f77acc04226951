package order

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/emul"
	"bergamotworks/engine"
	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/ports"
	"bergamotworks/script"
)

// engineCase is a sequence of orders to an emulated engine over HTTP.
type engineCase struct {
	RejectsStale bool `json:"refuses_old_fences"`
	Orders       []struct {
		Command Command `json:"command"`
		Want    string  `json:"want"`
	} `json:"orders"`
	State EngineState `json:"state"`
}

func TestEngineClient(t *testing.T) {
	script.Run(t, "testdata/engine/*.json", func(t *testing.T, data engineCase) {
		network := ports.SystemNetwork{}
		target := startTarget(t, network, note.Service{Kind: note.Generate, Model: "m", RejectsStaleTokens: data.RejectsStale})
		defer stopTarget(t, target)
		e := engineClient(network)
		for _, o := range data.Orders {
			err := e.Apply(t.Context(), target.Address, o.Command)
			if diff := cmp.Diff(o.Want, errorText(err)); diff != "" {
				t.Errorf("fencing token %d: %s", o.Command.FencingToken, diff)
			}
		}
		state, err := e.State(t.Context(), target.Address)
		if diff := cmp.Diff("", errorText(err)); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(data.State, state); diff != "" {
			t.Error(diff)
		}
	})
}

// TestService checks that a service sends an order to an emulated engine once
// and closes its record.
func TestService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &emul.MemoryNetwork{}
		target := startTarget(t, network, note.Service{Kind: note.Generate, Model: "m"})
		f := newFleet(t)
		f.configure(scenario{Engines: 1, PerMinute: 600})
		sections := f.config.Sections
		sections.Targets = map[string]note.Target{"e0": {Service: "llm", Address: target.Address}}
		sections.Orders = map[string]note.EngineOrder{"a": {Kind: note.LoadAdapter, Service: "llm", Subject: "fr", Version: "v1"}}
		f.config = f.config.WithSections(sections)
		f.owner = "a"
		p := f.newProcess("a")
		p.Engine = engineClient(network)
		ctx, cancel := context.WithCancel(t.Context())
		p.cancel = cancel
		f.tasks.Go(runningProcess{p, ctx}.run)
		time.Sleep(time.Minute)
		f.close()
		if diff := cmp.Diff(1, target.Counts().OrdersExecuted); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff("settled 1 by a/1", f.record("e0")); diff != "" {
			t.Error(diff)
		}
		stopTarget(t, target)
		time.Sleep(time.Minute) // The goroutines of the HTTP client end after its idle timeout.
	})
}

func engineClient(network ports.Network) EngineClient {
	return EngineClient{Client: &engine.Client{Network: network, Clock: ports.SystemClock{}}}
}

func startTarget(t *testing.T, network ports.Network, service note.Service) *emul.Target {
	t.Helper()
	target := &emul.Target{
		Name:    "e0",
		Service: service,
		Address: "127.0.0.1:0",
		Network: network,
		Clock:   ports.SystemClock{},
		Costs:   &emul.CostRecorder{},
	}
	if err := target.Start(); err != nil {
		t.Fatal(err)
	}
	return target
}

func stopTarget(t *testing.T, target *emul.Target) {
	t.Helper()
	if err := target.Close(); err != nil {
		t.Error(err)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return fault.From(err).Kind.String() + ", " + fault.VerdictOf(err).String()
}
