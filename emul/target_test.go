package emul

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/engine"
	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/ports"
	"bergamotworks/script"
)

// targetCase is a sequence of calls to a target and of faults.
type targetCase struct {
	Service note.Service `json:"service"`
	Warm    bool         `json:"warm"`
	Events  []event      `json:"events"`
	// Results are the causes of the calls' failures in the order of the events.
	Results    []engine.Cause `json:"results"`
	Counts     Counts         `json:"counts"`
	DoubleRuns int            `json:"doubles"`
}

type event struct {
	AtMS          int     `json:"at_ms"`
	Do            string  `json:"do"`
	Calls         int     `json:"calls"` // Number of concurrent calls; zero means one.
	Request       string  `json:"request"`
	NonIdempotent bool    `json:"keyed"`
	CancelMS      int     `json:"leave_ms"` // Time after which the client cancels; zero for never.
	Factor        float64 `json:"factor"`
	Text          string  `json:"text"`
}

func TestTarget(t *testing.T) {
	script.Run(t, "testdata/target/*.json", func(t *testing.T, v targetCase) {
		synctest.Test(t, func(t *testing.T) { testTarget(t, v) })
	})
}

func testTarget(t *testing.T, v targetCase) {
	b := newEnv(t, v)
	started := time.Now()
	for _, e := range v.Events {
		time.Sleep(time.Until(started.Add(time.Duration(e.AtMS) * time.Millisecond)))
		b.do(e)
	}
	b.group.Wait()
	time.Sleep(time.Minute) // Let the target detect the last cancellation.
	got := targetCase{Service: v.Service, Warm: v.Warm, Events: v.Events, Counts: b.target().Counts()}
	got.Counts.Busy, got.Counts.LatestAfterDrain = 0, 0
	got.DoubleRuns = b.fleet.Snapshot().DuplicateRuns
	for _, p := range b.results {
		got.Results = append(got.Results, *p)
	}
	_ = b.client.Close()
	_ = b.fleet.Close()
	time.Sleep(time.Minute) // Let the HTTP library's workers reach their idle timeout.
	if diff := cmp.Diff(v, got); diff != "" {
		t.Errorf("target (-want +got):\n%s", diff)
	}
}

// env is a fleet of one target, with a client and the causes of its calls' failures.
type env struct {
	t       *testing.T
	fleet   *Fleet
	client  *engine.Client
	address string
	service note.Service
	group   sync.WaitGroup
	results []*engine.Cause
}

func newEnv(t *testing.T, v targetCase) *env {
	t.Helper()
	config := note.Config{Sections: note.Sections{
		Services: map[string]note.Service{"s": v.Service},
		Targets:  map[string]note.Target{"t1": {Service: "s", Domain: "d"}},
		Pipelines: map[string]note.Pipeline{"p": {Stages: []note.Stage{
			{Name: "one", Service: "s", Idempotent: true, MaxTokens: 10},
		}}},
	}}
	network := &MemoryNetwork{}
	b := &env{t: t, service: v.Service}
	b.fleet = &Fleet{Config: config, Network: network, Clock: ports.SystemClock{}, Warm: v.Warm}
	started, err := b.fleet.Start()
	if err != nil {
		t.Fatal(err)
	}
	b.address = started.Sections.Targets["t1"].Address
	b.client = &engine.Client{Network: network, Clock: ports.SystemClock{}}
	return b
}

func (b *env) target() *Target { return b.fleet.Target("t1") }

func (b *env) do(e event) {
	switch e.Do {
	case "call":
		for range max(e.Calls, 1) {
			b.call(e)
		}
	case "kill":
		b.target().Kill()
	case "restart":
		if err := b.target().Restart(); err != nil {
			b.t.Fatal(err)
		}
	case "turn_cold":
		b.target().MarkCold()
	case "slow":
		b.target().SetSlowdown(e.Factor)
	case "silent":
		b.target().SilenceConnections()
	case "refuse":
		b.target().RejectCalls(true)
	case "poison":
		b.target().Poison(e.Text)
	case "depart":
		b.target().MarkDrained()
	default:
		b.t.Fatalf("unknown event %q", e.Do)
	}
}

// call starts a call and stores its cause in the results.
func (b *env) call(e event) {
	n := len(b.results)
	result := new(engine.Cause)
	b.results = append(b.results, result)
	request := e.Request
	if request == "" {
		request = fmt.Sprintf("r%d", n)
	}
	call := engine.Call{
		Target: "t1", Address: b.address, Kind: b.service.Kind, Attempt: fmt.Sprintf("a%d", n),
		Idempotent: !e.NonIdempotent, Input: json.RawMessage(fmt.Sprintf(`{"request":%q}`, request)), MaxTokens: 10,
	}
	if e.NonIdempotent {
		call.IdempotencyKey = "k-" + request
	}
	b.group.Add(1)
	go b.runCall(call, time.Duration(e.CancelMS)*time.Millisecond, result)
	synctest.Wait()
}

func (b *env) runCall(call engine.Call, cancelAfter time.Duration, result *engine.Cause) {
	defer b.group.Done()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if cancelAfter > 0 {
		timer := time.AfterFunc(cancelAfter, cancel)
		defer timer.Stop()
	}
	response, err := b.client.Do(ctx, call, nil)
	*result = engine.CauseOf(err)
	want := Output(call.Kind, call.Input, nil, call.MaxTokens)
	if diff := cmp.Diff(string(want), string(response.Output)); err == nil && diff != "" {
		b.t.Errorf("response (-want +got):\n%s", diff)
	}
	if err != nil && *result == engine.Overloaded && fault.VerdictOf(err) != fault.NotRun {
		b.t.Error("verdict of a rejected call is not NotRun")
	}
}
