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

// isOpaque reports whether a call belongs to an opaque route.
func isOpaque(ctx *fasthttp.RequestCtx) bool {
	return len(ctx.Request.Header.Peek(engine.HeaderTarget)) > 0
}

// OpaqueResponse is the response to an opaque request.
type OpaqueResponse struct {
	Path    string `json:"path"`
	Account string `json:"account,omitempty"`
	Results int    `json:"results"` // Number of stage results that the request referred to.
	Body    string `json:"body"`
}

// serveRoute serves a call of an opaque route: a request, or a batch operation
// if the service has batch limits.
func (h handler) serveRoute(ctx *fasthttp.RequestCtx) {
	if name := string(ctx.Request.Header.Peek(engine.HeaderTarget)); name != h.target.Name {
		ctx.Response.Header.Set(engine.HeaderNotRun, "1")
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	if h.target.Service.Batch == nil {
		h.echo(ctx)
		return
	}
	switch string(ctx.Path()) {
	case engine.PathPieces:
		h.processPieces(ctx)
	case engine.PathRelease:
		h.releaseResults(ctx)
	case engine.PathFreeCapacity:
		writeJSON(ctx, engine.CapacityReport{FreeBytes: &h.target.Service.Batch.ResultCapacityBytes})
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// echo responds to an opaque request with what it contained.
func (h handler) echo(ctx *fasthttp.RequestCtx) {
	names := relay.DefaultHeaderNames()
	id := string(ctx.Request.Header.Peek(names.Request))
	r, ok := h.admit(ctx, id)
	if !ok {
		ctx.Response.Header.Set(names.NotRun, "1")
		return
	}
	if !r.execute(ctx, h.target.Service.TypicalLatency()) {
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

// processPieces processes a batch of pieces.
func (h handler) processPieces(ctx *fasthttp.RequestCtx) {
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
	if !r.execute(ctx, time.Duration(b.CallMS+b.PieceMS*int64(len(call.Pieces)))*time.Millisecond) {
		return
	}
	response := engine.PieceResponse{Results: make([]engine.PieceResult, len(call.Pieces))}
	for i, p := range call.Pieces {
		response.Results[i] = h.processPiece(p)
	}
	writeJSON(ctx, response)
}

// processPiece returns the result of a piece, which fails if one of its inputs
// at this target does not exist.
func (h handler) processPiece(p engine.PieceItem) engine.PieceResult {
	t, in := h.target, h.incarnation
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, i := range p.Inputs {
		if strings.HasPrefix(i, t.Address+"/") && !in.results[i] {
			return engine.PieceResult{Reason: work.InputMissing}
		}
	}
	in.lastResult++
	handle := fmt.Sprintf("%s/%s", t.Address, strconv.Itoa(in.lastResult))
	in.results[handle] = true
	return engine.PieceResult{Handle: handle}
}

// releaseResults releases the results with the given handles.
func (h handler) releaseResults(ctx *fasthttp.RequestCtx) {
	var list engine.HandleList
	if err := json.Unmarshal(ctx.PostBody(), &list); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	h.target.mutex.Lock()
	defer h.target.mutex.Unlock()
	for _, e := range list.Handles {
		delete(h.incarnation.results, e)
	}
	writeJSON(ctx, struct{}{})
}

// Results returns the number of results that the current incarnation holds.
func (t *Target) Results() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.current == nil {
		return 0
	}
	return len(t.current.results)
}
