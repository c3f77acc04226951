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
	scanInterval    = 2 * time.Second
	idleInterval    = 10 * time.Second // Between checks of a target in the wanted state.
	retryDelay      = 5 * time.Second
	congestionDelay = 30 * time.Second // After all time slots of the next minute were reserved.
	callTimeout     = 2 * time.Second  // Of a call to the store or for the state of an engine.
	applyTimeout    = 2 * time.Minute  // From sending a command until it has run.
	openWarnAge     = 30 * time.Second // Age of an open order from which a warning is logged.
	maxTasks        = 8                // Number of targets that are busy at once.
)

// Service sends the engine orders of the configuration to the targets that this
// node owns. All exported fields are set before Run; Metrics and Owns may be
// nil.
type Service struct {
	// Self identifies this process. It must be unique among all processes,
	// including later ones on the same VM.
	Self    string
	Store   ports.Store
	Engine  Engine
	Clock   ports.Clock
	Random  ports.Random
	Log     *logrus.Entry
	Metrics *metrics.Set
	// Config returns the active configuration.
	Config func() note.Config
	// Owns reports whether this node is responsible for a target; nil means all
	// targets. Correctness does not depend on the nodes agreeing about it.
	Owns func(target string) bool

	mutex           sync.Mutex // Guards the fields up to done.
	targets         map[string]targetState
	busy            int
	nextReservation time.Time // No time slot is reserved before this time.
	reserving       bool      // A time slot is being reserved.
	cancel          context.CancelFunc
	done            chan struct{}

	tasks sync.WaitGroup
}

// targetState is the state that this process holds of a target.
type targetState struct {
	busy       bool      // A task is running.
	next       time.Time // When the next task is due.
	recordOpen bool      // The store may hold an open order.
	// Fencing tokens of the last order sent, and of the last order that was
	// sent and whose outcome is known.
	sent     int64
	resolved int64
	// First incarnation of the engine observed after the call that sent the
	// last order returned with an unknown outcome; empty if none.
	incarnationAfter string
	sendReturned     bool // The call that sent the last order has returned.
}

// Run sends orders until the context ends or Close is called. It returns nil
// after all its tasks have ended.
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

// Close stops Run and waits for it to return. An order that has been sent is
// not undone.
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
		s.scan(ctx)
		select {
		case <-ctx.Done():
		case <-s.Clock.After(s.jitter(scanInterval)):
		}
	}
}

// scan starts a task for each target that is due.
func (s *Service) scan(ctx context.Context) {
	config := s.Config()
	wanted := wantedCommands(config.Sections)
	for _, name := range slices.Sorted(maps.Keys(wanted)) {
		if s.Owns != nil && !s.Owns(name) || !s.begin(name) {
			continue
		}
		target := config.Sections.Targets[name]
		t := &task{
			service:        s,
			ctx:            ctx,
			name:           name,
			address:        target.Address,
			rejectsStale:   config.Sections.Services[target.Service].RejectsStaleTokens,
			loadsPerMinute: config.Limits().WeightLoadsPerMinute,
			wanted:         wanted[name],
		}
		s.tasks.Go(t.run)
	}
}

// wantedCommands returns the wanted commands by target, sorted by the names of
// their orders.
func wantedCommands(s note.Sections) map[string][]Command {
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

// begin reports whether a target is due and, if so, marks it as busy. At most
// maxTasks targets are busy at once.
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
	// A target that is new to this process may have an open order of another
	// owner in the store.
	t.recordOpen = t.recordOpen || !known
	t.busy = true
	s.busy++
	s.targets[target] = t
	return true
}

// end records that the task of a target has ended and that the next one is due
// after the delay.
func (s *Service) end(target string, delay time.Duration, recordOpen bool) {
	delay = s.jitter(delay)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.targets[target]
	t.busy = false
	t.next = s.Clock.Now().Add(delay)
	t.recordOpen = recordOpen
	s.busy--
	s.targets[target] = t
}

func (s *Service) targetState(target string) targetState {
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

// beginReservation reports whether a time slot may be reserved now and, if so,
// marks a reservation as begun. A node reserves one time slot at a time.
func (s *Service) beginReservation() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.reserving || s.Clock.Now().Before(s.nextReservation) {
		return false
	}
	s.reserving = true
	return true
}

// endReservation ends a reservation with its error, if any. After an error no
// other one begins for congestionDelay if all time slots of the next minute were
// taken, otherwise for scanInterval.
func (s *Service) endReservation(err error) {
	delay := scanInterval
	if err != nil && fault.From(err).Kind == fault.Busy {
		delay = congestionDelay
	}
	jittered := s.jitter(delay)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reserving = false
	if err != nil {
		s.nextReservation = s.Clock.Now().Add(jittered)
	}
}

// jitter returns a random time from 3/4 to 5/4 of the duration.
func (s *Service) jitter(duration time.Duration) time.Duration {
	return duration*3/4 + time.Duration(s.Random.Uint64()%uint64(duration/2))
}

func (s *Service) count(name string) {
	if s.Metrics != nil {
		s.Metrics.GetOrCreateCounter(name).Inc()
	}
}
