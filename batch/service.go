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

// Methods that nodes call on each other.
const (
	MethodSubmit  = "batch.submit"
	MethodRelease = "batch.release"
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
	Peers     Caller
	Clock     ports.Clock
	Log       *logrus.Entry
	Metrics   *metrics.Set

	mutex             sync.Mutex
	batchers          map[string]*batcher
	reportedWaits     map[string]reportedWait
	remoteCalls       map[*remoteCall]struct{}
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
}

// submission is [Work] as sent between nodes. Since their clocks differ, it
// carries the remaining times instead of Target and Deadline.
type submission struct {
	Work
	TargetLeft   time.Duration `json:"target_left_ns"`
	DeadlineLeft time.Duration `json:"deadline_left_ns"`
}

// handleList is the response to a submission and the parameters of a release.
type handleList struct {
	Service string   `json:"service,omitempty"` // Set only in a release.
	Handles []string `json:"handles"`
	// Wait is the estimated time until work that is submitted now starts. It is
	// set only in the response to a submission, and so is Owner.
	Wait time.Duration `json:"wait_ns,omitempty"`
	// Owner is set if the receiver is not the owner of the service and has
	// done nothing; it names the owner in the receiver's view.
	Owner string `json:"owner,omitempty"`
}

// reportedWait is the estimated wait that an owner reported.
type reportedWait struct {
	wait time.Duration
	at   time.Time
}

func (s *Service) init() {
	s.batchers = make(map[string]*batcher)
	s.reportedWaits = make(map[string]reportedWait)
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
// work has ended. If this VM is not the owner, it returns the owner instead.
func (s *Service) HandleSubmit(ctx context.Context, p submission) (handleList, error) {
	s.once.Do(s.init)
	if vm, ok := s.View().Owner(ownerPrefix + p.Service); ok && vm.ID != s.Self {
		return handleList{Owner: vm.ID}, nil
	}
	now := s.Clock.Now()
	p.Target = now.Add(p.TargetLeft)
	p.Deadline = now.Add(p.DeadlineLeft)
	handles, err := s.submitLocal(ctx, p.Work)
	return handleList{Handles: handles, Wait: s.localWait(p.Service)}, err
}

// localWait returns the estimated wait of a service whose owner is this VM.
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
	s.refresh(b)
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
	service, ok := s.Config().Service(name)
	if !ok || service.Batch == nil {
		return nil, fault.New(fault.NotFound, fault.NotRun, "service %s takes no pieces", name)
	}
	b := &batcher{name: name, table: Table{Limits: *service.Batch}, waiters: make(map[uint64]chan GroupDone)}
	s.batchers[name] = b
	s.Log.WithField("service", name).Info("started batching for a service")
	return b, nil
}

// refresh updates the limits and targets of a table from the current
// configuration and directory. The caller holds s.mutex.
func (s *Service) refresh(b *batcher) {
	if service, ok := s.Config().Service(b.name); ok && service.Batch != nil {
		b.table.Limits = *service.Batch
	}
	usable := s.Directory().Usable(b.name)
	if slices.Equal(usable, b.targets) {
		return
	}
	b.targets = usable
	b.table.SetTargets(s.Clock.Now(), usable)
}

func (s *Service) cancel(b *batcher, id uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(b.waiters, id)
	b.table.Cancel(s.Clock.Now(), id)
	s.perform(b)
}

// tick abandons the work of services whose owner is now another VM and updates
// all tables.
func (s *Service) tick() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.Clock.Now()
	if v := s.View().Version; v != s.membershipVersion {
		s.membershipVersion, s.membershipChanged = v, now
	}
	s.cancelLostCalls()
	for _, b := range s.batchers {
		s.refresh(b)
		if vm, ok := s.View().Owner(ownerPrefix + b.name); ok && vm.ID != s.Self && len(b.waiters) > 0 {
			b.table.Abandon()
		}
		b.table.Tick(now)
		s.perform(b)
	}
}

// Release releases results of a service that are no longer needed. It returns
// without waiting for the owner or the targets.
func (s *Service) Release(service string, handles []string) {
	if len(handles) == 0 {
		return
	}
	s.once.Do(s.init)
	vm, ok := s.View().Owner(ownerPrefix + service)
	if !ok || vm.ID == s.Self {
		s.release(service, handles)
		return
	}
	s.running.Add(1)
	r := remoteRelease{service: s, vm: vm.ID, params: handleList{Service: service, Handles: handles}}
	go r.run()
}

// HandleRelease releases results for another node. Results of a service that
// this VM does not batch are ignored; they expire at their targets.
func (s *Service) HandleRelease(_ context.Context, p handleList) (struct{}, error) {
	s.once.Do(s.init)
	s.release(p.Service, p.Handles)
	return struct{}{}, nil
}

func (s *Service) release(service string, handles []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if b := s.batchers[service]; b != nil {
		b.table.Release(handles)
		s.perform(b)
	}
}

// remoteRelease asks the owner of a service to release results.
type remoteRelease struct {
	service *Service
	vm      string
	params  handleList
}

func (r remoteRelease) run() {
	defer r.service.running.Done()
	ctx, cancel := context.WithTimeout(r.service.baseContext, maintenanceTimeout)
	defer cancel()
	var response struct{}
	err := r.service.Peers.Call(ctx, r.vm, MethodRelease, r.params, &response)
	if err == nil {
		return
	}
	r.service.Log.WithFields(logrus.Fields{"peer": r.vm, "service": r.params.Service, "handles": len(r.params.Handles), "error": err.Error()}).Warn("owner did not release results; releasing them at their targets")
	r.service.releaseDirectly(r.params.Handles)
}

// releaseDirectly releases results at the targets that store them, since the
// owner of their service does not respond. The next owner sees the free capacity
// when it queries the targets.
func (s *Service) releaseDirectly(handles []string) {
	directory := s.Directory()
	byTarget := make(map[string]ReleaseResults)
	for _, h := range handles {
		target, ok := directory.FindByAddress(TargetAddress(h))
		if !ok {
			continue
		}
		release := byTarget[target.ID]
		byTarget[target.ID] = ReleaseResults{Target: target, Handles: append(release.Handles, h)}
	}
	for _, release := range byTarget {
		s.running.Add(1)
		go releaseTask{service: s, release: release}.run()
	}
}
