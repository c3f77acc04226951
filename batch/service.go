package batch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/member"
	"bergamotworks/ports"
	"bergamotworks/site"
)

// The methods that nodes call on each other.
const (
	MethodSubmit  = "batch.submit"
	MethodRelease = "batch.release"
)

const (
	tickInterval   = 50 * time.Millisecond
	firstWait      = 10 * time.Millisecond  // Pause before work goes to the next owner.
	resubmitWait   = 100 * time.Millisecond // Pause before it is submitted once more.
	releaseTimeout = 500 * time.Millisecond
	callSlack      = 2 * time.Second // Time that a call may take beyond the usual.
	ownerPrefix    = "batch/"
	// doubtTime is how long work waits for a membership in doubt before this VM
	// gathers it itself. Many owners at once would fill the targets' queues.
	doubtTime = 1 * time.Second
	// youngTime is the time after a start in which a membership that has changed
	// within calmTime is still being learned. When a whole fleet starts, each VM
	// would gather for itself otherwise.
	youngTime = 2500 * time.Millisecond
	calmTime  = 250 * time.Millisecond
)

// Caller calls methods of other nodes.
type Caller interface {
	Call(ctx context.Context, vm, method string, params, result any) error
}

// Service gathers pieces. The exported fields are set before [Service.Run].
type Service struct {
	Self      string
	Config    func() site.Config
	Directory func() site.Directory
	View      func() member.View
	Runner    Runner
	Peers     Caller
	Clock     ports.Clock
	Log       *logrus.Entry
	Metrics   *metrics.Set

	mutex   sync.Mutex
	tables  map[string]*gathered
	waits   map[string]toldWait
	sent    map[*sent]struct{}
	doubted time.Time // Time since which the membership is in doubt; zero if it is not.
	begun   time.Time // Start of the run.
	version uint64    // Of the membership.
	moved   time.Time // Time at which that version was first seen.
	leaving bool
	running sync.WaitGroup
	base    context.Context
	stop    context.CancelFunc
	once    sync.Once
}

// gathered is the table of one service with those who wait for its groups.
type gathered struct {
	name    string
	table   Table
	targets []site.Target // As the table was last given.
	waiters map[uint64]chan GroupDone
}

// submission is [Work] as it travels between nodes; clocks differ, so times
// are told as what is left.
type submission struct {
	Work
	TargetLeft   time.Duration `json:"target_left_ns"`
	DeadlineLeft time.Duration `json:"deadline_left_ns"`
}

type handles struct {
	Service string   `json:"service,omitempty"`
	Handles []string `json:"handles"`
	// Wait is the time until work that is entered now begins.
	Wait time.Duration `json:"wait_ns,omitempty"`
	// Owner is the VM that gathers as far as the one that was asked knows; empty
	// if it is itself. Then nothing was done.
	Owner string `json:"owner,omitempty"`
}

// toldWait is the wait at a service as its owner told it.
type toldWait struct {
	wait time.Duration
	at   time.Time
}

func (s *Service) init() {
	s.tables = make(map[string]*gathered)
	s.waits = make(map[string]toldWait)
	s.sent = make(map[*sent]struct{})
	s.base, s.stop = context.WithCancel(context.Background())
}

// Run drops overdue work until the context ends.
func (s *Service) Run(ctx context.Context) error {
	s.once.Do(s.init)
	s.mutex.Lock()
	s.begun = s.Clock.Now()
	s.mutex.Unlock()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.Clock.After(tickInterval):
			s.tick()
		}
	}
}

// Close ends the calls in progress and waits for them.
func (s *Service) Close() error {
	s.once.Do(s.init)
	s.stop()
	s.running.Wait()
	return nil
}

// Leave hands the waiting work back, so that it goes to the next owners.
func (s *Service) Leave() {
	s.once.Do(s.init)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leaving = true
	for _, g := range s.tables {
		g.table.Abandon()
		s.perform(g)
	}
}

// HandleSubmit gathers work of another node.
func (s *Service) HandleSubmit(ctx context.Context, p submission) (handles, error) {
	s.once.Do(s.init)
	if vm, ok := s.View().Owner(ownerPrefix + p.Service); ok && vm.ID != s.Self {
		return handles{Owner: vm.ID}, nil
	}
	now := s.Clock.Now()
	p.Target = now.Add(p.TargetLeft)
	p.Deadline = now.Add(p.DeadlineLeft)
	made, err := s.gather(ctx, p.Work)
	return handles{Handles: made, Wait: s.ownWait(p.Service)}, err
}

// ownWait returns the wait at a service that this VM gathers for.
func (s *Service) ownWait(service string) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	g := s.tables[service]
	if g == nil {
		return 0
	}
	return g.table.EstimateWait(s.Clock.Now())
}

// gather enters work into the own table and waits for its results.
func (s *Service) gather(ctx context.Context, w Work) ([]string, error) {
	g, id, wait, err := s.enter(w)
	if err != nil {
		return nil, err
	}
	select {
	case d := <-wait:
		return d.Handles, d.Err
	case <-ctx.Done():
		s.cancel(g, id)
		return nil, fault.New(fault.Canceled, fault.NotRun, "nobody waits for pieces of %s", w.Service)
	}
}

func (s *Service) enter(w Work) (*gathered, uint64, chan GroupDone, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leaving {
		return nil, 0, nil, fault.New(fault.Conflict, fault.NotRun, "this VM is leaving")
	}
	g, err := s.gatheredFor(w.Service)
	if err != nil {
		return nil, 0, nil, err
	}
	s.refresh(g)
	id, err := g.table.Submit(s.Clock.Now(), w)
	if err != nil {
		s.perform(g)
		return nil, 0, nil, err
	}
	wait := make(chan GroupDone, 1)
	g.waiters[id] = wait
	s.perform(g)
	return g, id, wait, nil
}

func (s *Service) gatheredFor(name string) (*gathered, error) {
	if g := s.tables[name]; g != nil {
		return g, nil
	}
	service, ok := s.Config().Service(name)
	if !ok || service.Batch == nil {
		return nil, fault.New(fault.NotFound, fault.NotRun, "service %s takes no pieces", name)
	}
	g := &gathered{name: name, table: Table{Limits: *service.Batch}, waiters: make(map[uint64]chan GroupDone)}
	s.tables[name] = g
	s.Log.WithField("service", name).Info("gathering pieces begins")
	return g, nil
}

// refresh brings the targets and limits up to date.
func (s *Service) refresh(g *gathered) {
	if service, ok := s.Config().Service(g.name); ok && service.Batch != nil {
		g.table.Limits = *service.Batch
	}
	usable := s.Directory().Usable(g.name)
	if slices.Equal(usable, g.targets) {
		return
	}
	g.targets = usable
	g.table.SetTargets(s.Clock.Now(), usable)
}

func (s *Service) cancel(g *gathered, id uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(g.waiters, id)
	g.table.Cancel(s.Clock.Now(), id)
	s.perform(g)
}

func (s *Service) tick() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.Clock.Now()
	if v := s.View().Version; v != s.version {
		s.version, s.moved = v, now
	}
	s.recall()
	for _, g := range s.tables {
		s.refresh(g)
		if vm, ok := s.View().Owner(ownerPrefix + g.name); ok && vm.ID != s.Self && len(g.waiters) > 0 {
			g.table.Abandon()
		}
		g.table.Tick(now)
		s.perform(g)
	}
}

// Release gives up results of a service that have been read.
func (s *Service) Release(service string, list []string) {
	if len(list) == 0 {
		return
	}
	s.once.Do(s.init)
	vm, ok := s.View().Owner(ownerPrefix + service)
	if !ok || vm.ID == s.Self {
		s.release(service, list)
		return
	}
	s.running.Add(1)
	r := releasing{service: s, vm: vm.ID, params: handles{Service: service, Handles: list}}
	go r.run()
}

// HandleRelease gives up results on behalf of another node.
func (s *Service) HandleRelease(_ context.Context, p handles) (struct{}, error) {
	s.once.Do(s.init)
	s.release(p.Service, p.Handles)
	return struct{}{}, nil
}

func (s *Service) release(service string, list []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if g := s.tables[service]; g != nil {
		g.table.Release(list)
		s.perform(g)
	}
}

// releasing tells the owner of a service that results have been read.
type releasing struct {
	service *Service
	vm      string
	params  handles
}

func (r releasing) run() {
	defer r.service.running.Done()
	ctx, cancel := context.WithTimeout(r.service.base, releaseTimeout)
	defer cancel()
	var answer struct{}
	err := r.service.Peers.Call(ctx, r.vm, MethodRelease, r.params, &answer)
	if err == nil {
		return
	}
	r.service.Log.WithFields(logrus.Fields{"peer": r.vm, "service": r.params.Service, "handles": len(r.params.Handles), "error": err.Error()}).Warn("results are given up without their owner")
	r.service.freeAt(r.params.Handles)
}

// freeAt gives up results at their makers, since the owner of their service does
// not answer. The next owner finds the memory free when it measures.
func (s *Service) freeAt(list []string) {
	directory := s.Directory()
	byMaker := make(map[string]ReleaseResults)
	for _, h := range list {
		g, ok := directory.FindByAddress(TargetAddress(h))
		if !ok {
			continue
		}
		f := byMaker[g.ID]
		byMaker[g.ID] = ReleaseResults{Target: g, Handles: append(f.Handles, h)}
	}
	for _, f := range byMaker {
		s.running.Add(1)
		go freeing{service: s, free: f}.run()
	}
}
