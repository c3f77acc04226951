package serve

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
)

const (
	readyTimeout = 5 * time.Second
	readyIdle    = 30 * time.Second
	metricsPath  = "/metrics"
)

// readiness tells balancers whether the node takes new callers.
type readiness struct {
	node     *Node
	listener net.Listener
	server   *fasthttp.Server
	metrics  *fasthttp.Server
	was      bool
}

func (r *readiness) run(ctx context.Context) error {
	r.server = &fasthttp.Server{Handler: r.answer, ReadTimeout: readyTimeout, IdleTimeout: readyIdle, NoDefaultServerHeader: true}
	stop := context.AfterFunc(ctx, func() { _ = r.listener.Close() }) // Serve returns either way.
	defer stop()
	if err := r.serveMetrics(); err != nil {
		return err
	}
	err := r.server.Serve(r.listener)
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// serveMetrics opens the metrics address, if there is one.
func (r *readiness) serveMetrics() error {
	if r.node.Settings.MetricsListen == "" {
		return nil
	}
	listener, err := r.node.Network.Listen(r.node.Settings.MetricsListen)
	if err != nil {
		return trace.Wrap(err)
	}
	r.metrics = &fasthttp.Server{Handler: r.writeMetrics, ReadTimeout: readyTimeout, IdleTimeout: readyIdle}
	m := metricsRun{readiness: r, listener: listener}
	go m.run()
	return nil
}

// metricsRun serves the metrics address.
type metricsRun struct {
	readiness *readiness
	listener  net.Listener
}

func (m metricsRun) run() {
	if err := m.readiness.metrics.Serve(m.listener); err != nil {
		m.readiness.node.Log.WithField("error", err.Error()).Warn("metrics are not served")
	}
}

func (r *readiness) writeMetrics(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != metricsPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.SetContentType("text/plain; charset=utf-8")
	r.node.Metrics.WritePrometheus(ctx)
	metrics.WriteProcessMetrics(ctx)
}

// answer reports readiness at any path.
func (r *readiness) answer(ctx *fasthttp.RequestCtx) {
	ready, reason := r.node.Ready()
	if ready != r.was {
		r.was = ready
		r.node.Log.WithField("ready", ready).WithField("reason", reason).Info("readiness changed")
	}
	if !ready {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString(reason)
	}
}

// Close ends both servers.
func (r *readiness) Close() error {
	var errs []error
	for _, s := range []*fasthttp.Server{r.server, r.metrics} {
		if s == nil {
			continue
		}
		if err := s.Shutdown(); !errors.Is(err, net.ErrClosed) {
			errs = append(errs, err)
		}
	}
	_ = r.listener.Close() // It may be closed already.
	return trace.NewAggregate(errs...)
}
