package relay

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"bergamotworks/batch"
	"bergamotworks/member"
	"bergamotworks/place"
	"bergamotworks/poison"
	"bergamotworks/ports"
	"bergamotworks/retry"
	"bergamotworks/site"
	"bergamotworks/wire"
)

// StageRunner has the pieces of stages made.
type StageRunner interface {
	// Do returns the handles of the pieces in order.
	Do(ctx context.Context, w batch.Work) ([]string, error)
	// Wait returns the time until work of a service begins.
	EstimateWait(service string) time.Duration
	// Release gives up results of a service.
	Release(service string, handles []string)
}

// Bounds are the limits that all nodes keep together.
type Bounds struct {
	// RetryShare and RetrySlack bound the requests that a service gets beyond
	// the first of each, within RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdFactor is how many times its rate a cold target bears.
	ColdFactor float64
}

// Server passes requests on. The exported fields are set before [Server.Run].
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
	Bounds    func() Bounds
	Clock     ports.Clock
	Random    ports.Random
	Log       *logrus.Entry
	Metrics   *metrics.Set
	// Spread tells the other nodes of a lost target; may be nil.
	OnCrash func(Crash)

	once     sync.Once
	own      map[string]bool // Names of fields that are not passed on, in lower case.
	mutex    sync.Mutex
	places   place.Table
	crashes  poison.Table
	budgets  map[string]*retry.Budget
	sessions map[*session]struct{}
	closed   bool
	draining atomic.Bool
	running  sync.WaitGroup
	counters counters
}

func (s *Server) init() {
	s.crashes = poison.Table{QuarantineAfter: condemnedAfter, SuspectFor: standingTime, QuarantineFor: standingTime}
	s.budgets = make(map[string]*retry.Budget)
	s.sessions = make(map[*session]struct{})
	s.own = ownFields(s.Names)
	s.counters.create(s.Metrics)
	s.Metrics.NewGauge("relay_targets_lost_with_requests", s.lostWith)
}

// Run accepts connections until the context ends or the server is closed.
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
		if !s.passes(err) {
			return trace.Wrap(err)
		}
	}
}

// acceptPause is the wait after a connection could not be accepted.
const acceptPause = 50 * time.Millisecond

// passes waits after an error that may pass, such as too many open files.
func (s *Server) passes(err error) bool {
	var n net.Error
	if errors.Is(err, net.ErrClosed) || !errors.As(err, &n) {
		return false
	}
	s.Log.WithField("error", err.Error()).Warn("connection not accepted")
	<-s.Clock.After(acceptPause)
	return true
}

func (s *Server) accept(conn net.Conn) {
	c := newSession(s, conn)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		_ = conn.Close() // The caller sees a closed connection either way.
		return
	}
	s.sessions[c] = struct{}{}
	s.running.Add(1)
	go c.run()
}

// doubtNodes is the number of nodes that is assumed while the membership is in
// doubt.
const doubtNodes = 16

// phase returns the place of this node among those that may be live, from 0 to 1.
func (s *Server) phase() float64 {
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

// nodes returns the number of nodes that may share a bound with this one. Nodes
// that are dead count: they may be cut off and go on.
func (s *Server) nodes() float64 {
	view := s.View()
	n := 0
	for _, m := range view.Members() {
		if m.State != member.Left {
			n++
		}
	}
	if view.Unconfirmed {
		n = max(n, doubtNodes)
	}
	return float64(max(n, 1))
}

func (s *Server) isClosed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.closed
}

func (s *Server) forget(c *session) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.sessions, c)
}

// Active returns the number of open connections and of requests under way.
func (s *Server) Active() (connections, requests int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.sessions {
		if c.busy.Load() {
			requests++
		}
	}
	return len(s.sessions), requests
}

// Drain closes idle connections, and the others after their present request.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.sessions {
		c.endIfIdle()
	}
}

// Close ends every connection and waits for the requests under way.
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
	_ = s.Listener.Close() // Accept returns either way.
	for c := range s.sessions {
		c.end()
	}
}
