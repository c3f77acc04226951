package flow

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"bergamotworks/gate"
	"bergamotworks/ledger"
	"bergamotworks/member"
	"bergamotworks/note"
	"bergamotworks/owner"
	"bergamotworks/poison"
	"bergamotworks/ports"
	"bergamotworks/retry"
	"bergamotworks/route"
)

// Peers calls other nodes.
type Peers interface {
	Stream(ctx context.Context, vm, method string, params, result any, onChunk func(json.RawMessage)) error
}

// Owner runs stage calls of the pools that this node owns.
type Owner interface {
	Execute(ctx context.Context, call owner.StageCall, onChunk func(owner.Chunk)) owner.StageResponse
}

// Ledger records stage calls that are not idempotent.
type Ledger interface {
	Create(ctx context.Context, request ledger.Request) (ledger.Claim, error)
	Complete(ctx context.Context, claim ledger.Claim, result []byte) error
	Withdraw(ctx context.Context, claim ledger.Claim) error
	Lookup(ctx context.Context, key ledger.Key) (ledger.Claim, error)
}

// Service runs requests. The exported fields are set before [Service.Run].
type Service struct {
	Self   string
	Config func() note.Config
	View   func() member.View
	Peers  Peers
	Owner  Owner
	Ledger Ledger
	// LocalPools says that this node owns every pool, as the baselines do.
	LocalPools bool
	Domain     string // Failure domain of this VM.
	Clock      ports.Clock
	Random     ports.Random
	Log        *logrus.Entry
	Metrics    *metrics.Set
	// Record takes the outcome of each run.
	Record func(Outcome)
	// Spread tells other nodes of crashes that a request was part of.
	Spread func(rumour poison.Announcement)

	once     sync.Once
	base     context.Context
	stop     context.CancelFunc
	running  gate.Gate
	mutex    sync.Mutex // Guards the fields below.
	runs     map[string]*run
	finished int // Runs that are kept for repeats.
	kept     int // Bytes of their answers.
	chooser  *route.Chooser
	poison   poison.Table
	budget   retry.Budget
}

const (
	sweepInterval = 100 * time.Millisecond
	// abandonAfter is the time in which a repeat can join a run that its
	// caller has left.
	abandonAfter = 300 * time.Millisecond
	// keepAnswer is the time for which a finished run answers repeats.
	keepAnswer  = 10 * time.Second
	maxFinished = 4096     // Finished runs that are kept at most.
	maxKept     = 32 << 20 // Bytes of their answers that are kept at most.
	maxActive   = 16384    // Runs in progress at most.
	// fullWait is the wait asked of callers while maxActive is reached.
	fullWait = 500 * time.Millisecond
)

func (s *Service) init() {
	s.base, s.stop = context.WithCancel(context.Background())
	s.runs = make(map[string]*run)
	s.chooser = &route.Chooser{Random: s.Random, Domain: s.Domain}
	s.configure(s.Config())
}

// Run forgets finished runs and cancels abandoned ones until the context ends.
func (s *Service) Run(ctx context.Context) error {
	s.once.Do(s.init)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.Clock.After(sweepInterval):
			s.sweep(s.Clock.Now())
		}
	}
}

// Drain waits until every run has ended, or until the context ends.
func (s *Service) Drain(ctx context.Context) error {
	for {
		if s.active() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.Clock.After(sweepInterval):
		}
	}
}

// Close cancels every run and waits for the runs to end.
func (s *Service) Close() error {
	s.once.Do(s.init)
	s.stop()
	s.running.Close()
	return nil
}

// Configure puts a configuration in force.
func (s *Service) Configure(config note.Config) {
	s.once.Do(s.init)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.configure(config)
}

func (s *Service) configure(config note.Config) {
	s.chooser.Configure(config)
	s.budget.RetryRatio = config.Limits().RetryShare
}

// ObserveCrashes takes in what another node tells of a request that was part
// of a number of crashes.
func (s *Service) ObserveCrashes(fingerprint uint64, crashes int, until time.Time) {
	s.once.Do(s.init)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.Clock.Now()
	known := 0
	switch s.poison.Check(now, fingerprint) {
	case poison.Clean:
	case poison.Suspect:
		known = 1
	case poison.Quarantined:
		return
	}
	if crashes <= known {
		return
	}
	rumour := poison.Announcement{Fingerprint: fingerprint, Until: until}
	for i := range crashes {
		rumour.Crashes = append(rumour.Crashes, uint64(i))
	}
	s.poison.Observe(now, rumour)
}

func (s *Service) active() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.runs) - s.finished
}

// sweep cancels the runs that nobody waits for and forgets old answers.
func (s *Service) sweep(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for k, r := range s.runs {
		switch {
		case r.ended.IsZero():
			r.cancelIfAbandoned(now)
		case now.Sub(r.ended) > keepAnswer || s.finished > maxFinished || s.kept > maxKept:
			s.forget(k, r)
		}
	}
}

// forget drops a finished run.
func (s *Service) forget(key string, r *run) {
	s.finished--
	s.kept -= r.size()
	delete(s.runs, key)
}

// homeKey is the key whose owner is the home of a request.
func homeKey(fingerprint uint64) string {
	return "request/" + strconv.FormatUint(fingerprint, 16)
}
