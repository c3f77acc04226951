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
	tickPeriod       = 500 * time.Millisecond
	storeCallTimeout = 2 * time.Second
	peerCallTimeout  = time.Second
	maxRecentImages  = 32
	maxInbox         = 1024
)

// Caller calls a method of another node. Package peer implements it.
type Caller interface {
	Call(ctx context.Context, vm string, method string, params, result any) error
}

// Members tells which VMs are alive; this one may be among them. Package member
// implements it.
type Members interface {
	Live() []string
}

// Service keeps the newest accepted configuration in force on one node.
// All exported fields are set before Run. Members and Peers may be nil on a node
// without peers, Metrics may be nil. Offer, CheckNote and History work without
// Run as well.
type Service struct {
	Self    string
	Store   ports.Store
	Peers   Caller
	Members Members
	Clock   ports.Clock
	Random  ports.Random
	Log     *logrus.Entry
	Metrics *metrics.Set

	current atomic.Pointer[image]
	ready   atomic.Bool
	heard   atomic.Int64 // Unix nanoseconds of the last answer of the store.

	installing  sync.Mutex // Held while a configuration comes into force.
	subscribers []func(note.Config)

	mutex   sync.Mutex // Guards the fields up to done.
	inbox   []event
	recent  []*image // By rising revision.
	history []HistoryEntry
	cancel  context.CancelFunc
	done    chan struct{}

	wakeOnce sync.Once
	wake     chan struct{}
	state    *state // Of Run alone.
	tasks    sync.WaitGroup
	watch    context.CancelFunc
}

// Current returns the configuration in force; its revision is zero before the
// first one is known.
func (s *Service) Current() note.Config {
	if i := s.current.Load(); i != nil {
		return i.config
	}
	return note.Config{}
}

// Ready reports whether the node may take work: a configuration is in force,
// and the start has asked the store and some peers for a newer one.
func (s *Service) Ready() bool { return s.ready.Load() }

// LastStoreRead returns when the store last answered a read of the head.
func (s *Service) LastStoreRead() time.Time {
	nanoseconds := s.heard.Load()
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds)
}

// Subscribe calls f with each configuration that comes into force from now on,
// in the order of their revisions, and with the present one if there is any.
// Calls do not overlap; f must neither block nor subscribe.
func (s *Service) Subscribe(f func(note.Config)) {
	s.installing.Lock()
	defer s.installing.Unlock()
	s.subscribers = append(s.subscribers, f)
	if i := s.current.Load(); i != nil {
		f(i.config)
	}
}

// ObserveRevision tells that a peer has a revision in force, as its heartbeat says.
func (s *Service) ObserveRevision(vm string, revision int64) {
	if revision > s.current.Load().revision() {
		s.post(learned{vm: vm, revision: revision})
	}
}

// Run spreads the configuration until the context ends or the service is closed.
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
		self:     s.Self,
		random:   s.Random,
		inForce:  s.current.Load().revision(),
		fetching: map[string]bool{},
		newest:   map[string]int64{},
	}
	s.gauges()
	s.loop(ctx)
	cancel()
	s.tasks.Wait()
	return nil
}

// Close ends Run and waits for it.
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
		s.handle(ctx, membersSeen{live: s.live()})
		for _, e := range s.take() {
			s.handle(ctx, e)
		}
		wait := min(tickPeriod, max(0, s.state.wake(s.Clock.Now())))
		select {
		case <-ctx.Done():
		case <-s.wakeup():
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
		watching, cancel := context.WithCancel(ctx)
		s.watch = cancel
		s.tasks.Go(watchTask{s, watching}.loop)
	case closeWatch:
		s.watch()
	case announce:
		for _, vm := range a.vms {
			s.tasks.Go(announceTask{s, ctx, vm}.run)
		}
	case restore:
		s.tasks.Go(restoreTask{s, ctx, a.modRevision}.run)
	}
}

// live returns the other VMs that are alive.
func (s *Service) live() []string {
	if s.Members == nil {
		return nil
	}
	vms := slices.Clone(s.Members.Live())
	return slices.DeleteFunc(vms, func(vm string) bool { return vm == s.Self })
}

// post hands an event to Run without waiting. News of peers that Run does not
// take are dropped, the next heartbeat repeats them.
func (s *Service) post(e event) {
	s.mutex.Lock()
	if _, news := e.(learned); !news || len(s.inbox) < maxInbox {
		s.inbox = append(s.inbox, e)
	}
	s.mutex.Unlock()
	select {
	case s.wakeup() <- struct{}{}:
	default:
	}
}

func (s *Service) take() []event {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	events := s.inbox
	s.inbox = nil
	return events
}

func (s *Service) wakeup() chan struct{} {
	s.wakeOnce.Do(func() { s.wake = make(chan struct{}, 1) })
	return s.wake
}

func (s *Service) gauges() {
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
