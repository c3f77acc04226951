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

// scenario is a scripted life of one owner.
type scenario struct {
	Sections note.Sections `json:"sections"`
	Calls    []timedCall   `json:"calls"`
	Changes  []change      `json:"changes"`
	Results  []result      `json:"results"`
	// Started lists the calls that reached a target, in order, with the time.
	Started []started `json:"started"`
	// Handed lists the pools that were handed to another node.
	Handed []string `json:"handed"`
}

type timedCall struct {
	AtMS       int    `json:"at_ms"`
	Attempt    string `json:"attempt"`
	Pool       string `json:"pool"`
	TakesMS    int    `json:"takes_ms"`
	Cause      string `json:"cause"` // Cause of failure on the target.
	LeavesMS   int    `json:"leaves_ms"`
	DeadlineMS int    `json:"deadline_ms"`
	Repeatable bool   `json:"repeatable"`
}

// change is something that befalls the node.
type change struct {
	AtMS   int                 `json:"at_ms"`
	Doubt  *bool               `json:"doubt"`
	Epoch  uint64              `json:"epoch"`
	Domain *note.FailureDomain `json:"domain"` // New state of the failure domain "north".
	Joins  string              `json:"joins"`  // A VM that joins.
	Leave  bool                `json:"leave"`
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
	// WithinMS is the time after AtMS in which the call may start, where
	// events of the same moment come in any order.
	WithinMS int64 `json:"within_ms"`
}

func sameStart(want, got started) bool {
	late := got.AtMS - want.AtMS
	return want.Attempt == got.Attempt && want.Target == got.Target && abs(late) <= max(want.WithinMS, got.WithinMS)
}

func abs(n int64) int64 { return max(n, -n) }

func TestScenario(t *testing.T) {
	script.Run(t, "testdata/*.json", func(t *testing.T, data *scenario) {
		synctest.Test(t, func(t *testing.T) { data.play(t) })
	})
}

// world is what the node under test lives in.
type world struct {
	mutex   sync.Mutex
	begin   time.Time
	config  note.Config
	view    member.View
	calls   map[string]timedCall
	running int
	started []started
	handed  []string
}

func (d *scenario) play(t *testing.T) {
	w := &world{
		begin: time.Now(), config: note.Config{Revision: 1, Sections: d.Sections},
		view: member.NewView(member.VM{ID: "a", Attributes: member.Attributes{Ready: true}}), calls: make(map[string]timedCall),
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &Service{
		Self: "a", Config: w.currentConfig, View: w.currentView, Engine: w, Peers: w, Clock: ports.SystemClock{},
		Log: logrus.NewEntry(log), Metrics: metrics.NewSet(),
	}
	ctx, cancel := context.WithCancel(t.Context())
	r := &serviceRun{service: s, done: make(chan struct{})}
	go r.run(ctx)
	results := make([]result, len(d.Calls))
	var callers sync.WaitGroup
	for _, c := range d.Calls {
		w.calls[c.Attempt] = c
	}
	for i, c := range d.Calls {
		callers.Add(1)
		k := &callRun{service: s, call: c, result: &results[i], done: &callers}
		go k.run()
	}
	for _, c := range d.Changes {
		time.Sleep(time.Until(w.begin.Add(time.Duration(c.AtMS) * time.Millisecond))) // In the test's own time.
		w.apply(s, c)
	}
	callers.Wait()
	cancel()
	<-r.done
	_ = s.Close()
	if diff := cmp.Diff(d.Results, results); diff != "" {
		t.Errorf("results (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(d.Started, w.started, cmp.Comparer(sameStart)); diff != "" {
		t.Errorf("started (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(d.Handed, w.handed); diff != "" {
		t.Errorf("handed (-want +got):\n%s", diff)
	}
}

func (w *world) apply(s *Service, c change) {
	w.mutex.Lock()
	if c.Doubt != nil {
		w.view.Unconfirmed = *c.Doubt
	}
	if c.Epoch > 0 {
		w.view.Epoch = c.Epoch
	}
	if c.Domain != nil {
		sections := w.config.Sections
		sections.Domains = map[string]note.FailureDomain{"north": *c.Domain}
		w.config = w.config.WithSections(sections).WithRevision(w.config.Revision+1, "n")
	}
	if c.Joins != "" {
		ready := member.Attributes{Ready: true}
		w.view = member.NewView(member.VM{ID: "a", Attributes: ready}, member.VM{ID: c.Joins, Attributes: ready})
	}
	w.mutex.Unlock()
	if c.Leave {
		s.Leave()
	}
	s.Changed()
}

func (w *world) currentConfig() note.Config {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.config
}

func (w *world) currentView() member.View {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.view
}

// Do plays a call on a target.
func (w *world) Do(ctx context.Context, call engine.Call, _ func(engine.Chunk)) (engine.Answer, error) {
	w.mutex.Lock()
	w.started = append(w.started, started{Attempt: call.Attempt, Target: call.Target, AtMS: time.Since(w.begin).Milliseconds()})
	c := w.calls[call.Attempt]
	w.running++
	w.mutex.Unlock()
	defer w.end()
	select {
	case <-ctx.Done():
		return engine.Answer{}, &engine.Failure{Fault: fault.New(fault.Canceled, fault.MayHaveRun, "canceled"), Cause: engine.Abandoned}
	case <-time.After(time.Duration(c.TakesMS) * time.Millisecond):
	}
	if c.Cause != "" {
		cause, err := engine.CauseString(c.Cause)
		return engine.Answer{}, &engine.Failure{Fault: fault.New(fault.ConnectionLost, fault.MayHaveRun, "lost %v", err), Cause: cause}
	}
	return engine.Answer{Output: []byte(`"done"`)}, nil
}

func (w *world) end() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.running--
}

// Load reports what runs.
func (w *world) Load(context.Context, string, string) (engine.LoadReport, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return engine.LoadReport{Incarnation: 1, Running: w.running}, nil
}

// CacheEvents reports nothing.
func (w *world) CacheEvents(context.Context, string, string, int64) (engine.CacheEvents, error) {
	return engine.CacheEvents{}, nil
}

// Call takes handovers.
func (w *world) Call(_ context.Context, vm, method string, params, _ any) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if request, ok := params.(HandoverRequest); ok && method == MethodHandover {
		w.handed = append(w.handed, request.State.Pool+" to "+vm)
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
	done    *sync.WaitGroup
}

func (k *callRun) run() {
	defer k.done.Done()
	time.Sleep(time.Duration(k.call.AtMS) * time.Millisecond) // In the test's own time.
	ctx := context.Background()
	if k.call.LeavesMS > 0 {
		limited, cancel := context.WithTimeout(ctx, time.Duration(k.call.LeavesMS)*time.Millisecond)
		defer cancel()
		ctx = limited
	}
	answer := k.service.Execute(ctx, StageCall{Pool: k.call.Pool, Call: pool.Call{
		Attempt: k.call.Attempt, Account: "x", Class: "quick", Idempotent: k.call.Repeatable,
		Deadline: time.Now().Add(time.Duration(k.call.DeadlineMS) * time.Millisecond),
	}}, nil)
	k.result.Target = answer.Target
	if answer.Fault != nil {
		k.result.Kind, k.result.Verdict = answer.Fault.Kind.String(), answer.Fault.Verdict.String()
	}
}
