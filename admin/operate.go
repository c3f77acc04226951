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

// History lists accepted release notes. Package conf implements it.
type History interface {
	// History returns the accepted notes, the oldest first.
	History(ctx context.Context) ([]conf.HistoryEntry, error)
}

// Orders gives access to the orders to engines. Package order implements it.
type Orders interface {
	// Records returns the latest order to each target.
	Records(ctx context.Context) ([]order.Record, error)
	// Abandon resolves an order whose outcome is unknown. The operator must
	// make sure that its issuer will never send it. It fails with
	// fault.Conflict unless the fencing token is that of the order.
	Abandon(ctx context.Context, target string, fencingToken int64) error
}

// AbandonRequest identifies the engine order with an unknown outcome that an
// operator abandons, by its target and fencing token. It is also the response.
type AbandonRequest struct {
	Target       string `json:"target"`
	FencingToken int64  `json:"fence"`
}

func (s *Server) serveHistory(ctx *fasthttp.RequestCtx) {
	serveRead(ctx, s.History.History)
}

func (s *Server) serveOrders(ctx *fasthttp.RequestCtx) {
	serveRead(ctx, s.Orders.Records)
}

func (s *Server) serveAbandon(ctx *fasthttp.RequestCtx) {
	var a AbandonRequest
	if err := json.Unmarshal(ctx.PostBody(), &a); err != nil {
		writeError(ctx, fault.New(fault.Invalid, fault.NotRun, "decode: %s", err))
		return
	}
	if a.Target == "" {
		writeError(ctx, fault.InvalidField("target", "missing"))
		return
	}
	if err := s.Orders.Abandon(ctx, a.Target, a.FencingToken); err != nil {
		writeError(ctx, err)
		return
	}
	s.Log.WithFields(logrus.Fields{"target": a.Target, "fence": a.FencingToken}).Warn("engine order abandoned by an operator")
	writeJSON(ctx, a)
}

// serveRead writes the value or the error that read returns.
func serveRead[T any](ctx *fasthttp.RequestCtx, read func(context.Context) (T, error)) {
	value, err := read(ctx)
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, value)
}
