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
	tickInterval  = 50 * time.Millisecond
	seedInterval  = 10 * time.Second
	mailboxLimit  = 4096 // Datagrams that wait at most; later ones are dropped.
	leavePeriods  = 4    // Periods in which the news of a planned stop spreads.
	datagramLimit = 2048 // Bytes.
)

// Seeds is the platform's lagging list of VMs.
type Seeds interface {
	// Addresses returns the gossip addresses of VMs that may be live.
	Addresses(ctx context.Context) ([]string, error)
}

// SeedList is a fixed list of gossip addresses.
type SeedList []string

// Addresses returns the list.
func (s SeedList) Addresses(context.Context) ([]string, error) { return s, nil }

// Service runs a [Table] over datagrams. Its exported fields are set before
// Run. Self.Gossip is the address that other VMs use, and the one that is
// listened on unless Listen is set. A zero Self.Incarnation becomes the start
// time in milliseconds.
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
	OnAnnouncement func(Announcement) // Called for each rumour that is new; may be nil.
	// Revisions is called when a VM has a higher configuration revision in
	// force than was heard of before; may be nil.
	OnNewerRevision func(from VM, revision int64)

	setup       sync.Once
	wake        chan struct{}
	stop        chan struct{}
	stopOnce    sync.Once
	finished    chan struct{}
	started     atomic.Bool
	mutex       sync.Mutex
	mailbox     []Event
	subscribers []func(View)
	current     atomic.Pointer[View]
	stepped     atomic.Int64 // Time of the last step in nanoseconds.
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

// Run keeps the membership until the context ends or Close is called. It
// returns an error if the socket cannot be opened.
func (s *Service) Run(ctx context.Context) error {
	s.prepare()
	s.started.Store(true)
	defer close(s.finished)
	conn, err := s.Network.ListenPacket(s.listenAddress())
	if err != nil {
		return trace.Wrap(err, "listen for membership")
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

// Close stops Run and waits for it. After Leave it announces first that the
// VM has stopped.
func (s *Service) Close() error {
	s.prepare()
	s.stopOnce.Do(func() { close(s.stop) })
	if s.started.Load() {
		<-s.finished
	}
	return nil
}

// Leave announces a planned stop and returns when the news has had time to
// spread. The VM goes on answering probes until Close.
func (s *Service) Leave(ctx context.Context) error {
	s.post(LeaveStarted{})
	select {
	case <-s.Clock.After(leavePeriods * s.Settings.ProbeInterval):
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// SetAttributes replaces what the VM tells about itself.
func (s *Service) SetAttributes(attributes Attributes) {
	s.post(AttributesChanged{Attributes: attributes})
}

// Broadcast spreads a rumour to every VM.
func (s *Service) Broadcast(rumor Announcement) { s.post(BroadcastRequested{Announcement: rumor}) }

// Subscribe has the function called with each view whose members, states,
// readiness or doubts changed, one call at a time.
func (s *Service) Subscribe(subscriber func(View)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.subscribers = append(s.subscribers, subscriber)
}

// View returns the present membership. Before the first step, and while the
// process has just woken from a pause, the view is in doubt.
func (s *Service) View() View {
	current := s.current.Load()
	if current == nil {
		return View{Self: s.Self, Unconfirmed: true}
	}
	v := *current
	if s.Clock.Now().UnixNano()-s.stepped.Load() > int64(s.Settings.PauseThreshold) {
		v.Unconfirmed = true
	}
	return v
}

func (s *Service) post(event Event) {
	s.prepare()
	s.mutex.Lock()
	_, datagram := event.(DatagramReceived)
	if datagram && len(s.mailbox) >= mailboxLimit {
		s.mutex.Unlock()
		s.counters.dropped.Inc()
		return
	}
	s.mailbox = append(s.mailbox, event)
	s.mutex.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Service) loop(ctx context.Context, cancel context.CancelFunc) error {
	defer s.conn.Close() //nolint:errcheck // The socket has nothing to flush.
	defer cancel()
	table := s.table()
	s.step(table, Tick{})
	timer := s.Clock.After(tickInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.stop:
			s.finish(table)
			return nil
		case <-s.wake:
			s.drain(table)
		case <-timer:
			s.step(table, Tick{})
			timer = s.Clock.After(tickInterval)
		}
	}
}

func (s *Service) table() *Table {
	self := s.Self
	if self.Incarnation == 0 {
		self.Incarnation = uint64(s.Clock.Now().UnixMilli())
	}
	return &Table{Self: self, Settings: s.Settings, Random: s.Random}
}

// finish tells the others that a planned stop is complete.
func (s *Service) finish(table *Table) {
	s.drain(table)
	if table.Self.State == Leaving {
		s.step(table, LeaveCompleted{})
	}
}

func (s *Service) drain(table *Table) {
	s.mutex.Lock()
	events := s.mailbox
	s.mailbox = nil
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
	s.stepped.Store(now.UnixNano())
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
	s.report(*old, a.View)
	s.mutex.Lock()
	subscribers := s.subscribers
	s.mutex.Unlock()
	for _, call := range subscribers {
		call(a.View)
	}
}
