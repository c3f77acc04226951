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

// orderState is what engine orders change.
type orderState struct {
	model    string
	role     string
	adapters map[string]bool
	fence    int64
}

// load answers with the load as it was some time ago.
func (h handler) load(ctx *fasthttp.RequestCtx) {
	t := h.target
	t.mutex.Lock()
	report := h.life.batch.report(t.Clock.Now().Add(-t.reportLag()))
	report.Incarnation = t.incarnation
	report.Model, report.Role, report.Fence = t.state.model, t.state.role, t.state.fence
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

// cacheEvents answers with the cache events after a sequence number.
func (h handler) cacheEvents(ctx *fasthttp.RequestCtx) {
	since, _ := strconv.ParseInt(string(ctx.QueryArgs().Peek("since")), 10, 64)
	h.target.mutex.Lock()
	events := h.life.batch.cache.since(since)
	h.target.mutex.Unlock()
	writeJSON(ctx, events)
}

// order obeys an engine order. An old fencing number is refused only by
// services that look at it.
func (h handler) order(ctx *fasthttp.RequestCtx) {
	var order engine.Order
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	fence, _ := strconv.ParseInt(string(ctx.Request.Header.Peek(engine.HeaderFencingToken)), 10, 64)
	t := h.target
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.Service.RefusesOldFences && fence < t.state.fence {
		t.counts.OrdersRefused++
		ctx.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	if !t.state.obey(string(ctx.Path()), order.Subject) {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	t.state.fence = max(t.state.fence, fence)
	t.counts.OrdersObeyed++
}

// obey changes the state; it reports false for an unknown path.
func (o *orderState) obey(path, subject string) bool {
	if o.adapters == nil {
		o.adapters = make(map[string]bool)
	}
	switch path {
	case "/v1/load_lora_adapter":
		o.adapters[subject] = true
	case "/v1/unload_lora_adapter":
		delete(o.adapters, subject)
	case "/v1/load_model":
		o.model = subject
	case "/v1/role":
		o.role = subject
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
