package store

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

const (
	serverCallTimeout    = 5 * time.Second
	maxRequestBodyBytes  = 2 << 20
	serverIdleTimeout    = 30 * time.Second
	watchProgressPeriod  = time.Second
	serverShutdownPeriod = 3 * time.Second
)

// Server answers calls in the JSON gateway format of etcd v3 from a store, by
// which a [Memory] or [Faults] stands in for the platform's service. Fields are
// set before Listen.
//
// A call whose outcome the store leaves open gets no answer: its connection is
// closed.
type Server struct {
	Store   ports.Store
	Network ports.Network
	Address string // May have port 0; see Listen.

	listener net.Listener
	http     *fasthttp.Server
	once     sync.Once
	ctx      context.Context
	cancel   context.CancelFunc
	err      error // Of the shutdown.
}

// Listen opens the address and returns it with the port that was chosen.
func (s *Server) Listen() (string, error) {
	listener, err := s.Network.Listen(s.Address)
	if err != nil {
		return "", fault.New(fault.Unavailable, fault.NotRun, "listen: %s", err)
	}
	s.listener = listener
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.http = &fasthttp.Server{
		Handler:               s.serve,
		MaxRequestBodySize:    maxRequestBodyBytes,
		IdleTimeout:           serverIdleTimeout,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		Logger:                silentLogger{},
	}
	return listener.Addr().String(), nil
}

// Run serves until the context ends or the server is closed.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.shutdown)
	defer stop()
	err := s.http.Serve(s.listener)
	s.shutdown()
	if err == nil {
		err = s.err
	}
	return err
}

// Close stops the server and waits for its calls.
func (s *Server) Close() error {
	s.shutdown()
	return s.err
}

func (s *Server) shutdown() {
	s.once.Do(func() {
		s.cancel()
		ctx, cancel := context.WithTimeout(context.Background(), serverShutdownPeriod)
		defer cancel()
		s.err = s.http.ShutdownWithContext(ctx)
		// A server that has not begun to serve does not know its listener yet.
		if err := s.listener.Close(); s.err == nil && !errors.Is(err, net.ErrClosed) {
			s.err = err
		}
	})
}

func (s *Server) serve(r *fasthttp.RequestCtx) {
	ctx, cancel := context.WithTimeout(s.ctx, serverCallTimeout)
	defer cancel()
	var answer any
	var err error
	switch string(r.Path()) {
	case pathRange:
		answer, err = handle(ctx, r, s.serveRange)
	case pathTxn:
		answer, err = handle(ctx, r, s.serveTxn)
	case pathGrant:
		answer, err = handle(ctx, r, s.serveGrant)
	case pathKeepAlive:
		answer, err = handle(ctx, r, s.serveKeepAlive)
	case pathRevoke:
		answer, err = handle(ctx, r, s.serveRevoke)
	case pathWatch:
		s.serveWatch(ctx, r)
		return
	default:
		err = fault.New(fault.NotFound, fault.NotRun, "path %s", r.Path())
	}
	s.reply(r, answer, err)
}

func handle[T any](ctx context.Context, r *fasthttp.RequestCtx, serve func(context.Context, T) (any, error)) (any, error) {
	var request T
	if err := json.Unmarshal(r.PostBody(), &request); err != nil {
		return nil, fault.New(fault.Invalid, fault.NotRun, "decode request: %s", err)
	}
	return serve(ctx, request)
}

// reply writes the answer, or closes the connection if the outcome is open.
func (s *Server) reply(r *fasthttp.RequestCtx, answer any, err error) {
	if err != nil && fault.VerdictOf(err) != fault.NotRun {
		r.HijackSetNoResponse(true)
		r.Hijack(func(net.Conn) {})
		return
	}
	if err != nil {
		status, body := answerTo(fault.From(err))
		r.SetStatusCode(status)
		answer = body
	}
	encoded, err := json.Marshal(answer)
	if err != nil {
		r.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	r.SetContentType("application/json")
	r.Response.SetBodyRaw(encoded)
}

// silentLogger drops the messages about connections that clients have closed.
type silentLogger struct{}

func (silentLogger) Printf(string, ...any) {}
