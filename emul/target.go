package emul

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"bergamotworks/note"
	"bergamotworks/ports"
)

// The defaults of a [Target].
const (
	defaultReportLag = 500 * time.Millisecond
	defaultRecovery  = 2 * time.Second
	defaultTokens    = 32
	// departureGrace is the time in which work may still start on a target that
	// has been taken out.
	departureGrace = 3 * time.Second
	maxBodyBytes   = 16 << 20
)

// Target is a stand-in for one target. Its exported fields are set before Start.
type Target struct {
	Name    string
	Service note.Service
	// ServiceName names the service in the witness.
	ServiceName string
	Domain      string
	Address     string // After Start, the address that it listens on.
	Network     ports.Network
	Clock       ports.Clock
	Costs       *CostRecorder
	// Once says that all calls of the service are non-idempotent. Calls with an
	// Idempotency-Key header are so in any case.
	NonIdempotent bool
	// TypicalTokens is the length of an answer that takes the service's typical
	// time; zero means 32.
	TypicalTokens int
	ReportLag     time.Duration // Age of load reports; zero means 500 ms.
	// Recovery is the time from a crash to the next life; zero means 2 s.
	Recovery time.Duration
	// Warm says that the first life starts warm.
	Warm bool

	mutex       sync.Mutex
	life        *life
	incarnation int64
	slow        float64
	refuse      bool
	poison      string
	departed    time.Time
	counts      Counts
	attempts    map[string]int
	state       orderState

	context context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup
}

// life is one life of the target's process.
type life struct {
	context context.Context
	cancel  context.CancelFunc
	links   *linkListener
	batch   batch
	results map[string]bool // Handles of the results of pieces.
	made    int             // Results made so far.
}

// errClosed means that the target was closed.
var errClosed = errors.New("the target is closed")

// Start begins the first life and listens.
func (t *Target) Start() error {
	t.context, t.cancel = context.WithCancel(context.Background())
	t.attempts = make(map[string]int)
	t.state.model = t.Service.Model
	t.slow = 1
	return t.begin(t.Warm)
}

// Close ends the target and waits for its goroutines.
func (t *Target) Close() error {
	t.cancel()
	t.end()
	t.group.Wait()
	return nil
}

// begin starts a life.
func (t *Target) begin(warm bool) error {
	listener, err := t.Network.Listen(t.Address)
	if err != nil {
		return err
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.context.Err() != nil {
		_ = listener.Close()
		return errClosed
	}
	t.Address = listener.Addr().String()
	l := &life{links: newLinkListener(listener), batch: batch{service: t.Service}, results: make(map[string]bool)}
	l.context, l.cancel = context.WithCancel(t.context)
	if warm {
		l.batch.completed = max(t.Service.WarmUpCalls, defaultWarmUpCalls)
	}
	t.life = l
	t.incarnation++
	t.counts.Incarnations++
	t.group.Add(1)
	go t.run(l)
	return nil
}

// run serves the connections of one life.
func (t *Target) run(l *life) {
	defer t.group.Done()
	server := &fasthttp.Server{
		Handler:            handler{target: t, life: l}.serve,
		MaxRequestBodySize: maxBodyBytes,
		NoDefaultDate:      true,
		Logger:             silentLogger{},
	}
	_ = server.Serve(l.links) // It ends when the listener is closed.
	l.links.wait()
}

// end ends the present life at once, with its connections.
func (t *Target) end() {
	t.mutex.Lock()
	l := t.life
	t.life = nil
	t.mutex.Unlock()
	if l != nil {
		l.cancel()
		l.links.kill()
	}
}

// silentLogger drops the server's messages about broken connections.
type silentLogger struct{}

// Printf drops the message.
func (silentLogger) Printf(string, ...any) {}
