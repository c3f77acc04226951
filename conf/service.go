package conf

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"bergamotworks/note"
	"bergamotworks/ports"
)

const (
	tickInterval     = 500 * time.Millisecond
	storeCallTimeout = 2 * time.Second
	peerCallTimeout  = time.Second
	maxRecentImages  = 32
	maxQueuedEvents  = 1024
)

// Caller calls a method of another node and decodes its response into result.
// Package peer implements it.
type Caller interface {
	Call(ctx context.Context, vm string, method string, params, result any) error
}

// Members lists the live VMs, which may include this one. Package member
// implements it.
type Members interface {
	Live() []string
}

// Service keeps the newest accepted configuration active on one node. All
// exported fields are set before Run. Members and Peers may be nil on a node
// without peers, Metrics may be nil. Submit, CheckNote and History can be used
// without Run.
type Service struct {
	Self    string
	Store   ports.Store
	Peers   Caller
	Members Members
	Clock   ports.Clock
	Random  ports.Random
	Log     *logrus.Entry
	Metrics *metrics.Set
	// CheckChange returns an error if a note must not change one configuration into
	// another although the result is valid. It may be nil.
	CheckChange func(ctx context.Context, before, after note.Config) error

	current       atomic.Pointer[image]
	ready         atomic.Bool
	lastStoreRead atomic.Int64 // Unix nanoseconds; zero before the first read.

	activationMutex sync.Mutex // Held while a configuration becomes active.
	subscribers     []func(note.Config)

	mutex   sync.Mutex // Guards the fields up to done.
	events  []event
	recent  []*image // In increasing order of revision.
	history []HistoryEntry
	cancel  context.CancelFunc
	done    chan struct{}

	wakeOnce sync.Once
	wake     chan struct{}
	state    *state // Used by Run only.
	tasks    sync.WaitGroup
	watch    context.CancelFunc
}

// Current returns the active configuration. Its revision is zero if there is
// none yet.
func (s *Service) Current() note.Config {
	if i := s.current.Load(); i != nil {
		return i.config
	}
	return note.Config{}
}

// Ready reports whether the node may accept work: a configuration is active,
// and the first read of the store and the fetches from random peers have ended,
// successfully or not.
func (s *Service) Ready() bool { return s.ready.Load() }

// LastStoreRead returns the time of the last successful read of the head, the
// zero time if there was none.
func (s *Service) LastStoreRead() time.Time {
	nanoseconds := s.lastStoreRead.Load()
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds)
}

// Subscribe calls f with the active configuration, if any, and with each one
// that becomes active later, in increasing order of revision. Calls do not
// overlap; f must neither block nor subscribe.
func (s *Service) Subscribe(f func(note.Config)) {
	s.activationMutex.Lock()
	defer s.activationMutex.Unlock()
	s.subscribers = append(s.subscribers, f)
	if i := s.current.Load(); i != nil {
		f(i.config)
	}
}

// ObserveRevision records the active revision that a peer reports in its
// membership attributes or in an announcement.
func (s *Service) ObserveRevision(vm string, revision int64) {
	if revision > s.current.Load().revision() {
		s.post(peerRevision{vm: vm, revision: revision})
	}
}

// Run reads, watches, fetches and announces the configuration until the context
// ends or Close is called. It returns nil.
func (s *Service) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	s.mutex.Lock()
	s.cancel = cancel
	s.done = done
	s.mutex.Unlock()
	s.state = &state{
		self:           s.Self,
		random:         s.Random,
		activeRevision: s.current.Load().revision(),
		fetching:       map[string]bool{},
		announced:      map[string]int64{},
	}
	s.registerMetrics()
	s.loop(ctx)
	cancel()
	s.tasks.Wait()
	return nil
}

// Close stops Run and waits for it to return.
func (s *Service) Close() error {
	s.mutex.Lock()
	cancel, done := s.cancel, s.done
	s.mutex.Unlock()
	if cancel == nil {
		return nil
	}
	cancel()
	<-done
	return nil
}

func (s *Service) loop(ctx context.Context) {
	for ctx.Err() == nil {
		s.handle(ctx, tick{live: s.livePeers()})
		for _, e := range s.takeEvents() {
			s.handle(ctx, e)
		}
		wait := min(tickInterval, max(0, s.state.untilNextStep(s.Clock.Now())))
		select {
		case <-ctx.Done():
		case <-s.wakeChannel():
		case <-s.Clock.After(wait):
		}
	}
}

func (s *Service) handle(ctx context.Context, e event) {
	for _, a := range s.state.step(s.Clock.Now(), e) {
		s.perform(ctx, a)
	}
	if s.state.ready() {
		s.ready.Store(true)
	}
}

func (s *Service) perform(ctx context.Context, a action) {
	switch a := a.(type) {
	case readStore:
		s.tasks.Go(readTask{s, ctx}.run)
	case fetchPeer:
		s.tasks.Go(fetchTask{s, ctx, a.vm}.run)
	case openWatch:
		watchCtx, cancel := context.WithCancel(ctx)
		s.watch = cancel
		s.tasks.Go(watchTask{s, watchCtx}.loop)
	case closeWatch:
		s.watch()
	case announce:
		for _, vm := range a.vms {
			s.tasks.Go(announceTask{s, ctx, vm}.run)
		}
	case restore:
		s.tasks.Go(restoreTask{s, ctx, a.unchanged}.run)
	}
}

// livePeers returns the live VMs other than this one.
func (s *Service) livePeers() []string {
	if s.Members == nil {
		return nil
	}
	vms := slices.Clone(s.Members.Live())
	return slices.DeleteFunc(vms, func(vm string) bool { return vm == s.Self })
}

// post enqueues an event for Run without blocking. A peer's revision is dropped
// if the queue is full, because it is observed again in the peer's membership
// attributes.
func (s *Service) post(e event) {
	s.mutex.Lock()
	if _, isRevision := e.(peerRevision); !isRevision || len(s.events) < maxQueuedEvents {
		s.events = append(s.events, e)
	}
	s.mutex.Unlock()
	select {
	case s.wakeChannel() <- struct{}{}:
	default:
	}
}

func (s *Service) takeEvents() []event {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	events := s.events
	s.events = nil
	return events
}

func (s *Service) wakeChannel() chan struct{} {
	s.wakeOnce.Do(func() { s.wake = make(chan struct{}, 1) })
	return s.wake
}

func (s *Service) registerMetrics() {
	if s.Metrics == nil {
		return
	}
	s.Metrics.GetOrCreateGauge("conf_revision", func() float64 {
		return float64(s.current.Load().revision())
	})
}

func (s *Service) count(name string) {
	if s.Metrics != nil {
		s.Metrics.GetOrCreateCounter(name).Inc()
	}
}
