package emul

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"bergamotworks/engine"
)

// orderState is the state that engine orders change.
type orderState struct {
	model        string
	role         string
	adapters     map[string]bool
	fencingToken int64
}

// reportLoad responds with a load report in which the numbers of running and
// waiting calls are one report lag old and everything else is current.
func (h handler) reportLoad(ctx *fasthttp.RequestCtx) {
	t := h.target
	t.mutex.Lock()
	report := h.incarnation.engine.report(t.Clock.Now().Add(-t.reportLag()))
	report.Incarnation = t.incarnations
	report.Model, report.Role, report.FencingToken = t.state.model, t.state.role, t.state.fencingToken
	report.Adapters = slices.Sorted(maps.Keys(t.state.adapters))
	t.mutex.Unlock()
	writeJSON(ctx, report)
}

func (t *Target) reportLag() time.Duration {
	if t.ReportLag == 0 {
		return defaultReportLag
	}
	return t.ReportLag
}

// reportCacheEvents responds with the cache events after a sequence number.
func (h handler) reportCacheEvents(ctx *fasthttp.RequestCtx) {
	since, _ := strconv.ParseInt(string(ctx.QueryArgs().Peek("since")), 10, 64)
	h.target.mutex.Lock()
	events := h.incarnation.engine.cache.eventsSince(since)
	h.target.mutex.Unlock()
	writeJSON(ctx, events)
}

// executeOrder executes an engine order. Only a service that is configured to
// reject stale fencing tokens compares the token with the highest one so far.
func (h handler) executeOrder(ctx *fasthttp.RequestCtx) {
	var body engine.OrderBody
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	fencingToken, _ := strconv.ParseInt(string(ctx.Request.Header.Peek(engine.HeaderFencingToken)), 10, 64)
	t := h.target
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.Service.RejectsStaleTokens && fencingToken < t.state.fencingToken {
		t.counts.OrdersRejected++
		ctx.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	if !t.state.apply(string(ctx.Path()), body) {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	t.state.fencingToken = max(t.state.fencingToken, fencingToken)
	t.counts.OrdersExecuted++
}

// apply changes the state according to an order. It reports false for an unknown
// path.
func (o *orderState) apply(path string, body engine.OrderBody) bool {
	if o.adapters == nil {
		o.adapters = make(map[string]bool)
	}
	switch path {
	case engine.PathLoadAdapter:
		o.adapters[body.Adapter] = true
	case engine.PathUnloadAdapter:
		delete(o.adapters, body.Adapter)
	case engine.PathLoadModel:
		o.model = body.Model
	case engine.PathChangeRole:
		o.role = body.Role
	default:
		return false
	}
	return true
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
