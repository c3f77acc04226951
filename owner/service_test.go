package owner

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"bergamotworks/engine"
	"bergamotworks/fault"
	"bergamotworks/member"
	"bergamotworks/note"
	"bergamotworks/pool"
	"bergamotworks/ports"
	"bergamotworks/script"
)

// scenario is a data file: calls to one owner and changes around it, with the
// expected results.
type scenario struct {
	Sections note.Sections `json:"sections"`
	Calls    []timedCall   `json:"calls"`
	Changes  []change      `json:"changes"`
	Results  []result      `json:"results"`
	// Started lists the calls dispatched to a target, in order, with the time.
	Started []started `json:"started"`
	// Handovers lists the pools handed over to another node.
	Handovers []string `json:"handed"`
}

type timedCall struct {
	AtMS          int    `json:"at_ms"`
	Attempt       string `json:"attempt"`
	Pool          string `json:"pool"`
	TakesMS       int    `json:"takes_ms"`
	Cause         string `json:"cause"` // Cause of the failure on the target; empty if the call succeeds.
	DisconnectsMS int    `json:"leaves_ms"`
	DeadlineMS    int    `json:"deadline_ms"`
	Idempotent    bool   `json:"repeatable"`
}

// change is a change of membership or configuration at a given time.
type change struct {
	AtMS        int                 `json:"at_ms"`
	Unconfirmed *bool               `json:"doubt"`
	Epoch       uint64              `json:"epoch"`
	Domain      *note.FailureDomain `json:"domain"` // New state of the failure domain "north".
	Joins       string              `json:"joins"`  // ID of a VM that joins.
	Leave       bool                `json:"leave"`
}

type result struct {
	Target  string `json:"target,omitempty"`
	Kind    string `json:"kind,omitempty"`
	Verdict string `json:"verdict,omitempty"`
}

type started struct {
	Attempt string `json:"attempt"`
	Target  string `json:"target"`
	AtMS    int64  `json:"at_ms"`
	// WithinMS is the tolerance for AtMS where several events occur at the same
	// time, in any order.
	WithinMS int64 `json:"within_ms"`
}

func sameStart(want, got started) bool {
	offset := got.AtMS - want.AtMS
	return want.Attempt == got.Attempt && want.Target == got.Target && abs(offset) <= max(want.WithinMS, got.WithinMS)
}

func abs(n int64) int64 { return max(n, -n) }

func TestScenario(t *testing.T) {
	script.Run(t, "testdata/*.json", func(t *testing.T, data *scenario) {
		synctest.Test(t, func(t *testing.T) { data.run(t) })
	})
}

// env fakes the configuration, the membership, the targets and the peers of the
// node under test.
type env struct {
	mutex     sync.Mutex
	start     time.Time
	config    note.Config
	view      member.View
	calls     map[string]timedCall
	running   int
	started   []started
	handovers []string
}

func (s *scenario) run(t *testing.T) {
	e := &env{
		start: time.Now(), config: note.Config{Revision: 1, Sections: s.Sections},
		view: member.NewView(member.VM{ID: "a", Attributes: member.Attributes{Ready: true}}), calls: make(map[string]timedCall),
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	service := &Service{
		Self: "a", Config: e.currentConfig, View: e.currentView, Engine: e, Peers: e, Clock: ports.SystemClock{},
		Log: logrus.NewEntry(log), Metrics: metrics.NewSet(),
	}
	ctx, cancel := context.WithCancel(t.Context())
	r := &serviceRun{service: service, done: make(chan struct{})}
	go r.run(ctx)
	results := make([]result, len(s.Calls))
	var clients sync.WaitGroup
	for _, c := range s.Calls {
		e.calls[c.Attempt] = c
	}
	for i, c := range s.Calls {
		clients.Add(1)
		k := &callRun{service: service, call: c, result: &results[i], clients: &clients}
		go k.run()
	}
	for _, c := range s.Changes {
		time.Sleep(time.Until(e.start.Add(time.Duration(c.AtMS) * time.Millisecond))) // Virtual time of synctest.
		e.apply(service, c)
	}
	clients.Wait()
	cancel()
	<-r.done
	_ = service.Close()
	if diff := cmp.Diff(s.Results, results); diff != "" {
		t.Errorf("results (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(s.Started, e.started, cmp.Comparer(sameStart)); diff != "" {
		t.Errorf("started (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(s.Handovers, e.handovers); diff != "" {
		t.Errorf("handovers (-want +got):\n%s", diff)
	}
}

func (e *env) apply(service *Service, c change) {
	e.mutex.Lock()
	if c.Unconfirmed != nil {
		e.view.Unconfirmed = *c.Unconfirmed
	}
	if c.Epoch > 0 {
		e.view.Epoch = c.Epoch
	}
	if c.Domain != nil {
		sections := e.config.Sections
		sections.Domains = map[string]note.FailureDomain{"north": *c.Domain}
		e.config = e.config.WithSections(sections).WithRevision(e.config.Revision+1, "n")
	}
	if c.Joins != "" {
		ready := member.Attributes{Ready: true}
		e.view = member.NewView(member.VM{ID: "a", Attributes: ready}, member.VM{ID: c.Joins, Attributes: ready})
	}
	e.mutex.Unlock()
	if c.Leave {
		service.Leave()
	}
	service.Changed()
}

func (e *env) currentConfig() note.Config {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.config
}

func (e *env) currentView() member.View {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.view
}

// Do simulates a call to a target.
func (e *env) Do(ctx context.Context, call engine.Call, _ func(engine.Chunk)) (engine.Response, error) {
	e.mutex.Lock()
	e.started = append(e.started, started{Attempt: call.Attempt, Target: call.Target, AtMS: time.Since(e.start).Milliseconds()})
	c := e.calls[call.Attempt]
	e.running++
	e.mutex.Unlock()
	defer e.end()
	select {
	case <-ctx.Done():
		return engine.Response{}, &engine.Failure{Fault: fault.New(fault.Canceled, fault.MayHaveRun, "canceled"), Cause: engine.Abandoned}
	case <-time.After(time.Duration(c.TakesMS) * time.Millisecond):
	}
	if c.Cause != "" {
		cause, err := engine.CauseString(c.Cause)
		return engine.Response{}, &engine.Failure{Fault: fault.New(fault.ConnectionLost, fault.MayHaveRun, "lost %v", err), Cause: cause}
	}
	return engine.Response{Output: []byte(`"done"`)}, nil
}

func (e *env) end() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.running--
}

// Load reports the number of running calls.
func (e *env) Load(context.Context, string, string) (engine.LoadReport, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return engine.LoadReport{Incarnation: 1, Running: e.running}, nil
}

// CacheEvents returns no events.
func (e *env) CacheEvents(context.Context, string, string, int64) (engine.CacheEvents, error) {
	return engine.CacheEvents{}, nil
}

// Call records handovers.
func (e *env) Call(_ context.Context, vm, method string, params, _ any) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if request, ok := params.(HandoverRequest); ok && method == MethodHandover {
		e.handovers = append(e.handovers, request.State.Pool+" to "+vm)
	}
	return nil
}

type serviceRun struct {
	service *Service
	done    chan struct{}
}

func (r *serviceRun) run(ctx context.Context) {
	defer close(r.done)
	_ = r.service.Run(ctx)
}

type callRun struct {
	service *Service
	call    timedCall
	result  *result
	clients *sync.WaitGroup
}

func (k *callRun) run() {
	defer k.clients.Done()
	time.Sleep(time.Duration(k.call.AtMS) * time.Millisecond) // Virtual time of synctest.
	ctx := context.Background()
	if k.call.DisconnectsMS > 0 {
		clientCtx, cancel := context.WithTimeout(ctx, time.Duration(k.call.DisconnectsMS)*time.Millisecond)
		defer cancel()
		ctx = clientCtx
	}
	response := k.service.Execute(ctx, StageCall{Pool: k.call.Pool, Call: pool.Call{
		Attempt: k.call.Attempt, Account: "x", Class: "quick", Idempotent: k.call.Idempotent,
		Deadline: time.Now().Add(time.Duration(k.call.DeadlineMS) * time.Millisecond),
	}}, nil)
	k.result.Target = response.Target
	if response.Fault != nil {
		k.result.Kind, k.result.Verdict = response.Fault.Kind.String(), response.Fault.Verdict.String()
	}
}
