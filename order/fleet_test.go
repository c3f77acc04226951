package order

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/ports"
	"bergamotworks/store"
)

// fakeEngine is an engine that logs the orders it receives.
type fakeEngine struct {
	rejectsStale  bool
	fencingToken  int64
	state         EngineState
	log           []string
	loads         []int64 // Times of loads in milliseconds since the start.
	loseResponses int     // Number of responses to lose after the order has run.
	loseRequests  int     // Number of orders to lose before they arrive.
	holdRequests  int     // Number of orders to delay until deliver.
	held          []Command
}

// deliver applies the delayed orders, whose senders have already timed out.
func (e *fakeEngine) deliver(since time.Duration) {
	held := e.held
	e.held = nil
	for _, c := range held {
		_ = e.apply(c, since)
	}
}

func (e *fakeEngine) apply(c Command, since time.Duration) error {
	if e.loseRequests > 0 {
		e.loseRequests--
		return lostError()
	}
	if e.holdRequests > 0 {
		e.holdRequests--
		e.held = append(e.held, c)
		return lostError()
	}
	entry := fmt.Sprintf("%d %s %s %s", c.FencingToken, c.Kind, c.Subject, c.Version)
	if e.rejectsStale && c.FencingToken <= e.fencingToken {
		e.log = append(e.log, entry+" refused")
		return fault.New(fault.Conflict, fault.NotRun, "stale fencing token")
	}
	e.fencingToken = c.FencingToken
	e.log = append(e.log, entry)
	others := slices.DeleteFunc(slices.Clone(e.state.Adapters), func(name string) bool { return name == c.SubjectName() })
	switch c.Kind {
	case note.LoadAdapter:
		e.state.Adapters = slices.Concat(others, []string{c.SubjectName()})
	case note.UnloadAdapter:
		e.state.Adapters = others
	case note.LoadModel:
		e.state.Model = c.SubjectName()
	case note.ChangeRole:
		e.state.Role = c.SubjectName()
	}
	if c.LoadsWeights() {
		e.loads = append(e.loads, since.Milliseconds())
	}
	if e.loseResponses > 0 {
		e.loseResponses--
		return lostError()
	}
	return nil
}

func lostError() error { return fault.New(fault.ConnectionLost, fault.MayHaveRun, "lost") }

// fleet is a set of engines and of the processes that send them orders.
type fleet struct {
	t      *testing.T
	memory *store.Memory
	start  time.Time

	mutex     sync.Mutex
	config    note.Config
	owner     string
	engines   map[string]*fakeEngine // By address.
	processes map[string]*process
	tasks     sync.WaitGroup
}

// process is one node. A paused process blocks immediately before it sends an
// order.
type process struct {
	*Service
	fleet  *fleet
	vm     string
	faults *store.FaultInjector
	cancel context.CancelFunc
	paused chan struct{} // Closed by resume; nil if not paused.
}

func newFleet(t *testing.T) *fleet {
	return &fleet{
		t:         t,
		memory:    &store.Memory{},
		start:     time.Now(),
		engines:   map[string]*fakeEngine{},
		processes: map[string]*process{},
	}
}

func (f *fleet) startProcess(vm string) {
	ctx, cancel := context.WithCancel(context.Background())
	p := f.newProcess(vm)
	p.cancel = cancel
	f.tasks.Go(runningProcess{p, ctx}.run)
}

// newProcess returns a process that is not running yet.
func (f *fleet) newProcess(vm string) *process {
	seed := uint64(len(f.processes) + 1)
	p := &process{fleet: f, vm: vm}
	p.faults = &store.FaultInjector{Store: f.memory, Random: ports.NewSeededRandom(seed)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	p.Service = &Service{
		Self:    fmt.Sprintf("%s/%d", vm, seed),
		Store:   p.faults,
		Engine:  p,
		Clock:   ports.SystemClock{},
		Random:  ports.NewSeededRandom(seed),
		Log:     logrus.NewEntry(log),
		Metrics: metrics.NewSet(),
		Config:  p.current,
		Owns:    p.owns,
	}
	f.processes[vm] = p
	return p
}

type runningProcess struct {
	process *process
	ctx     context.Context
}

func (r runningProcess) run() {
	if err := r.process.Run(r.ctx); err != nil {
		r.process.fleet.t.Error(err)
	}
}

func (f *fleet) close() {
	for _, p := range f.processes {
		p.resume()
		p.cancel()
	}
	f.tasks.Wait()
}

func (p *process) current() note.Config {
	p.fleet.mutex.Lock()
	defer p.fleet.mutex.Unlock()
	return p.fleet.config
}

func (p *process) owns(string) bool {
	p.fleet.mutex.Lock()
	defer p.fleet.mutex.Unlock()
	return p.fleet.owner == p.vm || p.fleet.owner == "all"
}

func (p *process) pause() {
	p.fleet.mutex.Lock()
	defer p.fleet.mutex.Unlock()
	if p.paused == nil {
		p.paused = make(chan struct{})
	}
}

func (p *process) resume() {
	p.fleet.mutex.Lock()
	defer p.fleet.mutex.Unlock()
	if p.paused != nil {
		close(p.paused)
		p.paused = nil
	}
}

// State returns the state of a fake engine.
func (p *process) State(_ context.Context, address string) (EngineState, error) {
	p.fleet.mutex.Lock()
	defer p.fleet.mutex.Unlock()
	return p.fleet.engines[address].state, nil
}

// Apply sends an order to a fake engine once the process is not paused. It
// ignores its context, because a paused process does not notice that its
// deadline has passed.
func (p *process) Apply(_ context.Context, address string, command Command) error {
	p.fleet.mutex.Lock()
	paused := p.paused
	p.fleet.mutex.Unlock()
	if paused != nil {
		<-paused
	}
	time.Sleep(time.Millisecond)
	p.fleet.mutex.Lock()
	defer p.fleet.mutex.Unlock()
	return p.fleet.engines[address].apply(command, time.Since(p.fleet.start))
}
