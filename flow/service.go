package flow

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"bergamotworks/canary"
	"bergamotworks/gate"
	"bergamotworks/ledger"
	"bergamotworks/member"
	"bergamotworks/note"
	"bergamotworks/owner"
	"bergamotworks/poison"
	"bergamotworks/ports"
	"bergamotworks/retry"
	"bergamotworks/route"
	"bergamotworks/site"
)

// Peers calls other nodes. Package peer implements it.
type Peers interface {
	Stream(ctx context.Context, vm, method string, params, result any, onChunk func(json.RawMessage)) error
}

// Owner runs stage calls of the pools that this node owns. Package owner
// implements it.
type Owner interface {
	Execute(ctx context.Context, call owner.StageCall, onChunk func(owner.Chunk)) owner.StageResponse
}

// Ledger records non-idempotent stage calls. Package ledger implements it.
type Ledger interface {
	Create(ctx context.Context, request ledger.Request) (ledger.Claim, error)
	Complete(ctx context.Context, claim ledger.Claim, result []byte) error
	Withdraw(ctx context.Context, claim ledger.Claim) error
	Lookup(ctx context.Context, key ledger.Key) (ledger.Claim, error)
}

// Service runs the requests whose home is this node and forwards the others to
// their homes. Set the exported fields before [Service.Run].
type Service struct {
	Self   string
	Config func() note.Config
	View   func() member.View
	Peers  Peers
	Owner  Owner
	Ledger Ledger
	// LocalPools says that this node calls every pool itself, whichever node
	// owns it. It is set for every policy other than pool.Owned.
	LocalPools bool
	Domain     string // Failure domain of this VM.
	// Rollouts limits the calls to versions that are rolled out; nil if there are no
	// rollouts. Directory lists the targets that it divides.
	Rollouts  *canary.Service
	Directory func() site.Directory
	Clock     ports.Clock
	Random    ports.Random
	Log       *logrus.Entry
	Metrics   *metrics.Set
	// Record is called with the outcome of each run. It may be nil.
	Record func(Outcome)
	// Spread is called to broadcast to the other nodes that a request was in
	// flight on a target that crashed. It may be nil.
	Spread func(announcement poison.Announcement)

	once          sync.Once
	base          context.Context // Parent of the contexts of all runs.
	stop          context.CancelFunc
	inFlight      gate.Gate
	mutex         sync.Mutex // Guards the fields below.
	runs          map[string]*run
	retainedRuns  int // Number of finished runs that are retained for repeats.
	retainedBytes int // Size of their responses.
	chooser       *route.Chooser
	poison        poison.Table
	budget        retry.Budget
}

const (
	sweepInterval = 100 * time.Millisecond
	// abandonTimeout is the time without waiters after which a run is canceled.
	// Until then a repeat can still join it.
	abandonTimeout = 300 * time.Millisecond
	// responseRetention is the time for which a response is retained for
	// repeats with the same idempotency key.
	responseRetention = 10 * time.Second
	maxRetainedRuns   = 4096     // Maximum number of finished runs that are retained.
	maxRetainedBytes  = 32 << 20 // Maximum size of their responses in bytes.
	maxActiveRuns     = 16384    // Maximum number of runs in progress.
	// overloadRetryAfter is the Retry-After of requests that are rejected
	// because maxActiveRuns is reached.
	overloadRetryAfter = 500 * time.Millisecond
)

func (s *Service) init() {
	s.base, s.stop = context.WithCancel(context.Background())
	s.runs = make(map[string]*run)
	s.chooser = &route.Chooser{Random: s.Random, Domain: s.Domain}
	s.applyConfig(s.Config())
}

// Run evicts finished runs and cancels abandoned ones until ctx is done. It
// returns nil.
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

// Drain waits until no run is in progress. It returns the error of ctx if ctx
// is done earlier.
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

// Close rejects new requests, cancels every run and waits until all have ended.
func (s *Service) Close() error {
	s.once.Do(s.init)
	s.stop()
	s.inFlight.Close()
	return nil
}

// Configure makes a configuration active.
func (s *Service) Configure(config note.Config) {
	s.once.Do(s.init)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.applyConfig(config)
}

func (s *Service) applyConfig(config note.Config) {
	s.chooser.Configure(config)
	s.budget.RetryRatio = config.Limits().RetryRatio
}

// ObserveCrashes applies a report of another node, valid until the given time,
// that a request was in flight in a number of crashes. A report of no more crashes
// than are known here is ignored. The report has no IDs of the crashes; the
// numbers from 0 replace them.
func (s *Service) ObserveCrashes(fingerprint uint64, crashes int, until time.Time) {
	s.once.Do(s.init)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.Clock.Now()
	counted := 0
	switch s.poison.Check(now, fingerprint) {
	case poison.Clean:
	case poison.Suspect:
		counted = 1
	case poison.Quarantined:
		return
	}
	if crashes <= counted {
		return
	}
	announcement := poison.Announcement{Fingerprint: fingerprint, Until: until}
	for i := range crashes {
		announcement.Crashes = append(announcement.Crashes, uint64(i))
	}
	s.poison.Observe(now, announcement)
}

func (s *Service) active() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.runs) - s.retainedRuns
}

// sweep cancels abandoned runs and evicts old responses.
func (s *Service) sweep(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for k, r := range s.runs {
		switch {
		case r.finishedAt.IsZero():
			r.cancelIfAbandoned(now)
		case now.Sub(r.finishedAt) > responseRetention || s.retainedRuns > maxRetainedRuns || s.retainedBytes > maxRetainedBytes:
			s.evict(k, r)
		}
	}
}

// evict removes a finished run. The caller holds the mutex.
func (s *Service) evict(key string, r *run) {
	s.retainedRuns--
	s.retainedBytes -= r.size()
	delete(s.runs, key)
}

// homeKey returns the key whose owner is the home of a request.
func homeKey(fingerprint uint64) string {
	return "request/" + strconv.FormatUint(fingerprint, 16)
}
