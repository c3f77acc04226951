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

// fakeEngine is an engine that keeps a list of what it was told.
type fakeEngine struct {
	refuses     bool
	fence       int64
	state       EngineState
	log         []string
	loads       []int64 // Milliseconds since the start.
	loseAnswer  int     // Answers to lose after the order has run.
	loseRequest int     // Orders to lose on the way.
	holdRequest int     // Orders to hold up on the way until deliver.
	held        []Command
}

// deliver lets the orders arrive that were held up. Their senders have given up.
func (e *fakeEngine) deliver(since time.Duration) {
	held := e.held
	e.held = nil
	for _, c := range held {
		_ = e.apply(c, since)
	}
}

func (e *fakeEngine) apply(c Command, since time.Duration) error {
	if e.loseRequest > 0 {
		e.loseRequest--
		return lost()
	}
	if e.holdRequest > 0 {
		e.holdRequest--
		e.held = append(e.held, c)
		return lost()
	}
	entry := fmt.Sprintf("%d %s %s %s", c.Fence, c.Kind, c.Subject, c.Version)
	if e.refuses && c.Fence <= e.fence {
		e.log = append(e.log, entry+" refused")
		return fault.New(fault.Conflict, fault.NotRun, "old fence")
	}
	e.fence = c.Fence
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
	if e.loseAnswer > 0 {
		e.loseAnswer--
		return lost()
	}
	return nil
}

func lost() error { return fault.New(fault.ConnectionLost, fault.MayHaveRun, "lost") }

// fleet is a set of engines and the processes that order them about.
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

// process is one node. A paused one stops right before it sends an order.
type process struct {
	*Service
	fleet  *fleet
	vm     string
	faults *store.Faults
	cancel context.CancelFunc
	paused chan struct{} // Closed on resumption; nil if not paused.
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

func (f *fleet) launch(vm string) {
	ctx, cancel := context.WithCancel(context.Background())
	p := f.prepare(vm)
	p.cancel = cancel
	f.tasks.Go(launched{p, ctx}.run)
}

// prepare returns a process that does not run yet.
func (f *fleet) prepare(vm string) *process {
	seed := uint64(len(f.processes) + 1)
	p := &process{fleet: f, vm: vm}
	p.faults = &store.Faults{Store: f.memory, Random: ports.NewSeededRandom(seed)}
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

type launched struct {
	process *process
	ctx     context.Context
}

func (l launched) run() {
	if err := l.process.Run(l.ctx); err != nil {
		l.process.fleet.t.Error(err)
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

// State reads the state of a fake engine.
func (p *process) State(_ context.Context, address string) (EngineState, error) {
	p.fleet.mutex.Lock()
	defer p.fleet.mutex.Unlock()
	return p.fleet.engines[address].state, nil
}

// Apply gives an order to a fake engine, as soon as the process is not paused.
// A paused process does not notice that its time has run out.
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
