package canary

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

// MethodReport is the method by which a node reports to the owner of an order.
const MethodReport = "canary.report"

const (
	// tickInterval is the time between two looks at the orders and targets.
	tickInterval = 100 * time.Millisecond
	// reportInterval is the time between two reports while an order is open. A grant
	// lasts for several of them.
	reportInterval = 500 * time.Millisecond
	// reportTimeout bounds a report: an owner that does not respond must not keep a node
	// from the next owner.
	reportTimeout = 400 * time.Millisecond
	// writeTimeout bounds the calls of the store for one write of a state.
	writeTimeout = 1500 * time.Millisecond
	ownerPrefix  = "rollout/"
)

// Caller calls methods of other nodes.
type Caller interface {
	Call(ctx context.Context, vm, method string, params, result any) error
}

// Service connects the Gate of a node with the owners of orders, and drives the Machine of
// each order that its node owns. The exported fields are set before [Service.Run].
//
// A nil Service lets every request through.
type Service struct {
	Self     string // ID of this VM.
	Settings Settings
	Gate     *Gate
	Orders   func() []site.Rollout
	// AsOf returns the times at which the store is known to have held the operator state
	// and the directory of this node.
	AsOf      func() (operatorState, directory time.Time)
	Directory func() site.Directory
	View      func() member.View
	States    StateStore
	Peers     Caller
	Broadcast func(member.Announcement)
	Clock     ports.Clock
	Log       *logrus.Entry
	Metrics   *metrics.Set

	verdicts  verdicts
	observing sync.Mutex              // Orders are passed to the gate in the order in which they were read.
	latest    map[string]site.Rollout // The latest order for each service, also if it is gone; guarded by observing.

	mutex       sync.Mutex            // Guards the fields below.
	rollouts    map[string]*rollout   // By service.
	outbox      []member.Announcement // To broadcast without the mutex.
	reported    map[string]reportState
	reportedAt  time.Time
	leaving     bool // This node owns no order any more.
	closed      bool
	running     sync.WaitGroup
	baseContext context.Context
	stop        context.CancelFunc
	once        sync.Once
}

// reportState is the state of this node's reports on an order.
type reportState struct {
	pending bool // A report has no response yet.
	owner   string
	grant   Grant
	at      time.Time // Last grant.
}

func (s *Service) init() {
	s.rollouts = make(map[string]*rollout)
	s.reported = make(map[string]reportState)
	s.baseContext, s.stop = context.WithCancel(context.Background())
	s.Metrics.GetOrCreateGauge("canary_open_orders", func() float64 { return float64(len(s.openOrders())) })
	s.Metrics.GetOrCreateGauge("canary_owned_orders", s.ownedCount)
}

// Run looks at the orders at each tick until the context ends.
func (s *Service) Run(ctx context.Context) error {
	s.once.Do(s.init)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.Clock.After(tickInterval):
			s.tick()
		}
	}
}

// Close cancels the reports and writes in flight and waits for them.
func (s *Service) Close() error {
	s.once.Do(s.init)
	s.Leave()
	s.mutex.Lock()
	s.closed = true
	s.mutex.Unlock()
	s.stop()
	s.running.Wait()
	return nil
}

// Leave ends the ownership of all orders. It is called when the VM leaves the membership.
// The node still reports, since it serves its last requests.
func (s *Service) Leave() {
	s.once.Do(s.init)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leaving = true
	clear(s.rollouts)
}

// tick passes the orders to the gate, drives the machines of the orders that this node owns
// and, every reportInterval, reports on the open orders.
func (s *Service) tick() {
	now := s.Clock.Now()
	s.observe(now)
	s.learnVersions(now)
	s.mutex.Lock()
	s.forgetGone()
	s.updateOwned(now)
	due := now.Sub(s.reportedAt) >= reportInterval
	if due {
		s.reportedAt = now
	}
	s.mutex.Unlock()
	s.sendAnnouncements()
	if due && len(s.openOrders()) > 0 {
		s.sendReports(now)
	}
}

// observe passes the orders and their age to the gate. The times are read before the
// orders, which are then at least as recent.
func (s *Service) observe(now time.Time) {
	s.observing.Lock()
	defer s.observing.Unlock()
	operatorState, directory := s.AsOf()
	if !operatorState.IsZero() {
		orders := s.Orders()
		s.Gate.Observe(now, orders)
		s.keepVerdicts(orders)
	}
	s.Gate.ObserveAge(operatorState, directory)
}

// keepVerdicts applies the verdicts on orders of an earlier epoch of the store to the same
// orders of the current one: the store may have lost the states that were recorded.
func (s *Service) keepVerdicts(orders []site.Rollout) {
	for _, o := range orders {
		before := s.latest[o.Service]
		if s.latest == nil {
			s.latest = make(map[string]site.Rollout)
		}
		s.latest[o.Service] = o
		if !o.Continues(before) {
			continue
		}
		phase, ok := s.verdicts.find(before.ID())
		if recorded, final := finalPhaseOf(before.State); final {
			phase, ok = recorded, true
		}
		if ok {
			s.recordVerdict(o.ID(), phase, "earlier_epoch")
		}
	}
}

// learnVersions passes the targets of all services to the gate, so that versions of a
// service without requests do not wait as unknown ones when the first request comes.
func (s *Service) learnVersions(now time.Time) {
	d := s.Directory()
	seen := make(map[string]bool)
	for _, t := range d.Targets {
		if !seen[t.Service] {
			seen[t.Service] = true
			s.Gate.divide(now, t.Service, d.Usable(t.Service))
		}
	}
}

// openOrders returns the orders that are not decided as far as the store says. Until then,
// nodes report, so that those that have missed a verdict learn it.
func (s *Service) openOrders() []site.Rollout {
	return slices.DeleteFunc(slices.Clone(s.Orders()), func(r site.Rollout) bool { return r.State.Final() })
}

// sendReports sends a report on each open order to its owner.
func (s *Service) sendReports(now time.Time) {
	open := s.openOrders()
	for _, r := range s.Gate.Reports(now) {
		if !slices.ContainsFunc(open, func(o site.Rollout) bool { return o.ID() == r.Order && o.Service == r.Service }) {
			continue
		}
		view := s.View()
		owner, ok := view.Owner(ownerPrefix + r.Service)
		if !ok || owner.ID == s.Self {
			s.reportLocally(r)
			continue
		}
		s.startReport(owner.ID, r)
	}
}

// reportLocally passes a report to this node as the owner of its order.
func (s *Service) reportLocally(r Report) {
	grant, err := s.HandleReport(s.baseContext, r)
	s.recordGrant(s.Clock.Now(), s.Self, r, grant, err)
}

// startReport sends a report unless an earlier one on the service has no response yet.
func (s *Service) startReport(owner string, r Report) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state := s.reported[r.Service]
	if state.pending || s.closed {
		return
	}
	state.pending = true
	s.reported[r.Service] = state
	s.running.Add(1)
	t := reportTask{service: s, owner: owner, report: r}
	go t.run()
}

// reportTask sends one report to the owner of its order.
type reportTask struct {
	service *Service
	owner   string
	report  Report
}

func (t reportTask) run() {
	s := t.service
	defer s.running.Done()
	ctx, cancel := context.WithTimeout(s.baseContext, reportTimeout)
	defer cancel()
	sent := s.Clock.Now()
	var grant Grant
	err := s.Peers.Call(ctx, t.owner, MethodReport, t.report, &grant)
	s.recordGrant(sent, t.owner, t.report, grant, err)
}

// recordGrant applies the response to a report that was sent at the given time. The grant
// is valid from then on, since the owner may have been paused after it made the grant.
func (s *Service) recordGrant(sent time.Time, owner string, r Report, grant Grant, err error) {
	s.mutex.Lock()
	state := s.reported[r.Service]
	state.pending, state.owner = false, owner
	if err == nil && grant.Order == r.Order {
		state.grant, state.at = grant, s.Clock.Now()
	}
	s.reported[r.Service] = state
	s.mutex.Unlock()
	switch {
	case err != nil:
		s.countReport("failed")
		s.Log.WithFields(logrus.Fields{"service": r.Service, "order": r.Order, "owner": owner, "error": err.Error()}).Info("report on a rollout failed")
	case grant.Order != r.Order || grant.ValidFor < 0 || grant.ValidFor > GrantLifetime || grant.Share < 0 || grant.Share > 1:
		s.countReport("invalid")
	default:
		s.countReport("granted")
		s.recordVerdict(grant.Order, grant.Phase, owner)
		grant.ValidFor -= s.Clock.Now().Sub(sent)
		if grant.ValidFor > 0 {
			s.Gate.Apply(s.Clock.Now(), grant)
		}
	}
}

// HandleReport handles the report of a node on an order that this node owns, and returns
// the grant for that node. It returns a Conflict error if this node does not own the order
// or does not know it.
func (s *Service) HandleReport(_ context.Context, r Report) (Grant, error) {
	s.once.Do(s.init)
	now := s.Clock.Now()
	if len(r.Rows) > MaxRows {
		return Grant{}, fault.InvalidField("rows", "%d", len(r.Rows))
	}
	if grant, ok := s.finalGrant(r); ok {
		return grant, nil
	}
	defer s.sendAnnouncements()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.updateOwned(now)
	owned := s.rollouts[r.Service]
	if owned == nil || owned.order.ID() != r.Order {
		return Grant{}, fault.New(fault.Conflict, fault.NotRun, "%s does not own order %d for %s", s.Self, r.Order, r.Service)
	}
	s.step(now, owned, ReportReceived{Report: r})
	return owned.machine.Grant(now), nil
}

// finalGrant returns the grant for an order whose final state is recorded.
func (s *Service) finalGrant(r Report) (Grant, bool) {
	for _, o := range s.Orders() {
		if o.Service != r.Service || o.ID() != r.Order {
			continue
		}
		if phase, ok := finalPhaseOf(o.State); ok {
			return verdictGrant(o.ID(), phase), true
		}
	}
	return Grant{}, false
}

// forgetGone forgets the reports on services without an order. The mutex is held.
func (s *Service) forgetGone() {
	orders := s.Orders()
	for name, state := range s.reported {
		if !state.pending && !slices.ContainsFunc(orders, func(o site.Rollout) bool { return o.Service == name }) {
			delete(s.reported, name)
		}
	}
}

func (s *Service) countReport(outcome string) {
	s.Metrics.GetOrCreateCounter(`canary_reports_total{outcome="` + outcome + `"}`).Inc()
}
