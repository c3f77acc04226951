package member

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"bergamotworks/ports"
)

const (
	tickInterval       = 50 * time.Millisecond
	seedInterval       = 10 * time.Second
	maxQueuedEvents    = 4096 // Maximum number of queued events; above it datagrams are dropped.
	leaveIntervals     = 4    // Probe intervals that Leave waits for the announcement to propagate.
	receiveBufferBytes = 2048 // Longer datagrams are truncated.
)

// Seeds provides the platform's list of VMs, which may be out of date.
type Seeds interface {
	// Addresses returns the gossip addresses of VMs that may be running.
	Addresses(ctx context.Context) ([]string, error)
}

// SeedList is a fixed list of gossip addresses.
type SeedList []string

// Addresses returns the list itself and never fails.
func (s SeedList) Addresses(context.Context) ([]string, error) { return s, nil }

// Service runs a [Table] over UDP. Its exported fields are set before Run.
// Self.GossipAddress is the address that other VMs use, and the one to listen
// on unless Listen is set. A zero Self.Incarnation is replaced by the start
// time in milliseconds since the Unix epoch.
type Service struct {
	Self           VM
	Listen         string
	Seeds          Seeds
	Settings       Settings
	Network        ports.Network
	Clock          ports.Clock
	Random         ports.Random
	Log            *logrus.Entry
	Metrics        *metrics.Set
	OnAnnouncement func(Announcement) // Called for each new announcement; may be nil.
	// OnNewerRevision is called when a VM reports a higher active configuration
	// revision than any seen before; may be nil.
	OnNewerRevision func(from VM, revision int64)

	setup       sync.Once
	wake        chan struct{}
	stop        chan struct{}
	stopOnce    sync.Once
	finished    chan struct{}
	started     atomic.Bool
	mutex       sync.Mutex
	events      []Event
	subscribers []func(View)
	current     atomic.Pointer[View]
	lastStep    atomic.Int64 // Unix time of the last step in nanoseconds.
	conn        net.PacketConn
	counters    counters
}

func (s *Service) prepare() {
	s.setup.Do(func() {
		s.wake = make(chan struct{}, 1)
		s.stop = make(chan struct{})
		s.finished = make(chan struct{})
		s.Settings = s.Settings.withDefaults()
		s.counters = newCounters(s.Metrics, s)
	})
}

// Run maintains the membership until the context ends or Close is called. It
// returns an error if the socket cannot be opened. It may be called only once.
func (s *Service) Run(ctx context.Context) error {
	s.prepare()
	s.started.Store(true)
	defer close(s.finished)
	conn, err := s.Network.ListenPacket(s.listenAddress())
	if err != nil {
		return trace.Wrap(err, "listen on gossip address")
	}
	s.conn = conn
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.loop(ctx, cancel) })
	group.Go(s.loopReceive)
	group.Go(func() error { return s.loopSeeds(ctx) })
	return trace.Wrap(group.Wait())
}

func (s *Service) listenAddress() string {
	if s.Listen != "" {
		return s.Listen
	}
	return s.Self.GossipAddress
}

// Close stops Run and waits for it to return; if Run has not been called, it
// returns at once. After Leave it first announces that the shutdown of the VM is
// complete. It returns nil.
func (s *Service) Close() error {
	s.prepare()
	s.stopOnce.Do(func() { close(s.stop) })
	if s.started.Load() {
		<-s.finished
	}
	return nil
}

// Leave announces a planned shutdown and waits for leaveIntervals probe intervals,
// so that the announcement propagates. It returns an error if ctx ends first. The
// VM continues to respond to probes until Close.
func (s *Service) Leave(ctx context.Context) error {
	s.enqueue(LeaveStarted{})
	select {
	case <-s.Clock.After(leaveIntervals * s.Settings.ProbeInterval):
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// SetAttributes replaces the attributes that the VM sends to others.
func (s *Service) SetAttributes(attributes Attributes) {
	s.enqueue(AttributesChanged{Attributes: attributes})
}

// Broadcast gossips an announcement to every VM.
func (s *Service) Broadcast(announcement Announcement) {
	s.enqueue(BroadcastRequested{Announcement: announcement})
}

// Subscribe registers a function that is called with each view in which the
// members, their states or readiness, or the confirmation or isolation of this
// VM changed. Calls are sequential.
func (s *Service) Subscribe(subscriber func(View)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.subscribers = append(s.subscribers, subscriber)
}

// View returns the current membership. The view is unconfirmed before the first
// step, and if the last step is more than PauseThreshold ago because the
// process was paused.
func (s *Service) View() View {
	current := s.current.Load()
	if current == nil {
		return View{Self: s.Self, Unconfirmed: true}
	}
	v := *current
	if s.Clock.Now().UnixNano()-s.lastStep.Load() > int64(s.Settings.PauseThreshold) {
		v.Unconfirmed = true
	}
	return v
}

func (s *Service) enqueue(event Event) {
	s.prepare()
	s.mutex.Lock()
	_, datagram := event.(DatagramReceived)
	if datagram && len(s.events) >= maxQueuedEvents {
		s.mutex.Unlock()
		s.counters.dropped.Inc()
		return
	}
	s.events = append(s.events, event)
	s.mutex.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Service) loop(ctx context.Context, cancel context.CancelFunc) error {
	defer s.conn.Close() //nolint:errcheck // The socket has nothing to flush.
	defer cancel()
	table := s.newTable()
	s.step(table, Tick{})
	timer := s.Clock.After(tickInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.stop:
			s.announceLeft(table)
			return nil
		case <-s.wake:
			s.stepQueued(table)
		case <-timer:
			s.step(table, Tick{})
			timer = s.Clock.After(tickInterval)
		}
	}
}

func (s *Service) newTable() *Table {
	self := s.Self
	if self.Incarnation == 0 {
		self.Incarnation = uint64(s.Clock.Now().UnixMilli())
	}
	return &Table{Self: self, Settings: s.Settings, Random: s.Random}
}

// announceLeft announces that a planned shutdown is complete.
func (s *Service) announceLeft(table *Table) {
	s.stepQueued(table)
	if table.Self.State == Leaving {
		s.step(table, LeaveCompleted{})
	}
}

// stepQueued passes the queued events to the table.
func (s *Service) stepQueued(table *Table) {
	s.mutex.Lock()
	events := s.events
	s.events = nil
	s.mutex.Unlock()
	for _, e := range events {
		s.step(table, e)
	}
}

func (s *Service) step(table *Table, event Event) {
	now := s.Clock.Now()
	for _, a := range table.Step(now, event) {
		s.perform(a)
	}
	s.lastStep.Store(now.UnixNano())
}

func (s *Service) perform(action Action) {
	switch a := action.(type) {
	case Send:
		s.send(a)
	case Publish:
		s.publish(a)
	case NewerRevision:
		if s.OnNewerRevision != nil {
			s.OnNewerRevision(a.VM, a.Revision)
		}
	case Deliver:
		if s.OnAnnouncement != nil {
			s.OnAnnouncement(a.Announcement)
		}
	}
}

func (s *Service) publish(a Publish) {
	old := s.current.Swap(&a.View)
	if !a.MembersChanged {
		return
	}
	if old == nil {
		old = &View{Self: s.Self, Unconfirmed: true}
	}
	s.logChanges(*old, a.View)
	s.mutex.Lock()
	subscribers := s.subscribers
	s.mutex.Unlock()
	for _, subscriber := range subscribers {
		subscriber(a.View)
	}
}
