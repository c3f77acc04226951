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

// The defaults and limits of a [Target].
const (
	defaultReportLag = 500 * time.Millisecond
	defaultRecovery  = 2 * time.Second
	defaultTokens    = 32
	// drainGrace is the time in which work may still start on a drained target.
	drainGrace   = 3 * time.Second
	maxBodyBytes = 16 << 20
)

// Target is a stand-in for one target. Exported fields must be set before Start.
type Target struct {
	Name    string
	Service note.Service
	// ServiceName is the name under which costs are recorded.
	ServiceName string
	Domain      string
	Address     string // To listen on; Start replaces port 0 by the actual one.
	Network     ports.Network
	Clock       ports.Clock
	Costs       *CostRecorder
	// NonIdempotent marks all calls of the service as non-idempotent. Calls with an
	// Idempotency-Key header count as non-idempotent in any case.
	NonIdempotent bool
	// TypicalTokens is the length of a response that takes the service's typical
	// time; zero means 32.
	TypicalTokens int
	ReportLag     time.Duration // Age of load reports; zero means 500 ms.
	// Recovery is the time from a crash to the next incarnation; zero means 2 s.
	Recovery time.Duration
	// Warm makes the first incarnation start warm.
	Warm bool

	mutex        sync.Mutex
	current      *incarnation
	incarnations int64
	slowdown     float64
	refusing     bool
	poisonText   string
	drainedAt    time.Time
	counts       Counts
	attempts     map[string]int
	state        orderState

	context context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup
}

// incarnation is the period between a start of the target's process and its end.
type incarnation struct {
	context    context.Context
	cancel     context.CancelFunc
	links      *linkListener
	engine     engineState
	results    map[string]bool // Handles of the results that are held.
	lastResult int             // Number of the last result.
}

// errClosed reports that the target was closed.
var errClosed = errors.New("the target is closed")

// Start starts listening and the first incarnation.
func (t *Target) Start() error {
	t.context, t.cancel = context.WithCancel(context.Background())
	t.attempts = make(map[string]int)
	t.state.model = t.Service.Model
	t.slowdown = 1
	return t.startIncarnation(t.Warm)
}

// Close stops the target and waits for its goroutines.
func (t *Target) Close() error {
	t.cancel()
	t.endIncarnation()
	t.group.Wait()
	return nil
}

// startIncarnation starts an incarnation, which listens at the same address as
// the previous one.
func (t *Target) startIncarnation(warm bool) error {
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
	in := &incarnation{links: newLinkListener(listener), engine: engineState{service: t.Service}, results: make(map[string]bool)}
	in.context, in.cancel = context.WithCancel(t.context)
	if warm {
		in.engine.completed = max(t.Service.WarmUpCalls, defaultWarmUpCalls)
	}
	t.current = in
	t.incarnations++
	t.counts.Incarnations++
	t.group.Add(1)
	go t.run(in)
	return nil
}

// run serves the connections of one incarnation.
func (t *Target) run(in *incarnation) {
	defer t.group.Done()
	server := &fasthttp.Server{
		Handler:            handler{target: t, incarnation: in}.serve,
		MaxRequestBodySize: maxBodyBytes,
		NoDefaultDate:      true,
		Logger:             discardLogger{},
	}
	_ = server.Serve(in.links) // It returns an error when the listener is closed.
	in.links.wait()
}

// endIncarnation ends the current incarnation at once and resets its connections.
func (t *Target) endIncarnation() {
	t.mutex.Lock()
	in := t.current
	t.current = nil
	t.mutex.Unlock()
	if in != nil {
		in.cancel()
		in.links.kill()
	}
}

// discardLogger discards the server's messages about broken connections.
type discardLogger struct{}

// Printf discards the message.
func (discardLogger) Printf(string, ...any) {}
