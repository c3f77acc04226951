package batch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"bergamotworks/canary"
	"bergamotworks/fault"
	"bergamotworks/member"
	"bergamotworks/place"
	"bergamotworks/ports"
	"bergamotworks/site"
)

// Methods that nodes call on each other.
const (
	MethodSubmit  = "batch.submit"
	MethodRelease = "batch.release"
	MethodProbe   = "batch.probe"
)

const (
	tickInterval       = 50 * time.Millisecond
	firstRetryDelay    = 10 * time.Millisecond  // Delay before the first retry of a submission.
	retryDelay         = 100 * time.Millisecond // Delay before each further retry.
	maintenanceTimeout = 500 * time.Millisecond // Time limit of a release or a capacity query.
	callSlack          = 2 * time.Second        // Added to twice the expected duration of a call.
	ownerPrefix        = "batch/"
	// unconfirmedTimeout is how long work waits while the membership is
	// unconfirmed, before it is submitted to the owner in the view of this VM.
	// Several owners at once would overfill the targets' queues.
	unconfirmedTimeout = 1 * time.Second
	// startupWindow is the time after the start in which work waits until the
	// membership has not changed for stableTime. Otherwise each VM would act
	// as the owner while the whole fleet starts.
	startupWindow = 2500 * time.Millisecond
	stableTime    = 250 * time.Millisecond
	// pauseLimit is the time between two ticks from which this VM counts as
	// paused. Submitters have left it by then.
	pauseLimit = 500 * time.Millisecond
)

// Caller calls methods of other nodes.
type Caller interface {
	Call(ctx context.Context, vm, method string, params, result any) error
}

// Service batches the pieces of the services that its VM owns and submits
// those of other services to their owners. The exported fields are set before
// [Service.Run].
type Service struct {
	Self      string // ID of this VM.
	Config    func() site.Config
	Directory func() site.Directory
	View      func() member.View
	Runner    Runner
	Admission *place.Admission // Holds the targets that get no calls from this VM; may be nil.
	Rollouts  *canary.Service  // Limits the calls to versions that are rolled out; nil if there are no rollouts.
	// LearnSpeeds means that targets get work according to how long their calls take.
	LearnSpeeds bool
	// PriorityAdmission means that more urgent work goes first and that levels of
	// admission are made and passed on.
	PriorityAdmission bool
	Peers             Caller
	Clock             ports.Clock
	Random            ports.Random
	Log               *logrus.Entry
	Metrics           *metrics.Set

	mutex             sync.Mutex
	batchers          map[string]*batcher
	waits             waits
	remoteCalls       map[*remoteCall]struct{}
	contacts          contacts
	lastTick          time.Time
	unconfirmedSince  time.Time // Time at which the membership became unconfirmed; zero if it is confirmed.
	startedAt         time.Time // Start of Run.
	membershipVersion uint64    // Version of the last membership view.
	membershipChanged time.Time // Time at which that version was first seen.
	leaving           bool
	running           sync.WaitGroup
	baseContext       context.Context
	stop              context.CancelFunc
	once              sync.Once
}

// batcher is the table of one service with the submitters that wait for its
// groups.
type batcher struct {
	name    string
	table   Table
	targets []site.Target // List that was last passed to the table.
	waiters map[uint64]chan GroupDone
	logged  levelLog
}

func (s *Service) init() {
	s.batchers = make(map[string]*batcher)
	s.waits = make(waits)
	s.remoteCalls = make(map[*remoteCall]struct{})
	s.baseContext, s.stop = context.WithCancel(context.Background())
}

// Run updates the tables at each tick until the context ends.
func (s *Service) Run(ctx context.Context) error {
	s.once.Do(s.init)
	s.mutex.Lock()
	s.startedAt = s.Clock.Now()
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

// Close cancels the calls in flight and waits for them.
func (s *Service) Close() error {
	s.once.Do(s.init)
	s.stop()
	s.running.Wait()
	return nil
}

// Leave fails all unfinished work, including that in calls, with a Conflict
// error, so that it is submitted to the next owners, and makes the service
// reject new work. It is called when the VM leaves the membership.
func (s *Service) Leave() {
	s.once.Do(s.init)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leaving = true
	for _, b := range s.batchers {
		b.table.Abandon()
		s.perform(b)
	}
}

// HandleSubmit processes work that another node submitted and returns when the
// work has ended. If this VM owns no shard of the service, it returns an owner
// instead.
func (s *Service) HandleSubmit(ctx context.Context, p submission) (submitResponse, error) {
	s.once.Do(s.init)
	if l := s.layout(p.Service); !l.ownedBy(s.Self) {
		return submitResponse{Owner: l.ownerFor(p.Work)}, nil
	}
	now := s.Clock.Now()
	s.mergeWaits(p.Service, p.Waits)
	s.mergeOthers(p.Others)
	p.Target = now.Add(p.TargetLeft)
	p.Deadline = now.Add(p.DeadlineLeft)
	handles, err := s.submitLocal(ctx, p.Work)
	return submitResponse{Handles: handles, Wait: s.localWait(p.Service), Waits: s.knownWaits(p.Service), Others: s.otherWaits(p.Service)}, err
}

// HandleProbe responds to another node that has heard nothing from this one.
func (s *Service) HandleProbe(context.Context, struct{}) (struct{}, error) { return struct{}{}, nil }

// layout returns the current layout of a service.
func (s *Service) layout(service string) layout {
	return newLayout(s.View(), service, s.Directory().Usable(service))
}

// localWait returns the estimated wait of a service at the targets of this VM.
func (s *Service) localWait(service string) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b := s.batchers[service]
	if b == nil {
		return 0
	}
	return b.table.EstimateWait(s.Clock.Now())
}

// submitLocal submits work to this VM's own table and waits for the results.
func (s *Service) submitLocal(ctx context.Context, w Work) ([]string, error) {
	b, id, outcome, err := s.enqueue(w)
	if err != nil {
		return nil, err
	}
	select {
	case d := <-outcome:
		return d.Handles, d.Err
	case <-ctx.Done():
		s.cancel(b, id)
		return nil, fault.New(fault.Canceled, fault.NotRun, "nobody waits for pieces of %s", w.Service)
	}
}

// enqueue submits work to the table of its service. It returns the batcher of
// the service, the ID of the group and a channel that receives the outcome of
// the group.
func (s *Service) enqueue(w Work) (*batcher, uint64, chan GroupDone, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leaving {
		return nil, 0, nil, fault.New(fault.Conflict, fault.NotRun, "this VM is leaving")
	}
	b, err := s.batcherFor(w.Service)
	if err != nil {
		return nil, 0, nil, err
	}
	s.refresh(b, s.layout(w.Service))
	id, err := b.table.Submit(s.Clock.Now(), w)
	if err != nil {
		s.perform(b)
		return nil, 0, nil, err
	}
	outcome := make(chan GroupDone, 1)
	b.waiters[id] = outcome
	s.perform(b)
	return b, id, outcome, nil
}

// batcherFor returns the batcher of a service; it creates one on first use. The
// caller holds s.mutex.
func (s *Service) batcherFor(name string) (*batcher, error) {
	if b := s.batchers[name]; b != nil {
		return b, nil
	}
	config := s.Config()
	if !config.Loaded() {
		return nil, fault.New(fault.Conflict, fault.NotRun, "this VM has no configuration yet")
	}
	service, ok := config.Service(name)
	if !ok || service.Batch == nil {
		return nil, fault.New(fault.NotFound, fault.NotRun, "service %s takes no pieces", name)
	}
	b := &batcher{name: name, waiters: make(map[uint64]chan GroupDone)}
	b.table = Table{
		Limits: *service.Batch, Admission: s.Admission, LearnSpeeds: s.LearnSpeeds, PriorityAdmission: s.PriorityAdmission,
		Service: name, Rollouts: s.Rollouts,
	}
	s.batchers[name] = b
	s.Log.WithField("service", name).Info("started batching for a service")
	return b, nil
}

// refresh updates the limits and targets of a table from the current
// configuration, directory and layout. The caller holds s.mutex.
func (s *Service) refresh(b *batcher, l layout) {
	if service, ok := s.Config().Service(b.name); ok && service.Batch != nil {
		b.table.Limits = *service.Batch
	}
	owned := l.targetsOf(s.Self, s.Directory().Usable(b.name))
	if slices.Equal(owned, b.targets) {
		return
	}
	s.logTargets(b, owned, l)
	b.targets = owned
	b.table.SetTargets(s.Clock.Now(), owned)
}

// logTargets logs a change in the number of targets for which this VM batches.
func (s *Service) logTargets(b *batcher, owned []site.Target, l layout) {
	if len(owned) == len(b.targets) {
		return
	}
	s.Log.WithFields(logrus.Fields{
		"service": b.name, "targets": len(owned), "before": len(b.targets), "shards": len(l.shards), "view": l.view.Version,
	}).Info("targets of this owner changed")
}

func (s *Service) cancel(b *batcher, id uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(b.waiters, id)
	b.table.Cancel(s.Clock.Now(), id)
	s.perform(b)
}

// tick abandons the work of services of which this VM owns no shard any more,
// updates all tables and probes owners that do not respond.
func (s *Service) tick() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.Clock.Now()
	if v := s.View().Version; v != s.membershipVersion {
		s.membershipVersion, s.membershipChanged = v, now
	}
	s.observePause(now)
	s.cancelLostCalls()
	s.startProbes(now)
	for _, b := range s.batchers {
		l := s.layout(b.name)
		s.refresh(b, l)
		if !l.ownedBy(s.Self) && len(b.waiters) > 0 {
			b.table.Abandon()
		}
		b.table.Tick(now)
		s.logSpeeds(now, b)
		s.perform(b)
		s.logLevel(now, b)
	}
}

// logSpeeds logs and counts the targets that have become slow or are not any more.
func (s *Service) logSpeeds(now time.Time, b *batcher) {
	for _, c := range b.table.CheckSpeeds(now) {
		s.Metrics.GetOrCreateCounter(fmt.Sprintf("batch_target_speed_changes_total{service=%q,slow=\"%t\"}", b.name, c.Slow)).Inc()
		s.Log.WithFields(logrus.Fields{
			"service": b.name, "target": c.Target, "slow": c.Slow, "slowdown": c.Slowdown, "relative": c.Relative, "waiting": b.table.Waiting(),
		}).Info("the speed of a target of this owner has changed")
	}
}

// observePause abandons all queued work if this VM was paused: its submitters
// have left, and the targets may have another owner. The caller holds s.mutex.
func (s *Service) observePause(now time.Time) {
	pause := now.Sub(s.lastTick)
	if s.lastTick.IsZero() || pause < pauseLimit {
		s.lastTick = now
		return
	}
	s.lastTick = now
	s.contacts.paused(now)
	for _, b := range s.batchers {
		if len(b.waiters) == 0 {
			continue
		}
		s.Log.WithFields(logrus.Fields{"service": b.name, "groups": len(b.waiters), "pause_ms": pause.Milliseconds()}).Warn("paused; abandoning the work of this owner")
		b.table.Abandon()
		s.perform(b)
	}
}
