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

// exchange is a sequence of orders to a stand-in engine over HTTP.
type exchange struct {
	Refuses bool `json:"refuses_old_fences"`
	Orders  []struct {
		Command Command `json:"command"`
		Want    string  `json:"want"`
	} `json:"orders"`
	State EngineState `json:"state"`
}

func TestEngineClient(t *testing.T) {
	script.Run(t, "testdata/engine/*.json", func(t *testing.T, data exchange) {
		network := ports.SystemNetwork{}
		target := standIn(t, network, note.Service{Kind: note.Generate, Model: "m", RefusesOldFences: data.Refuses})
		defer stop(t, target)
		e := engineClient(network)
		for _, o := range data.Orders {
			err := e.Apply(t.Context(), target.Address, o.Command)
			if diff := cmp.Diff(o.Want, errorText(err)); diff != "" {
				t.Errorf("fence %d: %s", o.Command.Fence, diff)
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

// TestService lets a service order a stand-in engine about.
func TestService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &emul.Memory{}
		target := standIn(t, network, note.Service{Kind: note.Generate, Model: "m"})
		f := newFleet(t)
		f.furnish(scene{Engines: 1, PerMinute: 600})
		sections := f.config.Sections
		sections.Targets = map[string]note.Target{"e0": {Service: "llm", Address: target.Address}}
		sections.Orders = map[string]note.EngineOrder{"a": {Kind: note.LoadAdapter, Service: "llm", Subject: "fr", Version: "v1"}}
		f.config = f.config.WithSections(sections)
		f.owner = "a"
		p := f.prepare("a")
		p.Engine = engineClient(network)
		ctx, cancel := context.WithCancel(t.Context())
		p.cancel = cancel
		f.tasks.Go(launched{p, ctx}.run)
		time.Sleep(time.Minute)
		f.close()
		if diff := cmp.Diff(1, target.Counts().OrdersObeyed); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff("settled 1 by a/1", f.record("e0")); diff != "" {
			t.Error(diff)
		}
		stop(t, target)
		time.Sleep(time.Minute) // The HTTP library's workers end after their idle time.
	})
}

func engineClient(network ports.Network) EngineClient {
	return EngineClient{Client: &engine.Client{Network: network, Clock: ports.SystemClock{}}}
}

func standIn(t *testing.T, network ports.Network, service note.Service) *emul.Target {
	t.Helper()
	target := &emul.Target{
		Name:    "e0",
		Service: service,
		Address: "127.0.0.1:0",
		Network: network,
		Clock:   ports.SystemClock{},
		Witness: &emul.Witness{},
	}
	if err := target.Start(); err != nil {
		t.Fatal(err)
	}
	return target
}

func stop(t *testing.T, target *emul.Target) {
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
