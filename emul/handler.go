package emul

import (
	"bytes"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"bergamotworks/engine"
	"bergamotworks/note"
)

// handler serves the calls to one incarnation.
type handler struct {
	target      *Target
	incarnation *incarnation
}

// callRequest is the body of a call to a service that does not generate text.
type callRequest struct {
	Input    json.RawMessage `json:"input"`
	Previous json.RawMessage `json:"previous"`
}

func (h handler) serve(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.SetBytesV(engine.HeaderRequestID, ctx.Request.Header.Peek(engine.HeaderRequestID))
	if isOpaque(ctx) {
		h.serveRoute(ctx)
		return
	}
	switch string(ctx.Path()) {
	case "/v1/completions":
		h.serveCompletion(ctx)
	case "/v1/embeddings":
		h.serveCall(ctx, note.Encode)
	case "/v1/search":
		h.serveCall(ctx, note.Retrieve)
	case "/v1/rerank":
		h.serveCall(ctx, note.Rerank)
	case "/v1/call":
		h.serveCall(ctx, note.Plain)
	case "/load":
		h.reportLoad(ctx)
	case "/kv_events":
		h.reportCacheEvents(ctx)
	default:
		h.executeOrder(ctx)
	}
}

// execution is a call that the target has admitted.
type execution struct {
	handler handler
	key     workKey
	attempt string
	started time.Time
	due     time.Time // Scheduled end of the work simulated so far.
	cached  float64   // Share of the prompt that was cached.
}

// admit starts a call and returns its execution. It reports false if it rejected
// the call or crashed the target. The text is the prompt or other input, which
// identifies the request and is looked up in the prefix cache.
func (h handler) admit(ctx *fasthttp.RequestCtx, text string) (execution, bool) {
	t := h.target
	t.mutex.Lock()
	now := t.Clock.Now()
	if t.poisonText != "" && bytes.Contains(ctx.PostBody(), []byte(t.poisonText)) {
		t.counts.PoisonCrashes++
		t.mutex.Unlock()
		return h.crash(ctx)
	}
	result, beyond := h.incarnation.engine.admit(now)
	if t.rejecting || result == rejected {
		t.counts.Rejected++
		t.mutex.Unlock()
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return execution{}, false
	}
	t.countViolations(h.incarnation, now, beyond)
	if result == crashed {
		t.counts.OverloadCrashes++
		t.mutex.Unlock()
		return h.crash(ctx)
	}
	r := h.start(ctx, text, now)
	t.mutex.Unlock()
	t.Costs.begin(r.key, t.NonIdempotent || len(ctx.Request.Header.Peek(engine.HeaderIdempotencyKey)) > 0)
	return r, true
}

// start records the start of a call. The target's mutex must be held.
func (h handler) start(ctx *fasthttp.RequestCtx, text string, now time.Time) execution {
	t := h.target
	attempt := string(ctx.Request.Header.Peek(engine.HeaderRequestID))
	t.attempts[attempt]++
	if t.attempts[attempt] > 1 {
		t.counts.RepeatedAttempts++
	}
	hit := h.incarnation.engine.cache.insert(text)
	if hit > 0 {
		t.counts.CacheHits++
	}
	h.incarnation.engine.start(now)
	t.counts.Calls++
	t.counts.MaxRunning = max(t.counts.MaxRunning, h.incarnation.engine.running)
	key := workKey{request: RequestName(text), service: t.ServiceName}
	return execution{handler: h, key: key, attempt: attempt, started: now, due: now, cached: hit}
}

// countViolations counts a call above the cold limit or after a drain, which was
// admitted or crashes the target by overload.
func (t *Target) countViolations(in *incarnation, now time.Time, beyond bool) {
	switch {
	case beyond && in.engine.inColdGrace(now):
		t.counts.BeyondColdLimitInGrace++
	case beyond:
		t.counts.BeyondColdLimit++
	}
	if t.drainedAt.IsZero() {
		return
	}
	elapsed := now.Sub(t.drainedAt)
	t.counts.LatestAfterDrain = max(t.counts.LatestAfterDrain, elapsed)
	if elapsed > drainGrace {
		t.counts.AfterDrain++
	}
}

// crash crashes the target and drops the connection of the call that caused it.
func (h handler) crash(ctx *fasthttp.RequestCtx) (execution, bool) {
	h.target.crash(h.incarnation)
	dropConnection(ctx)
	return execution{}, false
}

// dropConnection closes the connection of a call without a response, since an
// incarnation that has ended must not send one. Without the hijack the server
// would send an empty response.
func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() }) // The connection is unusable in any case.
}

// serveCall executes a call whose response is not streamed.
func (h handler) serveCall(ctx *fasthttp.RequestCtx, kind note.StageKind) {
	var body callRequest
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	r, ok := h.admit(ctx, string(body.Input))
	if !ok {
		return
	}
	if !r.execute(ctx, h.target.Service.TypicalLatency()) {
		return
	}
	output := Output(kind, body.Input, body.Previous, 0)
	ctx.SetContentType("application/json")
	ctx.SetBodyString(`{"id":` + strconv.Quote(r.attempt) + `,"output":` + string(output) + `}`)
}

// execute simulates the whole work of a call that takes the given time at normal
// speed. If the incarnation ends first, it drops the connection and reports false.
func (r *execution) execute(ctx *fasthttp.RequestCtx, typical time.Duration) bool {
	alive := r.simulate(typical)
	r.finish(alive, 0)
	if !alive {
		dropConnection(ctx)
	}
	return alive
}

// simulate waits for the time that the work takes under the current load. The
// time counts from the scheduled end of the previous work, so that the delays of
// timers do not add up. It reports false if the incarnation ended.
func (r *execution) simulate(typical time.Duration) bool {
	t := r.handler.target
	t.mutex.Lock()
	factor := t.slowdown * r.handler.incarnation.engine.slowdown()
	t.mutex.Unlock()
	r.due = r.due.Add(time.Duration(float64(typical) * factor))
	wait := r.due.Sub(t.Clock.Now())
	if wait <= 0 {
		return r.handler.incarnation.context.Err() == nil
	}
	select {
	case <-r.handler.incarnation.context.Done():
		return false
	case <-t.Clock.After(wait):
		return true
	}
}

// finish records the end of a call.
func (r execution) finish(completed bool, tokens int) {
	t := r.handler.target
	t.mutex.Lock()
	now := t.Clock.Now()
	busy := now.Sub(r.started)
	r.handler.incarnation.engine.finish(now, completed)
	t.counts.Busy += busy
	t.counts.Tokens += tokens
	if completed {
		t.counts.Completed++
	} else {
		t.counts.Canceled++
	}
	t.mutex.Unlock()
	t.Costs.end(r.key, busy, tokens)
}
