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

// handler serves the calls of one life.
type handler struct {
	target *Target
	life   *life
}

// callRequest is the body of a call to a service that is no model engine.
type callRequest struct {
	Input    json.RawMessage `json:"input"`
	Previous json.RawMessage `json:"previous"`
}

func (h handler) serve(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.SetBytesV(engine.HeaderRequestID, ctx.Request.Header.Peek(engine.HeaderRequestID))
	if opaque(ctx) {
		h.route(ctx)
		return
	}
	switch string(ctx.Path()) {
	case "/v1/completions":
		h.completion(ctx)
	case "/v1/embeddings":
		h.call(ctx, note.Encode)
	case "/v1/search":
		h.call(ctx, note.Retrieve)
	case "/v1/rerank":
		h.call(ctx, note.Rerank)
	case "/v1/call":
		h.call(ctx, note.Plain)
	case "/load":
		h.load(ctx)
	case "/kv_events":
		h.cacheEvents(ctx)
	default:
		h.order(ctx)
	}
}

// run is a call that the target has admitted.
type run struct {
	handler handler
	key     workKey
	attempt string
	started time.Time
	due     time.Time // Time at which the work so far is done.
	cached  float64   // Share of the prompt that was cached.
}

// admit starts a call, or answers that it does not run. Text is what the
// target computes on.
func (h handler) admit(ctx *fasthttp.RequestCtx, text string) (run, bool) {
	t := h.target
	t.mutex.Lock()
	now := t.Clock.Now()
	if t.poison != "" && bytes.Contains(ctx.PostBody(), []byte(t.poison)) {
		t.counts.PoisonCrashes++
		t.mutex.Unlock()
		return h.fall(ctx)
	}
	result, beyond := h.life.batch.admit(now)
	if t.refuse || result == refused {
		t.counts.Refused++
		t.mutex.Unlock()
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return run{}, false
	}
	t.countStart(h.life, now, beyond)
	if result == collapsed {
		t.counts.OverloadCrashes++
		t.mutex.Unlock()
		return h.fall(ctx)
	}
	r := h.begin(ctx, text, now)
	t.mutex.Unlock()
	t.Costs.begin(r.key, t.NonIdempotent || len(ctx.Request.Header.Peek(engine.HeaderIdempotencyKey)) > 0)
	return r, true
}

// begin enters a call into the batch, under the target's mutex.
func (h handler) begin(ctx *fasthttp.RequestCtx, text string, now time.Time) run {
	t := h.target
	attempt := string(ctx.Request.Header.Peek(engine.HeaderRequestID))
	t.attempts[attempt]++
	if t.attempts[attempt] > 1 {
		t.counts.RepeatedAttempts++
	}
	hit := h.life.batch.cache.use(text)
	if hit > 0 {
		t.counts.CacheHits++
	}
	h.life.batch.start(now)
	t.counts.Calls++
	t.counts.MaxRunning = max(t.counts.MaxRunning, h.life.batch.running)
	key := workKey{request: RequestOf(text), service: t.ServiceName}
	return run{handler: h, key: key, attempt: attempt, started: now, due: now, cached: hit}
}

// countStart checks a start against the cold limit and a departure.
func (t *Target) countStart(l *life, now time.Time, beyond bool) {
	switch {
	case beyond && l.batch.inGrace(now):
		t.counts.BeyondColdLimitInGrace++
	case beyond:
		t.counts.BeyondColdLimit++
	}
	if t.departed.IsZero() {
		return
	}
	late := now.Sub(t.departed)
	t.counts.LatestAfterDrain = max(t.counts.LatestAfterDrain, late)
	if late > departureGrace {
		t.counts.AfterDrain++
	}
}

// fall crashes the target under a call.
func (h handler) fall(ctx *fasthttp.RequestCtx) (run, bool) {
	h.target.crash(h.life)
	breakOff(ctx)
	return run{}, false
}

// breakOff closes the connection of a call without an answer. A life that has
// ended must not send one, and the server would send an empty one otherwise.
func breakOff(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() }) // The connection ends either way.
}

// call runs a call whose answer comes as a whole.
func (h handler) call(ctx *fasthttp.RequestCtx, kind note.StageKind) {
	var body callRequest
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	r, ok := h.admit(ctx, string(body.Input))
	if !ok {
		return
	}
	if !r.complete(ctx, h.target.Service.TypicalLatency()) {
		return
	}
	output := Output(kind, body.Input, body.Previous, 0)
	ctx.SetContentType("application/json")
	ctx.SetBodyString(`{"id":` + strconv.Quote(r.attempt) + `,"output":` + string(output) + `}`)
}

// complete does all the work of a call. It reports false if the life ended, and
// has broken off the answer then.
func (r *run) complete(ctx *fasthttp.RequestCtx, usual time.Duration) bool {
	alive := r.work(usual)
	r.finish(alive, 0)
	if !alive {
		breakOff(ctx)
	}
	return alive
}

// work takes the time that the work needs under the present load. The time is
// counted from the end of the work before, so that late wake-ups of the machine
// do not add up. It reports false if the life ended.
func (r *run) work(usual time.Duration) bool {
	t := r.handler.target
	t.mutex.Lock()
	factor := t.slow * r.handler.life.batch.factor()
	t.mutex.Unlock()
	r.due = r.due.Add(time.Duration(float64(usual) * factor))
	wait := r.due.Sub(t.Clock.Now())
	if wait <= 0 {
		return r.handler.life.context.Err() == nil
	}
	select {
	case <-r.handler.life.context.Done():
		return false
	case <-t.Clock.After(wait):
		return true
	}
}

// finish counts the end of a call.
func (r run) finish(whole bool, tokens int) {
	t := r.handler.target
	t.mutex.Lock()
	now := t.Clock.Now()
	busy := now.Sub(r.started)
	r.handler.life.batch.finish(now, whole)
	t.counts.Busy += busy
	t.counts.Tokens += tokens
	if whole {
		t.counts.Completed++
	} else {
		t.counts.Canceled++
	}
	t.mutex.Unlock()
	t.Costs.end(r.key, busy, tokens)
}
