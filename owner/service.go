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

// Engine calls targets. Package engine implements it.
type Engine interface {
	Do(ctx context.Context, call engine.Call, onChunk func(engine.Chunk)) (engine.Response, error)
	Load(ctx context.Context, target, address string) (engine.LoadReport, error)
	CacheEvents(ctx context.Context, target, address string, since int64) (engine.CacheEvents, error)
}

// Caller calls methods of peers.
type Caller interface {
	Call(ctx context.Context, vm, method string, params, result any) error
}

// Service runs the pools that this node owns. Set the exported fields before
// [Service.Run].
type Service struct {
	Self   string
	Config func() note.Config
	View   func() member.View
	Engine Engine
	Peers  Caller
	Policy pool.Policy
	// Allows reports whether the version of a target of a service may get a call now; nil
	// means that every version may. It is asked immediately before a call is sent.
	Allows  func(service, target string) bool
	Clock   ports.Clock
	Log     *logrus.Entry
	Metrics *metrics.Set

	mutex      sync.Mutex
	pools      map[string]*ownedPool
	handovers  map[string]pool.Handover // States received before this node became the owner, by pool.
	leaving    bool
	config     note.Config
	changed    chan struct{} // Buffered: holds at most one pending signal.
	once       sync.Once
	inFlight   gate.Gate
	cancelBase context.CancelFunc
	base       context.Context // Of handovers; canceled by Close.
}

const (
	tickInterval   = 25 * time.Millisecond
	pauseThreshold = 1 * time.Second        // Time since the last tick from which the process counts as paused.
	resumeAfter    = 500 * time.Millisecond // Time of confirmed membership before a suspended pool resumes.
	pollInterval   = 500 * time.Millisecond // Minimum time between two rounds of polls, and timeout of one poll.
	// pollPerTarget is the minimum time between two rounds of polls for each target
	// polled, so that a node polls the load of at most 3.3 targets per second. Reads
	// of cache events do not count.
	pollPerTarget   = 300 * time.Millisecond
	handoverTimeout = 1 * time.Second
	lateResultGrace = 10 * time.Second // Time after the deadline in which a late result of a non-idempotent call is accepted.
)

func (s *Service) init() {
	s.pools = make(map[string]*ownedPool)
	s.handovers = make(map[string]pool.Handover)
	s.changed = make(chan struct{}, 1)
	s.base, s.cancelBase = context.WithCancel(context.Background())
}

// Run applies changes of configuration and membership until ctx ends. It returns
// nil.
func (s *Service) Run(ctx context.Context) error {
	s.once.Do(s.init)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.loop(ctx) })
	group.Go(func() error { return s.loopPolls(ctx) })
	return group.Wait()
}

// Close cancels handovers and waits for the calls in flight. It returns nil.
func (s *Service) Close() error {
	s.once.Do(s.init)
	s.cancelBase()
	s.inFlight.Close()
	return nil
}

// Changed notifies the service that the configuration or the membership has
// changed. It does not block.
func (s *Service) Changed() {
	s.once.Do(s.init)
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// loop applies changes and ticks the pools.
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

func (s *Service) list() []*ownedPool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := make([]*ownedPool, 0, len(s.pools))
	for _, o := range s.pools {
		list = append(list, o)
	}
	return list
}

// owns reports whether this node runs a pool. Under other policies than
// pool.Owned, each node runs every pool.
func (s *Service) owns(view member.View, name string) bool {
	if s.Policy != pool.Owned {
		return true
	}
	vm, ok := view.Owner(name)
	return ok && vm.ID == s.Self
}

// assign creates the pools of which this node has become the owner, reconfigures
// those that it keeps and retires those that it no longer owns.
func (s *Service) assign() {
	s.mutex.Lock()
	if s.leaving {
		s.mutex.Unlock()
		return
	}
	now := s.Clock.Now()
	view := s.View()
	config := s.Config()
	changed := config.Revision != s.config.Revision
	s.config = config
	owned := make(map[string]bool)
	for _, spec := range pool.Split(config) {
		if !s.owns(view, spec.Name) {
			continue
		}
		owned[spec.Name] = true
		s.ensurePool(now, spec, config, changed, view)
	}
	lost := s.removeLost(owned)
	s.mutex.Unlock()
	s.retireAll(lost)
}

// ensurePool creates a pool of which this node has become the owner, or applies a
// changed configuration to one that it already owns.
func (s *Service) ensurePool(now time.Time, spec pool.Spec, config note.Config, changed bool, view member.View) {
	if o := s.pools[spec.Name]; o != nil {
		if changed {
			o.step(now, pool.Configured{Config: config})
		}
		return
	}
	o := &ownedPool{
		name:         spec.Name,
		clock:        s.Clock,
		pool:         &pool.Pool{Spec: spec, Config: config, Policy: s.Policy, Nodes: len(view.Live())},
		pending:      make(map[string]*pendingCall),
		cacheCursors: make(map[string]cacheCursor),
		lastTick:     now,
		epoch:        view.Epoch,
	}
	s.pools[spec.Name] = o
	event := pool.TakenOver{}
	if state, ok := s.handovers[spec.Name]; ok {
		event = pool.TakenOver{Planned: true, State: &state}
		delete(s.handovers, spec.Name)
	}
	o.step(now, event)
	s.Log.WithFields(logrus.Fields{"pool": spec.Name, "planned": event.Planned}).Debug("became owner of pool")
}

// removeLost removes and returns the pools that this node no longer owns.
func (s *Service) removeLost(owned map[string]bool) []*ownedPool {
	var lost []*ownedPool
	for n, o := range s.pools {
		if !owned[n] {
			lost = append(lost, o)
			delete(s.pools, n)
		}
	}
	return lost
}

// retire rejects the waiting calls of a pool and hands its state over to the next
// owner. Running calls finish on this node.
func (s *Service) retire(o *ownedPool) {
	now := s.Clock.Now()
	o.step(now, pool.Drained{})
	next, ok := s.successor(o.name)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(s.base, handoverTimeout)
	defer cancel()
	request := HandoverRequest{State: *o.handover(now)}
	var response HandoverResponse
	if err := s.Peers.Call(ctx, next, MethodHandover, request, &response); err != nil {
		s.Log.WithFields(logrus.Fields{"pool": o.name, "vm": next, "error": err.Error()}).Warn("pool handover failed")
	}
}

// successor returns the ID of the VM that is next in line to own a pool, if any.
func (s *Service) successor(name string) (string, bool) {
	for _, vm := range s.View().Rank(name, 2) {
		if vm.ID != s.Self {
			return vm.ID, true
		}
	}
	return "", false
}

// Leave rejects the waiting calls of every pool and hands its state over. It must
// be called before the planned shutdown is announced to the members. Running calls
// continue; see [Service.Drain].
func (s *Service) Leave() {
	s.once.Do(s.init)
	s.mutex.Lock()
	s.leaving = true
	s.mutex.Unlock()
	s.retireAll(s.list())
}

// retireAll retires pools concurrently, since a successor that does not respond
// takes up to handoverTimeout.
func (s *Service) retireAll(pools []*ownedPool) {
	var group errgroup.Group
	for _, o := range pools {
		group.Go(func() error {
			s.retire(o)
			return nil
		})
	}
	_ = group.Wait()
}

// Drain waits until no call is in flight. Call it after [Service.Leave]. It returns
// the error of ctx if that ends first.
func (s *Service) Drain(ctx context.Context) error {
	for s.inFlight.Count() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.Clock.After(tickInterval):
		}
	}
	return nil
}

// HandleHandover serves [MethodHandover]. It applies the state of a pool sent by
// its previous owner, or keeps it until this node becomes the owner.
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
	s.handovers[name] = request.State
	return HandoverResponse{}, nil
}

// OwnsTarget reports whether a target belongs to a pool that this node owns.
func (s *Service) OwnsTarget(name string) bool {
	s.once.Do(s.init)
	for _, o := range s.list() {
		if slices.Contains(o.spec().Targets, name) {
			return true
		}
	}
	return false
}
