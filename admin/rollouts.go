package admin

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"bergamotworks/canary"
	"bergamotworks/fault"
	"bergamotworks/site"
)

// Rollouts gives access to the rollouts of versions. Package node implements it.
type Rollouts interface {
	// Start orders the rollout of a version and returns the order as it is stored.
	Start(ctx context.Context, order site.Rollout) (site.Rollout, error)
	// Withdraw ends the rollout of a service and returns its order with the state that
	// is recorded now.
	Withdraw(ctx context.Context, service string) (site.Rollout, error)
	// Statuses returns what this node knows of each order, by service.
	Statuses() []canary.Status
}

// RolloutRequest orders the rollout of a version of a service, or withdraws it. A withdrawal
// names the service only.
type RolloutRequest struct {
	Service string `json:"service"`
	Version string `json:"version,omitempty"`
	SpanMS  int64  `json:"span_ms,omitempty"` // From the order to its deadline, in milliseconds.
}

// handleRollout serves the resources of rollouts. There are no others beside them and those
// of handle.
func (s *Server) handleRollout(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Method()) + " " + string(ctx.Path()) {
	case "GET /v1/rollouts":
		writeJSON(ctx, s.Rollouts.Statuses())
	case "POST /v1/rollouts":
		s.serveStartRollout(ctx)
	case "POST /v1/rollouts/withdraw":
		s.serveWithdrawRollout(ctx)
	default:
		writeError(ctx, fault.New(fault.NotFound, fault.NotRun, "no resource %s %s", ctx.Method(), ctx.Path()))
	}
}

func (s *Server) serveStartRollout(ctx *fasthttp.RequestCtx) {
	s.serveRollout(ctx, "rollout ordered by an operator", func(r RolloutRequest) (site.Rollout, error) {
		return s.Rollouts.Start(ctx, site.Rollout{Service: r.Service, Version: r.Version, Span: time.Duration(r.SpanMS) * time.Millisecond})
	})
}

func (s *Server) serveWithdrawRollout(ctx *fasthttp.RequestCtx) {
	s.serveRollout(ctx, "rollout withdrawn by an operator", func(r RolloutRequest) (site.Rollout, error) {
		return s.Rollouts.Withdraw(ctx, r.Service)
	})
}

// serveRollout decodes a request, changes the order and logs it.
func (s *Server) serveRollout(ctx *fasthttp.RequestCtx, message string, change func(RolloutRequest) (site.Rollout, error)) {
	var r RolloutRequest
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil {
		writeError(ctx, fault.New(fault.Invalid, fault.NotRun, "decode: %s", err))
		return
	}
	order, err := change(r)
	if err != nil {
		writeError(ctx, err)
		return
	}
	s.Log.WithFields(logrus.Fields{
		"service": order.Service, "version": order.Version, "order": order.Revision, "span": order.Span.String(), "state": order.State.String(),
	}).Warn(message)
	writeJSON(ctx, order)
}
