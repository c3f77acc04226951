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
	serverCallTimeout     = 5 * time.Second // Bounds a call; for a watch, only its opening.
	maxRequestBodyBytes   = 2 << 20
	serverIdleTimeout     = 30 * time.Second
	watchProgressInterval = time.Second // Interval of the progress messages of a watch.
	serverShutdownTimeout = 3 * time.Second
)

// Server serves a store in the JSON gateway format of etcd v3, so that a [Memory]
// or a [FaultInjector] can replace the platform's service. The exported fields
// must be set before Listen, and Listen must be called before Run and Close.
//
// If the outcome of a call is unknown, the server closes the connection without
// a response.
type Server struct {
	Store   ports.Store
	Network ports.Network
	Address string // The port may be 0; see Listen.

	listener net.Listener
	http     *fasthttp.Server
	once     sync.Once
	ctx      context.Context
	cancel   context.CancelFunc
	err      error // The error of the shutdown.
}

// Listen listens on the address and returns the address with the actual port.
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
		Logger:                discardLogger{},
	}
	return listener.Addr().String(), nil
}

// Run serves until the context is canceled or the server is closed. It returns
// the error of serving or of the shutdown.
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

// Close cancels the calls in flight and waits for their responses, for at most
// 3 s. It returns an error if they have not ended by then.
func (s *Server) Close() error {
	s.shutdown()
	return s.err
}

func (s *Server) shutdown() {
	s.once.Do(func() {
		s.cancel()
		ctx, cancel := context.WithTimeout(context.Background(), serverShutdownTimeout)
		defer cancel()
		s.err = s.http.ShutdownWithContext(ctx)
		// Before Serve has been called, ShutdownWithContext does not close the
		// listener.
		if err := s.listener.Close(); s.err == nil && !errors.Is(err, net.ErrClosed) {
			s.err = err
		}
	})
}

func (s *Server) serve(r *fasthttp.RequestCtx) {
	ctx, cancel := context.WithTimeout(s.ctx, serverCallTimeout)
	defer cancel()
	var result any
	var err error
	switch string(r.Path()) {
	case pathRange:
		result, err = handle(ctx, r, s.serveRange)
	case pathTxn:
		result, err = handle(ctx, r, s.serveTxn)
	case pathGrant:
		result, err = handle(ctx, r, s.serveGrant)
	case pathKeepAlive:
		result, err = handle(ctx, r, s.serveKeepAlive)
	case pathRevoke:
		result, err = handle(ctx, r, s.serveRevoke)
	case pathWatch:
		s.serveWatch(ctx, r)
		return
	default:
		err = fault.New(fault.NotFound, fault.NotRun, "path %s", r.Path())
	}
	s.respond(r, result, err)
}

// handle decodes the body of a request and passes it to serve.
func handle[T any](ctx context.Context, r *fasthttp.RequestCtx, serve func(context.Context, T) (any, error)) (any, error) {
	var request T
	if err := json.Unmarshal(r.PostBody(), &request); err != nil {
		return nil, fault.New(fault.Invalid, fault.NotRun, "decode request: %s", err)
	}
	return serve(ctx, request)
}

// respond writes the result or the error, or closes the connection if the
// outcome of the call is unknown.
func (s *Server) respond(r *fasthttp.RequestCtx, result any, err error) {
	if err != nil && fault.VerdictOf(err) != fault.NotRun {
		r.HijackSetNoResponse(true)
		r.Hijack(func(net.Conn) {})
		return
	}
	if err != nil {
		status, body := errorResponse(fault.From(err))
		r.SetStatusCode(status)
		result = body
	}
	encoded, err := json.Marshal(result)
	if err != nil {
		r.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	r.SetContentType("application/json")
	r.Response.SetBodyRaw(encoded)
}

// discardLogger discards messages about connections that clients have closed.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
