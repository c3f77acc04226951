package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"bergamotworks/admit"
	"bergamotworks/batch"
	"bergamotworks/canary"
	"bergamotworks/member"
	"bergamotworks/place"
	"bergamotworks/poison"
	"bergamotworks/ports"
	"bergamotworks/retry"
	"bergamotworks/site"
	"bergamotworks/wire"
)

// StageRunner processes the pieces of stages.
type StageRunner interface {
	// Do processes the pieces and returns the handles of their results in
	// order. The caller releases the results. An error of kind fault.NotFound
	// may mean that a result that the pieces read no longer exists, so that the
	// stages must run again.
	Do(ctx context.Context, w batch.Work) ([]string, error)
	// EstimateWait returns the expected time until new work of a service
	// starts.
	EstimateWait(service string) time.Duration
	// Release releases results of a service.
	Release(service string, handles []string)
}

// Bounds are limits on the total of all nodes of the fleet.
type Bounds struct {
	// RetryRatio and RetrySlack limit the retries to a service within
	// RetryWindow: RetryRatio for each first attempt, plus RetrySlack retries,
	// which cover bursts and the minimum rate without first attempts.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdFactor multiplies the rate limit of cold targets, those that are
	// still warming up.
	ColdFactor float64
}

// Server forwards requests of clients to targets. The exported fields are set
// before [Server.Run].
type Server struct {
	Listener  net.Listener
	Names     HeaderNames
	Self      string // Identifier of this VM.
	Domain    string // Failure domain of this VM.
	Config    func() site.Config
	Directory func() site.Directory
	View      func() member.View
	Stages    StageRunner
	Client    *wire.Client
	Guard     *TargetGuard // That of Client; may be nil.
	// Rollouts limits the calls to versions that are rolled out; nil if there are no
	// rollouts.
	Rollouts *canary.Service
	// RequestBodies limits the bodies of all requests together.
	RequestBodies wire.BufferBudget
	// Requests limits the memory of connections and requests of clients together; nil
	// means no limit.
	Requests *wire.BufferBudget
	// MaxConnections limits the connections of clients; zero means no limit. If there
	// are more, those that have waited longest for a request are closed.
	MaxConnections int
	// SocketBytes is the size of the send buffer of a connection of a client; zero leaves
	// it to the system.
	SocketBytes int
	Bounds      func() Bounds
	// PriorityAdmission means that requests are admitted by priority and client account.
	PriorityAdmission bool
	// ExpectedTime means that targets are chosen by the expected time to the first event
	// also in services whose targets do not report their work factor.
	ExpectedTime bool
	// Levels returns the levels of admission of the shards of a stage's service; nil
	// means that none are known.
	Levels func(service string) []admit.ShardLevel
	// Mover copies the memory of runs between targets, in services whose configuration
	// allows it. Nil means that runs are neither backed up nor moved.
	Mover Mover
	// Replacer says which targets a rollout is about to replace; may be nil.
	Replacer Replacer
	Clock    ports.Clock
	Random   ports.Random
	Log      *logrus.Entry
	Metrics  *metrics.Set
	// Outdated reports whether another VM is known to have a newer configuration;
	// nil means never.
	Outdated func() bool
	// OnEvidence is called with what to broadcast to the other nodes about requests
	// that crash targets; may be nil.
	OnEvidence func(poison.Evidence)
	// OnTargetReport is called with each report on a target to broadcast to the
	// other nodes; may be nil.
	OnTargetReport func(TargetReport)
	// OnTargetSpeed is called with each speed of a target to broadcast to the other
	// nodes; may be nil.
	OnTargetSpeed func(TargetSpeed)
	// OnTargetPace is called with each level of a paced target to broadcast to the other
	// nodes; may be nil.
	OnTargetPace func(member.Announcement)

	once        sync.Once
	dropped     map[string]bool // Fields that are never forwarded, in lower case.
	mutex       sync.Mutex
	placement   place.Table
	reportLimit *rate.Limiter
	reportEpoch uint64 // Epoch of the membership in which the reports were received.
	// prunedPosition is the position of the directory by which placement was pruned.
	prunedPosition site.Position
	speedLimit     *rate.Limiter
	speedLogLimit  *rate.Limiter
	checkingSpeeds bool // The loop that finds overdue first events runs.
	losses         poison.Tracker
	evidenceLimit  *rate.Limiter
	retryBudgets   map[string]*retry.Budget
	clients        map[*clientConn]struct{}
	inputBuffers   sync.Pool // Of *bufio.Reader with readBufferSize.
	outputBuffers  sync.Pool // Of *bufio.Writer with writeBufferSize.
	shortageLimit  *rate.Limiter
	backlogs       backlogs
	closed         bool
	draining       atomic.Bool
	running        sync.WaitGroup
	priorities     priorityAdmission
	moves          moves
	counters       counters
}

func (s *Server) init() {
	s.evidenceLimit = rate.NewLimiter(minEvidencePerSecond, minEvidenceBurst)
	s.retryBudgets = make(map[string]*retry.Budget)
	s.clients = make(map[*clientConn]struct{})
	s.reportLimit = newReportLimit()
	s.speedLimit, s.speedLogLimit = newSpeedLimit(), newReportLimit()
	s.shortageLimit = newShortageLimit()
	s.priorities = newPriorityAdmission()
	s.dropped = droppedHeaders(s.Names)
	s.moves.context, s.moves.cancel = context.WithCancel(context.Background())
	s.counters.init(s.Metrics)
	if s.Guard != nil {
		s.Guard.registerHolds()
	}
	s.Metrics.NewGauge("relay_buffered_bytes", func() float64 { return float64(s.Client.Buffers.Used()) })
	s.Metrics.NewGauge("relay_request_body_bytes", func() float64 { return float64(s.RequestBodies.Used()) })
	s.Metrics.NewGauge("relay_connection_and_request_bytes", func() float64 { return float64(s.Requests.Used()) })
	s.Metrics.NewGauge("relay_slow_clients", func() float64 { n, _ := s.slowClients(); return float64(n) })
	s.Metrics.NewGauge("relay_slow_client_bytes", func() float64 { _, n := s.slowClients(); return float64(n) })
	s.Metrics.NewGauge("relay_targets_lost_with_requests", s.lossCount)
	s.Metrics.NewGauge("relay_held_run_copies", s.copyCount)
	s.placement.Pace = &place.Pace{}
	s.Metrics.NewGauge("relay_paced_targets", s.pacedTargetCount)
	for _, c := range place.ConditionValues() {
		s.Metrics.NewGauge(fmt.Sprintf("relay_targets_in_condition{condition=%q}", c), s.conditionCount(c))
	}
	s.Metrics.NewGauge("relay_quarantined_fingerprints", s.quarantineCount)
}

// Run accepts connections until the context is canceled or the server is
// closed. It returns an error if the listener fails.
func (s *Server) Run(ctx context.Context) error {
	s.once.Do(s.init)
	stop := context.AfterFunc(ctx, s.shutDown)
	defer stop()
	for {
		conn, err := s.Listener.Accept()
		if err == nil {
			s.accept(conn)
			continue
		}
		if s.isClosed() {
			return nil
		}
		return trace.Wrap(err)
	}
}

// unconfirmedNodeCount is the least number of nodes assumed while the
// membership is unconfirmed.
const unconfirmedNodeCount = 16

// coldPhase returns the position of this node among the nodes that may be live,
// from 0 up to 1. It staggers the requests of different nodes to a cold target.
func (s *Server) coldPhase() float64 {
	before, n := 0, 0
	for _, m := range s.View().Members() {
		if m.State == member.Left {
			continue
		}
		if m.ID < s.Self {
			before++
		}
		n++
	}
	if n == 0 {
		return 0
	}
	return float64(before) / float64(n)
}

// nodeCount returns the number of nodes that may share a limit with this one.
// Dead nodes count, too, since they may be merely isolated and still send
// requests.
func (s *Server) nodeCount() float64 {
	view := s.View()
	n := 0
	for _, m := range view.Members() {
		if m.State != member.Left {
			n++
		}
	}
	if view.Unconfirmed {
		n = max(n, unconfirmedNodeCount)
	}
	return float64(max(n, 1))
}

// admission returns the decision on calls to targets, nil if there is none.
func (s *Server) admission() *place.Admission {
	if s.Guard == nil {
		return nil
	}
	return s.Guard.Admission
}

func (s *Server) isClosed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.closed
}

func (s *Server) removeClient(c *clientConn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.clients, c)
	if c.budgeted {
		s.Requests.Return(ConnectionBytes)
	}
}

// Active returns the number of open connections and of requests in flight.
func (s *Server) Active() (connections, requests int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.clients {
		if c.busy.Load() {
			requests++
		}
	}
	return len(s.clients), requests
}

// Drain closes idle connections, and the others after their current request.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.clients {
		c.closeIfIdle()
	}
}

// EndRequests cancels the requests in flight, which get responses that say whether they
// may have run. It is called when the time for a planned shutdown is almost over.
func (s *Server) EndRequests() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.clients {
		c.cancel(errShuttingDown)
	}
}

// Close closes all connections, cancels their requests and waits until they
// have ended.
func (s *Server) Close() error {
	s.once.Do(s.init)
	s.shutDown()
	s.running.Wait()
	return nil
}

func (s *Server) shutDown() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	s.moves.cancel()
	_ = s.Listener.Close() // Accept returns even if this fails.
	for c := range s.clients {
		c.shutDown()
	}
}
