package serve

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"bergamotworks/canary"
)

const (
	readyTimeout     = 5 * time.Second
	readyIdleTimeout = 30 * time.Second
	metricsPath      = "/metrics"
	rolloutsPath     = "/v1/rollouts"
)

// readiness reports to load balancers over HTTP whether the node is ready, and
// serves the metrics at another address.
type readiness struct {
	node      *Node
	listener  net.Listener
	server    *fasthttp.Server
	metrics   *fasthttp.Server
	lastReady bool
}

func (r *readiness) run(ctx context.Context) error {
	r.server = &fasthttp.Server{Handler: r.handle, ReadTimeout: readyTimeout, IdleTimeout: readyIdleTimeout, NoDefaultServerHeader: true}
	stop := context.AfterFunc(ctx, func() { _ = r.listener.Close() }) // Serve returns even if this fails.
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

// serveMetrics starts to serve metrics if an address for them is set.
func (r *readiness) serveMetrics() error {
	if r.node.Settings.MetricsListen == "" {
		return nil
	}
	listener, err := r.node.listen(r.node.Settings.MetricsListen)
	if err != nil {
		return err
	}
	r.metrics = &fasthttp.Server{Handler: r.writeMetrics, ReadTimeout: readyTimeout, IdleTimeout: readyIdleTimeout}
	m := metricsServer{readiness: r, listener: listener}
	go m.run()
	return nil
}

// metricsServer serves the metrics on a listener of its own.
type metricsServer struct {
	readiness *readiness
	listener  net.Listener
}

func (m metricsServer) run() {
	if err := m.readiness.metrics.Serve(m.listener); err != nil {
		m.readiness.node.Log.WithField("error", err.Error()).Warn("metrics server failed")
	}
}

func (r *readiness) writeMetrics(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case metricsPath:
	case rolloutsPath:
		r.writeRollouts(ctx)
		return
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.SetContentType("text/plain; charset=utf-8")
	r.node.Metrics.WritePrometheus(ctx)
	metrics.WriteProcessMetrics(ctx)
}

// writeRollouts writes what the node knows of each rollout as JSON.
func (r *readiness) writeRollouts(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("application/json")
	statuses := append([]canary.Status{}, r.node.rollouts.Statuses()...)
	if err := json.NewEncoder(ctx).Encode(statuses); err != nil {
		r.node.Log.WithField("error", err.Error()).Warn("failed to write the rollouts")
	}
}

// handle reports readiness at any path: status 200, or 503 with the reason.
func (r *readiness) handle(ctx *fasthttp.RequestCtx) {
	ready, reason := r.node.Ready()
	if ready != r.lastReady {
		r.lastReady = ready
		r.node.Log.WithField("ready", ready).WithField("reason", reason).Info("readiness changed")
	}
	if !ready {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString(reason)
	}
}

// Close shuts both servers down and waits for their requests.
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
