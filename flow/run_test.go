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

// scenario scripts the requests of clients and the behavior of the owner and
// the ledger, and holds what is expected.
type scenario struct {
	Sections note.Sections `json:"sections"`
	Clients  []client      `json:"callers"`
	// Attempts are the responses of the owner, in order.
	Attempts    []attempt      `json:"attempts"`
	Ledger      fakeLedger     `json:"ledger"`
	Results     []clientResult `json:"results"`
	Calls       []ownerCall    `json:"calls"`
	LedgerCalls []string       `json:"records"` // Expected calls to the ledger.
}

// client sends one request, AtMS after the start of the test.
type client struct {
	AtMS          int    `json:"at_ms"`
	Account       string `json:"account"`
	Pipeline      string `json:"pipeline"`
	Key           string `json:"key"`
	Input         string `json:"input"`
	DeadlineMS    int    `json:"deadline_ms"`
	DisconnectsMS int    `json:"leaves_ms"` // Time after which the client disconnects; zero means never.
}

// attempt is a scripted response of the owner.
type attempt struct {
	TakesMS int          `json:"takes_ms"`
	Chunks  []string     `json:"chunks"`
	Output  string       `json:"output"`
	Target  string       `json:"target"`
	Fault   *fault.Error `json:"fault"`
	Cause   engine.Cause `json:"cause"`
}

// clientResult is what a client receives.
type clientResult struct {
	Output  string `json:"output,omitempty"`
	Text    string `json:"text,omitempty"`
	Kind    string `json:"kind,omitempty"`
	Verdict string `json:"verdict,omitempty"`
}

// ownerCall describes a call that the owner received.
type ownerCall struct {
	Stage    string `json:"stage"`
	Previous string `json:"previous,omitempty"`
	Resume   string `json:"resume,omitempty"`
	Alone    bool   `json:"alone,omitempty"`
	Canceled bool   `json:"canceled,omitempty"`
}

func TestScenario(t *testing.T) {
	script.Run(t, "testdata/*.json", func(t *testing.T, data *scenario) {
		synctest.Test(t, func(t *testing.T) { data.run(t) })
	})
}

func (d *scenario) run(t *testing.T) {
	o := &fakeOwner{attempts: d.Attempts}
	s := newService(d, o)
	ctx, cancel := context.WithCancel(t.Context())
	r := &serviceRun{service: s, done: make(chan struct{})}
	go r.run(ctx)
	clients := make([]*clientRun, len(d.Clients))
	for i, c := range d.Clients {
		clients[i] = &clientRun{service: s, client: c, done: make(chan struct{})}
		go clients[i].run()
	}
	results := make([]clientResult, len(clients))
	for i, c := range clients {
		<-c.done
		results[i] = c.result
	}
	time.Sleep(2 * abandonTimeout) // In synthetic time.
	cancel()
	<-r.done
	_ = s.Close()
	if diff := cmp.Diff(d.Results, results); diff != "" {
		t.Errorf("results (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(d.Calls, o.calls); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(d.LedgerCalls, d.Ledger.requests); diff != "" {
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

type clientRun struct {
	service *Service
	client  client
	result  clientResult
	done    chan struct{}
}

func (c *clientRun) run() {
	defer close(c.done)
	time.Sleep(time.Duration(c.client.AtMS) * time.Millisecond) // In synthetic time.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if c.client.DisconnectsMS > 0 {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(c.client.DisconnectsMS)*time.Millisecond)
		defer cancel()
	}
	var text strings.Builder
	input, _ := json.Marshal(c.client.Input)
	response, err := c.service.Serve(ctx, Request{
		ID: "r", Account: c.client.Account, Pipeline: c.client.Pipeline, Key: c.client.Key, KeyCreatedAt: time.Now(),
		Input: input, Fingerprint: Fingerprint(c.client.Pipeline, input), Stream: true,
		Deadline: time.Now().Add(time.Duration(c.client.DeadlineMS) * time.Millisecond),
	}, func(k Chunk) { text.WriteString(k.Text) })
	c.result = clientResult{Output: unquote(response.Output), Text: text.String()}
	if err != nil {
		fe := fault.From(err)
		c.result.Kind, c.result.Verdict = fe.Kind.String(), fe.Verdict.String()
	}
}

func unquote(output json.RawMessage) string {
	var s string
	_ = json.Unmarshal(output, &s)
	return s
}

// fakeOwner returns the scripted responses in order.
type fakeOwner struct {
	mutex    sync.Mutex
	attempts []attempt
	calls    []ownerCall
}

func (f *fakeOwner) Execute(ctx context.Context, call owner.StageCall, onChunk func(owner.Chunk)) owner.StageResponse {
	f.mutex.Lock()
	n := len(f.calls)
	f.calls = append(f.calls, ownerCall{
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

// fakeLedger is a ledger with scripted responses.
type fakeLedger struct {
	CreateError   *fault.Error  `json:"create"`   // Error of Create; nil means success.
	Existing      *ledger.State `json:"existing"` // State of a record that exists already; nil means none.
	Result        string        `json:"result"`   // Result of that record.
	WithdrawError *fault.Error  `json:"withdraw"` // Error of Withdraw; nil means success.
	Absent        bool          `json:"absent"`   // Lookup finds nothing, even if a record exists.

	mutex    sync.Mutex
	requests []string
}

func (f *fakeLedger) addRequest(operation string, key ledger.Key) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.requests = append(f.requests, operation+" "+key.Stage)
}

func (f *fakeLedger) Create(_ context.Context, request ledger.Request) (ledger.Claim, error) {
	f.addRequest("create", request.Key)
	claim := ledger.Claim{Subject: ledger.Subject{Key: request.Key, Fingerprint: request.Fingerprint}}
	if f.CreateError != nil {
		return claim, f.CreateError
	}
	if f.Existing != nil {
		return f.existingClaim(claim), nil
	}
	claim.Created = true
	return claim, nil
}

func (f *fakeLedger) existingClaim(claim ledger.Claim) ledger.Claim {
	claim.State = *f.Existing
	claim.Result, _ = json.Marshal(f.Result)
	return claim
}

func (f *fakeLedger) Complete(_ context.Context, claim ledger.Claim, result []byte) error {
	f.addRequest("complete "+unquote(result), claim.Key)
	return nil
}

func (f *fakeLedger) Withdraw(_ context.Context, claim ledger.Claim) error {
	f.addRequest("withdraw", claim.Key)
	if f.WithdrawError != nil {
		return f.WithdrawError
	}
	return nil
}

func (f *fakeLedger) Lookup(_ context.Context, key ledger.Key) (ledger.Claim, error) {
	if f.Existing == nil || f.Absent {
		return ledger.Claim{}, fault.New(fault.NotFound, fault.MayHaveRun, "no record")
	}
	input, _ := json.Marshal("q")
	claim := ledger.Claim{Subject: ledger.Subject{Key: key, Fingerprint: fingerprintOf("order", input)}}
	return f.existingClaim(claim), nil
}

func fingerprintOf(pipeline string, input []byte) string {
	r := run{request: Request{Fingerprint: Fingerprint(pipeline, input)}}
	return r.fingerprintText()
}
