package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"bergamotworks/engine"
	"bergamotworks/fault"
	"bergamotworks/gate"
	"bergamotworks/member"
	"bergamotworks/note"
	"bergamotworks/pool"
	"bergamotworks/ports"
)

// Engine calls targets.
type Engine interface {
	Do(ctx context.Context, call engine.Call, onChunk func(engine.Chunk)) (engine.Answer, error)
	Load(ctx context.Context, target, address string) (engine.LoadReport, error)
	CacheEvents(ctx context.Context, target, address string, since int64) (engine.CacheEvents, error)
}

// Caller calls methods of other nodes.
type Caller interface {
	Call(ctx context.Context, vm, method string, params, result any) error
}

// Service owns pools. The exported fields are set before [Service.Run].
type Service struct {
	Self    string
	Config  func() note.Config
	View    func() member.View
	Engine  Engine
	Peers   Caller
	Policy  pool.Policy
	Clock   ports.Clock
	Log     *logrus.Entry
	Metrics *metrics.Set

	mutex    sync.Mutex
	pools    map[string]*owned
	handed   map[string]pool.Handover // States that came before the ownership.
	leaving  bool
	config   note.Config
	changed  chan struct{} // Holds one signal at most.
	once     sync.Once
	running  gate.Gate
	stopping context.CancelFunc
	base     context.Context
}

const (
	tickInterval    = 25 * time.Millisecond
	pauseLimit      = 1 * time.Second        // Longer gaps between ticks count as a pause.
	resumeAfter     = 500 * time.Millisecond // Time in trust before a suspended pool goes on.
	pollInterval    = 500 * time.Millisecond
	pollPerTarget   = 300 * time.Millisecond // Bounds the polls of a node to 3.3 a second.
	handoverTimeout = 1 * time.Second
	lateLimit       = 10 * time.Second // Time after the deadline in which a late result is still taken.
)

func (s *Service) init() {
	s.pools = make(map[string]*owned)
	s.handed = make(map[string]pool.Handover)
	s.changed = make(chan struct{}, 1)
	s.base, s.stopping = context.WithCancel(context.Background())
}

// Run follows configuration and membership until the context ends.
func (s *Service) Run(ctx context.Context) error {
	s.once.Do(s.init)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.loop(ctx) })
	group.Go(func() error { return s.loopReports(ctx) })
	return group.Wait()
}

// Close waits for the calls in flight.
func (s *Service) Close() error {
	s.once.Do(s.init)
	s.stopping()
	s.running.Close()
	return nil
}

// Changed tells the service that the configuration or the membership changed.
func (s *Service) Changed() {
	s.once.Do(s.init)
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// loop applies changes and passes time to the pools.
func (s *Service) loop(ctx context.Context) error {
	s.assign()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.changed:
			s.assign()
		case <-s.Clock.After(tickInterval):
			s.tick()
		}
	}
}

func (s *Service) tick() {
	now := s.Clock.Now()
	view := s.View()
	for _, o := range s.list() {
		o.tick(now, view)
	}
}

func (s *Service) list() []*owned {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := make([]*owned, 0, len(s.pools))
	for _, o := range s.pools {
		list = append(list, o)
	}
	return list
}

// owns reports whether this node admits work to a pool.
func (s *Service) owns(view member.View, name string) bool {
	if s.Policy != pool.Owned {
		return true
	}
	vm, ok := view.Owner(name)
	return ok && vm.ID == s.Self
}

// assign creates the pools that this node has come to own, reconfigures those
// that it keeps and retires those that it has lost.
func (s *Service) assign() {
	s.mutex.Lock()
	if s.leaving {
		s.mutex.Unlock()
		return
	}
	now := s.Clock.Now()
	view := s.View()
	config := s.Config()
	fresh := config.Revision != s.config.Revision
	s.config = config
	mine := make(map[string]bool)
	for _, spec := range pool.Split(config) {
		if !s.owns(view, spec.Name) {
			continue
		}
		mine[spec.Name] = true
		s.ensurePool(now, spec, config, fresh, view)
	}
	lost := s.dropLost(mine)
	s.mutex.Unlock()
	s.retireAll(lost)
}

// ensurePool creates a pool that this node has come to own, or puts a fresh
// configuration in force on one that it keeps.
func (s *Service) ensurePool(now time.Time, spec pool.Spec, config note.Config, fresh bool, view member.View) {
	if o := s.pools[spec.Name]; o != nil {
		if fresh {
			o.step(now, pool.Configured{Config: config})
		}
		return
	}
	o := &owned{
		name:    spec.Name,
		clock:   s.Clock,
		pool:    &pool.Pool{Spec: spec, Config: config, Policy: s.Policy, Nodes: len(view.Live())},
		waiting: make(map[string]*waiter),
		feeds:   make(map[string]feed),
		ticked:  now,
		epoch:   view.Epoch,
	}
	s.pools[spec.Name] = o
	event := pool.TakenOver{}
	if state, ok := s.handed[spec.Name]; ok {
		event = pool.TakenOver{Planned: true, State: &state}
		delete(s.handed, spec.Name)
	}
	o.step(now, event)
	s.Log.WithFields(logrus.Fields{"pool": spec.Name, "planned": event.Planned}).Debug("pool taken over")
}

func (s *Service) dropLost(mine map[string]bool) []*owned {
	var lost []*owned
	for n, o := range s.pools {
		if !mine[n] {
			lost = append(lost, o)
			delete(s.pools, n)
		}
	}
	return lost
}

// retire refuses the waiting calls of a pool and hands its state over. Running
// calls end here.
func (s *Service) retire(o *owned) {
	now := s.Clock.Now()
	o.step(now, pool.Drained{})
	next, ok := s.successor(o.name)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(s.base, handoverTimeout)
	defer cancel()
	request := HandoverRequest{State: *o.handover(now)}
	var answer HandoverResponse
	if err := s.Peers.Call(ctx, next, MethodHandover, request, &answer); err != nil {
		s.Log.WithFields(logrus.Fields{"pool": o.name, "vm": next, "error": err.Error()}).Warn("pool not handed over")
	}
}

// successor returns the VM that owns the pool next after this one.
func (s *Service) successor(name string) (string, bool) {
	for _, vm := range s.View().Rank(name, 2) {
		if vm.ID != s.Self {
			return vm.ID, true
		}
	}
	return "", false
}

// Leave drains every pool and hands its state over. Call it before the
// departure is announced to the members.
func (s *Service) Leave() {
	s.once.Do(s.init)
	s.mutex.Lock()
	s.leaving = true
	s.mutex.Unlock()
	s.retireAll(s.list())
}

// retireAll retires pools side by side, since a successor that does not answer
// takes as long as handoverTimeout.
func (s *Service) retireAll(pools []*owned) {
	var group errgroup.Group
	for _, o := range pools {
		group.Go(func() error {
			s.retire(o)
			return nil
		})
	}
	_ = group.Wait()
}

// Drain waits until no call is in flight, or until the context ends.
func (s *Service) Drain(ctx context.Context) error {
	for s.running.Count() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.Clock.After(tickInterval):
		}
	}
	return nil
}

// HandleHandover takes the state of a pool from its previous owner.
func (s *Service) HandleHandover(_ context.Context, request HandoverRequest) (HandoverResponse, error) {
	s.once.Do(s.init)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	name := request.State.Pool
	if o := s.pools[name]; o != nil {
		o.step(s.Clock.Now(), pool.TakenOver{Planned: true, State: &request.State})
		return HandoverResponse{}, nil
	}
	if s.leaving {
		return HandoverResponse{}, fault.New(fault.Unavailable, fault.NotRun, "VM %s leaves", s.Self)
	}
	s.handed[name] = request.State
	return HandoverResponse{}, nil
}

// OwnsTarget reports whether this node admits work to a target.
func (s *Service) OwnsTarget(name string) bool {
	s.once.Do(s.init)
	for _, o := range s.list() {
		if slices.Contains(o.spec().Targets, name) {
			return true
		}
	}
	return false
}
