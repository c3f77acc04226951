package admin

import (
	"context"
	"encoding/json"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"bergamotworks/conf"
	"bergamotworks/fault"
	"bergamotworks/order"
)

// History lists accepted release notes.
type History interface {
	// History returns the accepted notes, the oldest first.
	History(ctx context.Context) ([]conf.HistoryEntry, error)
}

// Orders gives access to the engine orders.
type Orders interface {
	// Records returns the last order to each target.
	Records(ctx context.Context) ([]order.Record, error)
	// Abandon closes an open order whose issuer is gone.
	Abandon(ctx context.Context, target string, fence int64) error
}

// AbandonRequest names an open engine order that an operator gives up.
type AbandonRequest struct {
	Target string `json:"target"`
	Fence  int64  `json:"fence"`
}

func (s *Server) serveHistory(ctx *fasthttp.RequestCtx) {
	answer(ctx, s.History.History)
}

func (s *Server) serveOrders(ctx *fasthttp.RequestCtx) {
	answer(ctx, s.Orders.Records)
}

func (s *Server) serveAbandon(ctx *fasthttp.RequestCtx) {
	var a AbandonRequest
	if err := json.Unmarshal(ctx.PostBody(), &a); err != nil {
		refuse(ctx, fault.New(fault.Invalid, fault.NotRun, "decode: %s", err))
		return
	}
	if a.Target == "" {
		refuse(ctx, fault.InvalidField("target", "missing"))
		return
	}
	if err := s.Orders.Abandon(ctx, a.Target, a.Fence); err != nil {
		refuse(ctx, err)
		return
	}
	s.Log.WithFields(logrus.Fields{"target": a.Target, "fence": a.Fence}).Warn("engine order abandoned by an operator")
	reply(ctx, a)
}

// answer replies with what read returns.
func answer[T any](ctx *fasthttp.RequestCtx, read func(context.Context) (T, error)) {
	value, err := read(ctx)
	if err != nil {
		refuse(ctx, err)
		return
	}
	reply(ctx, value)
}
