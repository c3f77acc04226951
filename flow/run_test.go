package flow

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"bergamotworks/engine"
	"bergamotworks/fault"
	"bergamotworks/ledger"
	"bergamotworks/member"
	"bergamotworks/note"
	"bergamotworks/owner"
	"bergamotworks/ports"
	"bergamotworks/script"
)

// scenario is one scripted request with what the owner and the ledger do.
type scenario struct {
	Sections note.Sections `json:"sections"`
	Callers  []caller      `json:"callers"`
	// Attempts are what the owner answers, in order.
	Attempts []attempt    `json:"attempts"`
	Ledger   fakeLedger   `json:"ledger"`
	Results  []seen       `json:"results"`
	Calls    []calledWith `json:"calls"`
	Records  []string     `json:"records"` // What the ledger was asked for.
}

// caller sends one request at a time from the start.
type caller struct {
	AtMS       int    `json:"at_ms"`
	Account    string `json:"account"`
	Pipeline   string `json:"pipeline"`
	Key        string `json:"key"`
	Input      string `json:"input"`
	DeadlineMS int    `json:"deadline_ms"`
	LeavesMS   int    `json:"leaves_ms"` // Time after which the caller closes; zero means never.
}

// attempt is a scripted answer of the owner.
type attempt struct {
	TakesMS int          `json:"takes_ms"`
	Chunks  []string     `json:"chunks"`
	Output  string       `json:"output"`
	Target  string       `json:"target"`
	Fault   *fault.Error `json:"fault"`
	Cause   engine.Cause `json:"cause"`
}

// seen is what a caller gets.
type seen struct {
	Output  string `json:"output,omitempty"`
	Text    string `json:"text,omitempty"`
	Kind    string `json:"kind,omitempty"`
	Verdict string `json:"verdict,omitempty"`
}

// calledWith is what the owner was asked for.
type calledWith struct {
	Stage    string `json:"stage"`
	Previous string `json:"previous,omitempty"`
	Resume   string `json:"resume,omitempty"`
	Alone    bool   `json:"alone,omitempty"`
	Canceled bool   `json:"canceled,omitempty"`
}

func TestScenario(t *testing.T) {
	script.Run(t, "testdata/*.json", func(t *testing.T, data *scenario) {
		synctest.Test(t, func(t *testing.T) { data.play(t) })
	})
}

func (d *scenario) play(t *testing.T) {
	o := &fakeOwner{attempts: d.Attempts}
	s := newService(d, o)
	ctx, cancel := context.WithCancel(t.Context())
	r := &serviceRun{service: s, done: make(chan struct{})}
	go r.run(ctx)
	callers := make([]*callerRun, len(d.Callers))
	for i, c := range d.Callers {
		callers[i] = &callerRun{service: s, caller: c, done: make(chan struct{})}
		go callers[i].run()
	}
	results := make([]seen, len(callers))
	for i, c := range callers {
		<-c.done
		results[i] = c.seen
	}
	time.Sleep(2 * abandonAfter) // In the test's own time.
	cancel()
	<-r.done
	_ = s.Close()
	if diff := cmp.Diff(d.Results, results); diff != "" {
		t.Errorf("results (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(d.Calls, o.calls); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(d.Records, d.Ledger.asked); diff != "" {
		t.Errorf("ledger (-want +got):\n%s", diff)
	}
}

func newService(d *scenario, o Owner) *Service {
	log := logrus.New()
	log.SetOutput(io.Discard)
	config := note.Config{Revision: 1, Sections: d.Sections}
	return &Service{
		Self: "a", Config: func() note.Config { return config }, View: func() member.View { return member.View{} },
		Owner: o, Ledger: &d.Ledger, LocalPools: true, Clock: ports.SystemClock{},
		Random: ports.NewSeededRandom(1), Log: logrus.NewEntry(log), Metrics: metrics.NewSet(),
	}
}

type serviceRun struct {
	service *Service
	done    chan struct{}
}

func (r *serviceRun) run(ctx context.Context) {
	defer close(r.done)
	_ = r.service.Run(ctx)
}

type callerRun struct {
	service *Service
	caller  caller
	seen    seen
	done    chan struct{}
}

func (c *callerRun) run() {
	defer close(c.done)
	time.Sleep(time.Duration(c.caller.AtMS) * time.Millisecond) // In the test's own time.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if c.caller.LeavesMS > 0 {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(c.caller.LeavesMS)*time.Millisecond)
		defer cancel()
	}
	var text strings.Builder
	input, _ := json.Marshal(c.caller.Input)
	answer, err := c.service.Serve(ctx, Request{
		ID: "r", Account: c.caller.Account, Pipeline: c.caller.Pipeline, Key: c.caller.Key, KeyCreatedAt: time.Now(),
		Input: input, Fingerprint: Fingerprint(c.caller.Pipeline, input), Stream: true,
		Deadline: time.Now().Add(time.Duration(c.caller.DeadlineMS) * time.Millisecond),
	}, func(k Chunk) { text.WriteString(k.Text) })
	c.seen = seen{Output: unquote(answer.Output), Text: text.String()}
	if err != nil {
		fe := fault.From(err)
		c.seen.Kind, c.seen.Verdict = fe.Kind.String(), fe.Verdict.String()
	}
}

func unquote(output json.RawMessage) string {
	var s string
	_ = json.Unmarshal(output, &s)
	return s
}

// fakeOwner plays the scripted attempts.
type fakeOwner struct {
	mutex    sync.Mutex
	attempts []attempt
	calls    []calledWith
}

func (f *fakeOwner) Execute(ctx context.Context, call owner.StageCall, onChunk func(owner.Chunk)) owner.StageResponse {
	f.mutex.Lock()
	n := len(f.calls)
	f.calls = append(f.calls, calledWith{
		Stage: call.Call.Stage, Previous: unquote(call.Previous), Resume: call.Resume, Alone: call.Call.Exclusive,
	})
	f.mutex.Unlock()
	if n >= len(f.attempts) {
		return owner.StageResponse{Fault: fault.New(fault.Internal, fault.NotRun, "no attempt scripted")}
	}
	a := f.attempts[n]
	for i, c := range a.Chunks {
		onChunk(owner.Chunk{Position: call.ResumeTokens + i, Text: c})
	}
	select {
	case <-ctx.Done():
		f.mutex.Lock()
		f.calls[n].Canceled = true
		f.mutex.Unlock()
		return owner.StageResponse{Target: a.Target, Fault: fault.New(fault.Canceled, fault.MayHaveRun, "canceled")}
	case <-time.After(time.Duration(a.TakesMS) * time.Millisecond):
	}
	output, _ := json.Marshal(a.Output)
	return owner.StageResponse{Output: output, Target: a.Target, Fault: a.Fault, Cause: a.Cause}
}

// fakeLedger is a ledger whose answers are scripted.
type fakeLedger struct {
	Creation   *fault.Error  `json:"create"`   // Refusal of a creation.
	Existing   *ledger.State `json:"existing"` // State of a record that stands already.
	Result     string        `json:"result"`   // Result of that record.
	Withdrawal *fault.Error  `json:"withdraw"` // Refusal of a withdrawal.
	Absent     bool          `json:"absent"`   // Lookups find nothing.

	mutex sync.Mutex
	asked []string
}

func (f *fakeLedger) ask(what string, key ledger.Key) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.asked = append(f.asked, what+" "+key.Stage)
}

func (f *fakeLedger) Create(_ context.Context, request ledger.Request) (ledger.Claim, error) {
	f.ask("create", request.Key)
	claim := ledger.Claim{Subject: ledger.Subject{Key: request.Key, Fingerprint: request.Fingerprint}}
	if f.Creation != nil {
		return claim, f.Creation
	}
	if f.Existing != nil {
		return f.record(claim), nil
	}
	claim.Created = true
	return claim, nil
}

func (f *fakeLedger) record(claim ledger.Claim) ledger.Claim {
	claim.State = *f.Existing
	claim.Result, _ = json.Marshal(f.Result)
	return claim
}

func (f *fakeLedger) Complete(_ context.Context, claim ledger.Claim, result []byte) error {
	f.ask("complete "+unquote(result), claim.Key)
	return nil
}

func (f *fakeLedger) Withdraw(_ context.Context, claim ledger.Claim) error {
	f.ask("withdraw", claim.Key)
	if f.Withdrawal != nil {
		return f.Withdrawal
	}
	return nil
}

func (f *fakeLedger) Lookup(_ context.Context, key ledger.Key) (ledger.Claim, error) {
	if f.Existing == nil || f.Absent {
		return ledger.Claim{}, fault.New(fault.NotFound, fault.MayHaveRun, "no record")
	}
	input, _ := json.Marshal("q")
	claim := ledger.Claim{Subject: ledger.Subject{Key: key, Fingerprint: fingerprintOf("order", input)}}
	return f.record(claim), nil
}

func fingerprintOf(pipeline string, input []byte) string {
	r := run{request: Request{Fingerprint: Fingerprint(pipeline, input)}}
	return r.fingerprint()
}
