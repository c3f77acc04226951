package launch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/member"
	"bergamotworks/note"
	"bergamotworks/ports"
	"bergamotworks/site"
)

// MethodFetch is the method by which a node asks another one for the orders.
const MethodFetch = "launch.fetch"

const (
	// readers is the number of nodes that read the store periodically on behalf of all, so
	// that the load of the store does not grow with the number of nodes.
	readers = 3
	// readInterval is the time between two reads of such a node, and fetchInterval that
	// between two calls of any other node to one of them.
	readInterval  = 500 * time.Millisecond
	fetchInterval = 5 * time.Second
	readTimeout   = time.Second
	// startTimeout is how long a node that starts waits for the orders before it serves
	// without them.
	startTimeout = 2 * time.Second
	// restoreTimeout is how long a read of older orders counts as stale and is ignored.
	// After that the store is assumed to have lost changes, and its orders are valid.
	restoreTimeout   = 10 * time.Second
	announcementTTL  = 30 * time.Second
	announcementKind = "rollout_orders"
	readersKey       = "rollout/orders"
)

// Caller calls methods of other nodes.
type Caller interface {
	Call(ctx context.Context, vm, method string, params, result any) error
}

// Service keeps the orders and their states current on one node, and writes them. The
// exported fields are set before [Service.Run].
type Service struct {
	Self      string // ID of this VM.
	Store     ports.Store
	Peers     Caller
	View      func() member.View
	Broadcast func(member.Announcement)
	Config    func() note.Config // The active configuration.
	Clock     ports.Clock
	Log       *logrus.Entry
	Metrics   *metrics.Set

	once    sync.Once
	wake    chan struct{}
	started time.Time

	mutex       sync.Mutex // Guards the fields below.
	current     Snapshot
	readAt      time.Time               // Time at which the store held the orders; zero before the first read.
	directoryAt time.Time               // Time at which the active configuration became active here.
	versions    map[serviceVersion]bool // Versions with targets in the active configuration.
	urgent      bool                    // The next read must be of the store.
}

// serviceVersion is a version of a service that has targets.
type serviceVersion struct{ service, version string }

// Snapshot holds the orders at one revision of the store. It is the response of MethodFetch.
type Snapshot struct {
	Rollouts []site.Rollout `json:"rollouts"`
	Revision int64          `json:"revision"`
	Age      time.Duration  `json:"age_ns"` // Time since the store held them.
}

// FetchRequest asks for the orders.
type FetchRequest struct{}

func (s *Service) init() {
	s.wake = make(chan struct{}, 1)
	s.started = s.Clock.Now()
}

// Run reads the orders until the context ends.
func (s *Service) Run(ctx context.Context) error {
	s.once.Do(s.init)
	for {
		s.refresh(ctx)
		interval := fetchInterval
		if s.isReader() {
			interval = readInterval
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case <-s.Clock.After(interval):
		}
	}
}

// Rollouts returns the orders with their states, sorted by service. The caller must not
// modify the slice.
func (s *Service) Rollouts() []site.Rollout {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.current.Rollouts
}

// AsOf returns the times at which the store is known to have held the orders and the active
// configuration, by this node's clock; zero if it has none yet.
func (s *Service) AsOf() (orders, configuration time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.readAt, s.directoryAt
}

// Ready reports whether the node may serve: it knows the orders, or has not got them within
// startTimeout of its start.
func (s *Service) Ready() bool {
	s.once.Do(s.init)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.readAt.IsZero() || s.Clock.Now().Sub(s.started) >= startTimeout
}

// ConfigChanged must be called with a configuration that becomes active, before its targets
// are used. If a service gets a further version, the orders are read from the store at
// once, since they may limit what this version gets.
func (s *Service) ConfigChanged(config note.Config) {
	s.once.Do(s.init)
	versions := make(map[serviceVersion]bool)
	added := false
	s.mutex.Lock()
	for _, t := range config.Sections.Targets {
		v := serviceVersion{service: t.Service, version: t.Version}
		versions[v] = true
		added = added || !s.versions[v]
	}
	s.versions, s.directoryAt = versions, s.Clock.Now()
	s.mutex.Unlock()
	if added {
		s.requestRead()
	}
}

// ObserveAnnouncement reads the orders if another node announces newer ones. It ignores
// announcements of another kind, and is allowed on a nil Service.
func (s *Service) ObserveAnnouncement(a member.Announcement) {
	if s == nil || a.Kind != announcementKind {
		return
	}
	if a.Value > contentRevision(s.Rollouts()) {
		s.requestRead()
	}
}

// HandleFetch returns the orders that this node knows. It fails with fault.Unavailable if it
// has none yet.
func (s *Service) HandleFetch(_ context.Context, _ FetchRequest) (Snapshot, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.readAt.IsZero() {
		return Snapshot{}, fault.New(fault.Unavailable, fault.NotRun, "%s has not read the rollouts yet", s.Self)
	}
	snapshot := s.current
	snapshot.Age = s.Clock.Now().Sub(s.readAt)
	return snapshot, nil
}

// requestRead makes Run read the store at once.
func (s *Service) requestRead() {
	s.once.Do(s.init)
	s.mutex.Lock()
	s.urgent = true
	s.mutex.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// isReader reports whether this node reads the store periodically.
func (s *Service) isReader() bool {
	ranked := s.View().Rank(readersKey, readers)
	return len(ranked) == 0 || slices.ContainsFunc(ranked, func(m member.VM) bool { return m.ID == s.Self })
}

// refresh reads the orders from the store, or from another node if the store is unavailable.
// A node that only looks for changes asks another node first.
func (s *Service) refresh(ctx context.Context) {
	s.mutex.Lock()
	storeFirst := s.urgent || s.readAt.IsZero()
	s.urgent = false
	s.mutex.Unlock()
	reads := []func(context.Context) error{s.readStore, s.fetch}
	if !storeFirst && !s.isReader() {
		slices.Reverse(reads)
	}
	var failure error
	for _, read := range reads {
		limited, cancel := context.WithTimeout(ctx, readTimeout)
		failure = read(limited)
		cancel()
		if failure == nil {
			return
		}
	}
	if ctx.Err() == nil {
		s.Metrics.GetOrCreateCounter("launch_read_failures_total").Inc()
		s.Log.WithField("error", failure.Error()).Info("failed to read the rollouts; keeping those that are known")
	}
}

func (s *Service) readStore(ctx context.Context) error {
	began := s.Clock.Now()
	rollouts, revision, err := s.list(ctx)
	if err != nil {
		return err
	}
	s.apply(Snapshot{Rollouts: rollouts, Revision: revision}, began, "store")
	return nil
}

// fetch asks the nodes that read the store, one after the other.
func (s *Service) fetch(ctx context.Context) error {
	var failure error = fault.New(fault.Unavailable, fault.NotRun, "no other node reads the rollouts")
	for _, m := range s.View().Rank(readersKey, readers) {
		if m.ID == s.Self {
			continue
		}
		var response Snapshot
		began := s.Clock.Now()
		if failure = s.Peers.Call(ctx, m.ID, MethodFetch, FetchRequest{}, &response); failure == nil {
			s.apply(response, began.Add(-response.Age), m.ID)
			return nil
		}
	}
	return failure
}

// list returns the orders in the store and its revision. It logs and skips malformed ones.
func (s *Service) list(ctx context.Context) ([]site.Rollout, int64, error) {
	response, err := s.Store.Range(ctx, ports.RangeRequest{Key: prefix, Prefix: true})
	if err != nil {
		return nil, 0, err
	}
	return decode(response.Entries, s.logSkipped), response.Revision, nil
}

func (s *Service) logSkipped(key string, err error) {
	s.Log.WithFields(logrus.Fields{"key": key, "error": err.Error()}).Warn("skipped an invalid rollout")
}

// apply keeps orders and announces a change. It ignores those that are older than the known
// ones, unless they were read restoreTimeout later.
func (s *Service) apply(next Snapshot, readAt time.Time, from string) {
	s.mutex.Lock()
	if next.Revision < s.current.Revision && readAt.Sub(s.readAt) < restoreTimeout {
		s.mutex.Unlock()
		return
	}
	before := s.current.Rollouts
	s.current = next
	if readAt.After(s.readAt) {
		s.readAt = readAt
	}
	s.mutex.Unlock()
	if slices.Equal(before, next.Rollouts) {
		return
	}
	s.Log.WithFields(logrus.Fields{"orders": len(next.Rollouts), "from": from, "revision": next.Revision}).Info("rollouts or their states changed")
	for _, r := range next.Rollouts {
		s.Log.WithFields(logrus.Fields{
			"service": r.Service, "version": r.Version, "order": r.Revision, "state": r.State.String(), "from": from, "revision": next.Revision,
		}).Info("rollouts changed")
	}
	s.Broadcast(member.Announcement{Kind: announcementKind, Value: contentRevision(next.Rollouts), Until: s.Clock.Now().Add(announcementTTL)})
}
