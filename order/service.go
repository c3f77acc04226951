package order

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/ports"
)

const (
	passPeriod    = 2 * time.Second
	restPeriod    = 10 * time.Second
	retryPeriod   = 5 * time.Second
	congestPeriod = 30 * time.Second
	callTimeout   = 2 * time.Second
	applyTimeout  = 2 * time.Minute
	openWarning   = 30 * time.Second
	maxTasks      = 8
)

// Service carries out the engine orders of the configuration for the targets
// that this node owns. All exported fields but Metrics and Owns are set before
// Run.
type Service struct {
	// Self names this process; no other one, and no later one on the same VM,
	// may have the same name.
	Self    string
	Store   ports.Store
	Engine  Engine
	Clock   ports.Clock
	Random  ports.Random
	Log     *logrus.Entry
	Metrics *metrics.Set
	// Config returns the configuration in force.
	Config func() note.Config
	// Owns reports whether this node looks after a target; nil means all.
	// Nothing rests on two nodes agreeing about it.
	Owns func(target string) bool

	mutex    sync.Mutex // Guards the fields up to done.
	targets  map[string]targetState
	busy     int
	paceFrom time.Time // No load is planned before.
	pacing   bool      // A load is being planned.
	cancel   context.CancelFunc
	done     chan struct{}

	tasks sync.WaitGroup
}

// targetState is what this process remembers of a target.
type targetState struct {
	busy bool
	next time.Time
	open bool // The store may hold an open order.
	// Fencing numbers of the last order sent, and of the last one whose outcome
	// this process knows.
	sent      int64
	concluded int64
	// Incarnation seen first after an order was sent and got no answer.
	after    string
	returned bool // The sending of the last order has ended.
}

// Run carries out orders until the context ends or the service is closed.
func (s *Service) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	s.mutex.Lock()
	s.cancel = cancel
	s.done = done
	s.mutex.Unlock()
	s.loop(ctx)
	s.tasks.Wait()
	return nil
}

// Close ends Run and waits for it. An order that has been sent is not recalled.
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
		s.pass(ctx)
		select {
		case <-ctx.Done():
		case <-s.Clock.After(s.jitter(passPeriod)):
		}
	}
}

// pass starts a task for each target that is due.
func (s *Service) pass(ctx context.Context) {
	config := s.Config()
	wanted := wantedOf(config.Sections)
	for _, name := range slices.Sorted(maps.Keys(wanted)) {
		if s.Owns != nil && !s.Owns(name) || !s.begin(name) {
			continue
		}
		target := config.Sections.Targets[name]
		t := &task{
			service:   s,
			ctx:       ctx,
			name:      name,
			address:   target.Address,
			refuses:   config.Sections.Services[target.Service].RefusesOldFences,
			perMinute: config.Limits().WeightLoadsPerMinute,
			wanted:    wanted[name],
		}
		s.tasks.Go(t.run)
	}
}

// wantedOf returns the commands by target, in the order of their names.
func wantedOf(s note.Sections) map[string][]Command {
	wanted := map[string][]Command{}
	for _, name := range slices.Sorted(maps.Keys(s.Orders)) {
		o := s.Orders[name]
		c := Command{Kind: o.Kind, Subject: o.Subject, Version: o.Version}
		for target, t := range s.Targets {
			if t.Service == o.Service && (o.Target == "" || o.Target == target) {
				wanted[target] = append(wanted[target], c)
			}
		}
	}
	return wanted
}

// begin reports whether a target is due, and marks it as busy.
func (s *Service) begin(target string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.targets == nil {
		s.targets = map[string]targetState{}
	}
	t, known := s.targets[target]
	if t.busy || s.busy == maxTasks || s.Clock.Now().Before(t.next) {
		return false
	}
	// The store may hold an order of an earlier owner.
	t.open = t.open || !known
	t.busy = true
	s.busy++
	s.targets[target] = t
	return true
}

func (s *Service) end(target string, wait time.Duration, open bool) {
	wait = s.jitter(wait)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.targets[target]
	t.busy = false
	t.next = s.Clock.Now().Add(wait)
	t.open = open
	s.busy--
	s.targets[target] = t
}

func (s *Service) known(target string) targetState {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.targets[target]
}

func (s *Service) update(target string, change func(*targetState)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.targets[target]
	change(&t)
	s.targets[target] = t
}

// beginPacing reports whether a load may be planned now. One node plans one
// load at a time, and pauses while the next minute is full.
func (s *Service) beginPacing() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.pacing || s.Clock.Now().Before(s.paceFrom) {
		return false
	}
	s.pacing = true
	return true
}

func (s *Service) endPacing(err error) {
	period := passPeriod
	if err != nil && fault.From(err).Kind == fault.Busy {
		period = congestPeriod
	}
	pause := s.jitter(period)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pacing = false
	if err != nil {
		s.paceFrom = s.Clock.Now().Add(pause)
	}
}

// jitter returns a time from three to five quarters of the period.
func (s *Service) jitter(period time.Duration) time.Duration {
	return period*3/4 + time.Duration(s.Random.Uint64()%uint64(period/2))
}

func (s *Service) count(name string) {
	if s.Metrics != nil {
		s.Metrics.GetOrCreateCounter(name).Inc()
	}
}
