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

// Flow runs requests.
type Flow interface {
	// Serve runs a request and returns its whole answer. Chunks arrive in
	// order, before Serve returns.
	Serve(ctx context.Context, request flow.Request, onChunk func(flow.Chunk)) (flow.Response, error)
}

// Server serves callers. The exported fields are set before [Server.Run].
type Server struct {
	Listener net.Listener
	Flow     Flow
	Config   func() note.Config
	// Ready returns nil if the balancer may send new work, else the reason.
	Ready func() error
	// Accepts returns nil if new work may start, else the reason.
	Accepts func() error
	// KeyTime returns the creation time of an idempotency key.
	KeyTime func(key, created string) (time.Time, error)
	Clock   ports.Clock
	Random  ports.Random
	Log     *logrus.Entry
	Metrics *metrics.Set

	once    sync.Once
	http    *fasthttp.Server
	watch   watcher
	base    context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	active  gate.Gate // Requests between acceptance and answer.
}

const (
	idleTimeout  = 60 * time.Second
	readTimeout  = 30 * time.Second
	writeTimeout = 30 * time.Second
	maxBodyBytes = 16 << 20 // Bodies over this are refused while they are read.
)

func (s *Server) init() {
	s.base, s.cancel = context.WithCancel(context.Background())
	s.watch.clock = s.Clock
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.refuseUnread,
		Name:                  "bergamotworks",
		IdleTimeout:           idleTimeout,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		MaxRequestBodySize:    maxBodyBytes,
		Logger:                s.Log,
		NoDefaultServerHeader: false,
	}
}

// Run serves until the context ends or the server is closed.
func (s *Server) Run(ctx context.Context) error {
	s.once.Do(s.init)
	stop := context.AfterFunc(ctx, s.stop)
	defer stop()
	s.running.Add(1)
	go s.loop()
	err := s.http.Serve(s.Listener)
	if err == nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// Drain waits until the requests that have been accepted are answered, or
// until the context ends.
func (s *Server) Drain(ctx context.Context) error {
	s.once.Do(s.init)
	err := s.http.ShutdownWithContext(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	return nil
}

// Close ends the server and waits for its goroutines.
func (s *Server) Close() error {
	s.stop()
	s.active.Close()
	s.running.Wait()
	return nil
}

func (s *Server) stop() {
	s.once.Do(s.init)
	_ = s.Listener.Close()
	s.cancel()
}

// loop cancels the requests whose callers have closed their connections.
func (s *Server) loop() {
	defer s.running.Done()
	for {
		select {
		case <-s.base.Done():
			return
		case <-s.Clock.After(watchInterval):
			s.watch.sweep()
		}
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if !s.active.TryAdd() {
		ctx.SetConnectionClose()
		s.refuse(ctx, "", fault.New(fault.Unavailable, fault.NotRun, "the node has stopped"))
		return
	}
	defer s.active.Done()
	path := string(ctx.Path())
	switch {
	case path == "/healthz":
		ctx.SetBodyString("ok\n")
	case path == "/readyz":
		s.serveReadiness(ctx)
	case !strings.HasPrefix(path, pipelinePrefix):
		s.refuse(ctx, "", fault.New(fault.NotFound, fault.NotRun, "no resource %s", path).WithField("path"))
	case !ctx.IsPost():
		s.refuse(ctx, "", fault.InvalidField("method", "%s is not POST", ctx.Method()))
	default:
		s.serve(ctx)
	}
}

func (s *Server) serveReadiness(ctx *fasthttp.RequestCtx) {
	if err := s.Ready(); err != nil {
		s.refuse(ctx, "", err)
		return
	}
	ctx.SetBodyString("ready\n")
}

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	if err := s.Accepts(); err != nil {
		s.refuse(ctx, "", err)
		return
	}
	now := s.Clock.Now()
	request, err := s.check(ctx, now)
	if err != nil {
		s.refuse(ctx, request.ID, err)
		return
	}
	if request.Stream {
		s.serveStream(ctx, request)
		return
	}
	s.serveWhole(ctx, request)
}

func (s *Server) serveWhole(ctx *fasthttp.RequestCtx, request flow.Request) {
	work, cancel := context.WithCancel(s.base)
	defer cancel()
	defer s.watch.add(ctx.Conn(), cancel)()
	answer, err := s.Flow.Serve(work, request, nil)
	if err != nil {
		s.refuse(ctx, request.ID, err)
		return
	}
	s.answered(request)
	body, err := json.Marshal(answer)
	if err != nil {
		s.refuse(ctx, request.ID, fault.New(fault.Internal, fault.Ran, "encode answer: %s", err))
		return
	}
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(HeaderRequestID, answer.RequestID)
	ctx.SetBody(body)
}

func (s *Server) refuse(ctx *fasthttp.RequestCtx, requestID string, err error) {
	problem := NewProblem(s.jitter(err), requestID)
	problem.Write(ctx)
	s.Metrics.GetOrCreateCounter(fmt.Sprintf("entry_refused_total{kind=%q,verdict=%q}", problem.Kind, problem.Verdict)).Inc()
	s.Log.WithFields(logrus.Fields{
		"request_id": requestID, "kind": problem.Kind.String(), "verdict": problem.Verdict.String(), "field": problem.Field,
	}).Debug("refused")
}

func (s *Server) answered(request flow.Request) {
	s.Metrics.GetOrCreateCounter("entry_answered_total").Inc()
	s.Log.WithFields(logrus.Fields{"request_id": request.ID, "pipeline": request.Pipeline}).Debug("answered")
}

// jitter spreads the retries of callers that were refused together.
func (s *Server) jitter(err error) error {
	fe := fault.From(err)
	if fe.RetryAfter <= 0 {
		return fe
	}
	spread := time.Duration(s.Random.Uint64() % uint64(fe.RetryAfter))
	return fe.WithRetryAfter(fe.RetryAfter + spread)
}

// refuseUnread answers requests that could not be read.
func (s *Server) refuseUnread(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		s.refuse(ctx, "", fault.New(fault.TooLarge, fault.NotRun, "body is longer than %d bytes", maxBodyBytes).WithField("body"))
		return
	}
	s.refuse(ctx, "", fault.InvalidField("request", "%s", err))
}
