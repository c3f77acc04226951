package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"bergamotworks/fault"
	"bergamotworks/flow"
	"bergamotworks/gate"
	"bergamotworks/note"
	"bergamotworks/ports"
)

// Flow runs requests. Package flow implements it.
type Flow interface {
	// Serve runs a request and returns the whole response. It calls onChunk,
	// which may be nil, for each chunk in order before it returns.
	Serve(ctx context.Context, request flow.Request, onChunk func(flow.Chunk)) (flow.Response, error)
}

// Server is the HTTP server for clients. Set the exported fields before
// [Server.Run].
type Server struct {
	Listener net.Listener
	Flow     Flow
	Config   func() note.Config
	// Ready returns nil if the load balancer may send new requests to this
	// node, otherwise an error with the reason. It determines /readyz.
	Ready func() error
	// Accepts returns nil if new requests are accepted, otherwise an error with
	// the reason.
	Accepts func() error
	// KeyTime returns the creation time of an idempotency key. The arguments
	// are the values of the two idempotency headers; created may be empty. It
	// returns a fault.Invalid error if the time cannot be determined.
	KeyTime func(key, created string) (time.Time, error)
	Clock   ports.Clock
	Random  ports.Random
	Log     *logrus.Entry
	Metrics *metrics.Set

	once        sync.Once
	http        *fasthttp.Server
	disconnects disconnectWatcher
	base        context.Context // Parent of the contexts of all requests.
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup
	inFlight    gate.Gate // Requests whose response is not complete.
}

const (
	idleTimeout  = 60 * time.Second
	readTimeout  = 30 * time.Second
	writeTimeout = 30 * time.Second
	maxBodyBytes = 16 << 20 // A request with a longer body is rejected while it is read.
)

func (s *Server) init() {
	s.base, s.cancel = context.WithCancel(context.Background())
	s.disconnects.clock = s.Clock
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.writeReadError,
		Name:                  "bergamotworks",
		IdleTimeout:           idleTimeout,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		MaxRequestBodySize:    maxBodyBytes,
		Logger:                s.Log,
		NoDefaultServerHeader: false,
	}
}

// Run serves requests until ctx is done or the server is closed. It returns nil
// in both cases, and the error if the listener fails.
func (s *Server) Run(ctx context.Context) error {
	s.once.Do(s.init)
	stop := context.AfterFunc(ctx, s.stop)
	defer stop()
	s.goroutines.Add(1)
	go s.loop()
	err := s.http.Serve(s.Listener)
	if err == nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// Drain stops accepting connections and waits until the requests that were
// accepted have responses. It returns an error if ctx is done earlier; it does
// not cancel the requests that are then in flight. Close must be called
// afterwards.
func (s *Server) Drain(ctx context.Context) error {
	s.once.Do(s.init)
	err := s.http.ShutdownWithContext(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	return nil
}

// Close cancels all requests, and waits for their responses and for the
// goroutines of the server.
func (s *Server) Close() error {
	s.stop()
	s.inFlight.Close()
	s.goroutines.Wait()
	return nil
}

func (s *Server) stop() {
	s.once.Do(s.init)
	_ = s.Listener.Close()
	s.cancel()
}

// loop cancels requests whose clients have disconnected.
func (s *Server) loop() {
	defer s.goroutines.Done()
	for {
		select {
		case <-s.base.Done():
			return
		case <-s.Clock.After(watchInterval):
			s.disconnects.sweep()
		}
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if !s.inFlight.TryAdd() {
		ctx.SetConnectionClose()
		s.writeError(ctx, "", fault.New(fault.Unavailable, fault.NotRun, "the node has stopped"))
		return
	}
	defer s.inFlight.Done()
	path := string(ctx.Path())
	switch {
	case path == "/healthz":
		ctx.SetBodyString("ok\n")
	case path == "/readyz":
		s.serveReadiness(ctx)
	case !strings.HasPrefix(path, pipelinePrefix):
		s.writeError(ctx, "", fault.New(fault.NotFound, fault.NotRun, "no resource %s", path).WithField("path"))
	case !ctx.IsPost():
		s.writeError(ctx, "", fault.InvalidField("method", "%s is not POST", ctx.Method()))
	default:
		s.serve(ctx)
	}
}

func (s *Server) serveReadiness(ctx *fasthttp.RequestCtx) {
	if err := s.Ready(); err != nil {
		s.writeError(ctx, "", err)
		return
	}
	ctx.SetBodyString("ready\n")
}

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	if err := s.Accepts(); err != nil {
		s.writeError(ctx, "", err)
		return
	}
	now := s.Clock.Now()
	request, err := s.parseRequest(ctx, now)
	if err != nil {
		s.writeError(ctx, request.ID, err)
		return
	}
	if request.Stream {
		s.serveStream(ctx, request)
		return
	}
	s.serveJSON(ctx, request)
}

func (s *Server) serveJSON(ctx *fasthttp.RequestCtx, request flow.Request) {
	requestCtx, cancel := context.WithCancel(s.base)
	defer cancel()
	defer s.disconnects.add(ctx.Conn(), cancel)()
	response, err := s.Flow.Serve(requestCtx, request, nil)
	if err != nil {
		s.writeError(ctx, request.ID, err)
		return
	}
	s.recordSuccess(request)
	body, err := json.Marshal(response)
	if err != nil {
		s.writeError(ctx, request.ID, fault.New(fault.Internal, fault.Ran, "encode answer: %s", err))
		return
	}
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(HeaderRequestID, response.RequestID)
	ctx.SetBody(body)
}

func (s *Server) writeError(ctx *fasthttp.RequestCtx, requestID string, err error) {
	problem := NewProblem(s.withJitter(err), requestID)
	problem.Write(ctx)
	s.Metrics.GetOrCreateCounter(fmt.Sprintf("entry_refused_total{kind=%q,verdict=%q}", problem.Kind, problem.Verdict)).Inc()
	s.Log.WithFields(logrus.Fields{
		"request_id": requestID, "kind": problem.Kind.String(), "verdict": problem.Verdict.String(), "field": problem.Field,
	}).Debug("request failed")
}

func (s *Server) recordSuccess(request flow.Request) {
	s.Metrics.GetOrCreateCounter("entry_answered_total").Inc()
	s.Log.WithFields(logrus.Fields{"request_id": request.ID, "pipeline": request.Pipeline}).Debug("answered")
}

// withJitter adds a random time, less than the Retry-After itself, to the
// Retry-After of an error, so that clients that were rejected together do not
// retry together.
func (s *Server) withJitter(err error) error {
	fe := fault.From(err)
	if fe.RetryAfter <= 0 {
		return fe
	}
	jitter := time.Duration(s.Random.Uint64() % uint64(fe.RetryAfter))
	return fe.WithRetryAfter(fe.RetryAfter + jitter)
}

// writeReadError responds to requests that could not be read or parsed as HTTP.
func (s *Server) writeReadError(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		s.writeError(ctx, "", fault.New(fault.TooLarge, fault.NotRun, "body is longer than %d bytes", maxBodyBytes).WithField("body"))
		return
	}
	s.writeError(ctx, "", fault.InvalidField("request", "%s", err))
}
