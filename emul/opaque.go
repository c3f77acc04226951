package emul

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	work "bergamotworks/batch"
	"bergamotworks/engine"
	"bergamotworks/relay"
)

// opaque reports whether a call belongs to an opaque route.
func opaque(ctx *fasthttp.RequestCtx) bool {
	return len(ctx.Request.Header.Peek(engine.HeaderTarget)) > 0
}

// OpaqueResponse is the answer to an opaque request.
type OpaqueResponse struct {
	Path    string `json:"path"`
	Account string `json:"account,omitempty"`
	Results int    `json:"results"` // Results of stages that came with the request.
	Body    string `json:"body"`
}

// route serves a call of an opaque route.
func (h handler) route(ctx *fasthttp.RequestCtx) {
	if name := string(ctx.Request.Header.Peek(engine.HeaderTarget)); name != h.target.Name {
		ctx.Response.Header.Set(engine.HeaderNotRun, "1")
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	if h.target.Service.Batch == nil {
		h.request(ctx)
		return
	}
	switch string(ctx.Path()) {
	case engine.PathPieces:
		h.pieces(ctx)
	case engine.PathRelease:
		h.free(ctx)
	case engine.PathFreeCapacity:
		writeJSON(ctx, engine.CapacityReport{FreeBytes: &h.target.Service.Batch.ResultCapacityBytes})
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// request answers an opaque request with what arrived.
func (h handler) request(ctx *fasthttp.RequestCtx) {
	names := relay.DefaultHeaderNames()
	id := string(ctx.Request.Header.Peek(names.Request))
	r, ok := h.admit(ctx, id)
	if !ok {
		ctx.Response.Header.Set(names.NotRun, "1")
		return
	}
	if !r.complete(ctx, h.target.Service.TypicalLatency()) {
		return
	}
	ctx.Response.Header.Set(names.Seal, h.target.Name+"/"+id)
	writeJSON(ctx, OpaqueResponse{
		Path: string(ctx.Path()), Account: string(ctx.Request.Header.Peek(names.Account)),
		Results: countHandles(string(ctx.Request.Header.Peek(names.Inputs))), Body: string(ctx.PostBody()),
	})
}

func countHandles(text string) int {
	if text == "" {
		return 0
	}
	return strings.Count(text, ",") + 1
}

// pieces makes a result for each piece whose inputs of this target exist.
func (h handler) pieces(ctx *fasthttp.RequestCtx) {
	var call engine.PieceCall
	if err := json.Unmarshal(ctx.PostBody(), &call); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	r, ok := h.admit(ctx, "")
	if !ok {
		ctx.Response.Header.Set(engine.HeaderNotRun, "1")
		return
	}
	b := h.target.Service.Batch
	if !r.complete(ctx, time.Duration(b.CallMS+b.PieceMS*int64(len(call.Pieces)))*time.Millisecond) {
		return
	}
	answer := engine.PieceResponse{Results: make([]engine.PieceResult, len(call.Pieces))}
	for i, p := range call.Pieces {
		answer.Results[i] = h.makeResult(p)
	}
	writeJSON(ctx, answer)
}

func (h handler) makeResult(p engine.PieceItem) engine.PieceResult {
	t, l := h.target, h.life
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, i := range p.Inputs {
		if strings.HasPrefix(i, t.Address+"/") && !l.results[i] {
			return engine.PieceResult{Reason: work.InputMissing}
		}
	}
	l.made++
	handle := fmt.Sprintf("%s/%s", t.Address, strconv.Itoa(l.made))
	l.results[handle] = true
	return engine.PieceResult{Handle: handle}
}

// free gives results up.
func (h handler) free(ctx *fasthttp.RequestCtx) {
	var list engine.HandleList
	if err := json.Unmarshal(ctx.PostBody(), &list); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	h.target.mutex.Lock()
	defer h.target.mutex.Unlock()
	for _, e := range list.Handles {
		delete(h.life.results, e)
	}
	writeJSON(ctx, struct{}{})
}

// Results returns the number of results that the present life holds.
func (t *Target) Results() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.life == nil {
		return 0
	}
	return len(t.life.results)
}
