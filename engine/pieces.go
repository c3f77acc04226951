package engine

import (
	"context"
	"net/http"

	"bergamotworks/batch"
	"bergamotworks/fault"
	"bergamotworks/site"
	"bergamotworks/wire"
)

// The paths of targets that process pieces.
const (
	PathPieces       = "/v1/pieces" // Process pieces.
	PathRelease      = "/v1/free"   // Release results.
	PathFreeCapacity = "/v1/room"   // Report the free result capacity.
)

// The header fields of calls to targets that process pieces.
const (
	HeaderTarget = "X-Target"  // Identifier of the target that a call is meant for.
	HeaderSender = "X-Sender"  // Identifier of the VM that sends a call.
	HeaderNotRun = "X-Not-Run" // Set on a response if the target has not run the call.
)

// PieceRunner calls the targets that process pieces, the work items of a stage.
type PieceRunner struct {
	Client *wire.Client
	Self   string // Identifier of this VM.
}

var _ batch.Runner = (*PieceRunner)(nil)

// PieceItem is one piece of a [PieceCall].
type PieceItem struct {
	Request   string   `json:"request"`          // Identifier of the request.
	Stage     int      `json:"stage"`            // Number of the stage in its route, from 0.
	Index     int      `json:"index"`            // Number of the piece in its stage, from 0.
	TimeoutMS int64    `json:"left_ms"`          // Time until the deadline of the request, at least 1 ms.
	Key       string   `json:"key,omitempty"`    // Identifies the input of a piece that reads no results.
	Inputs    []string `json:"inputs,omitempty"` // Handles of the results that the piece reads.
}

// PieceCall is the body of a call to process pieces.
type PieceCall struct {
	Pieces []PieceItem `json:"pieces"`
}

// PieceResult is the outcome of a piece.
type PieceResult struct {
	Handle string       `json:"handle,omitempty"` // Identifies the result at the target; empty if there is none.
	Reason batch.Reason `json:"reason"`           // Why there is no result; valid if Handle is empty.
}

// PieceResponse is the body of the response to a [PieceCall], with the results in
// the order of the pieces.
type PieceResponse struct {
	Results []PieceResult `json:"results"`
}

// HandleList is the body of a call to release results.
type HandleList struct {
	Handles []string `json:"handles"`
}

// CapacityReport is the body of a response with the free result capacity.
type CapacityReport struct {
	FreeBytes *int64 `json:"free_bytes"` // Nil if the target does not report it, which is an error.
}

// Run sends pieces to a target and returns their results in the same order.
func (p *PieceRunner) Run(ctx context.Context, target site.Target, pieces []batch.Piece) ([]batch.Result, error) {
	body := PieceCall{Pieces: make([]PieceItem, len(pieces))}
	for i, v := range pieces {
		body.Pieces[i] = PieceItem{
			Request: v.Request, Stage: v.Stage, Index: v.Index, TimeoutMS: max(1, v.Timeout.Milliseconds()), Key: v.Key, Inputs: v.Inputs,
		}
	}
	var response PieceResponse
	if err := p.call(ctx, target, http.MethodPost, PathPieces, body, &response); err != nil {
		return nil, err
	}
	results := make([]batch.Result, len(response.Results))
	for i, r := range response.Results {
		results[i] = batch.Result{Handle: r.Handle, Reason: r.Reason}
	}
	return results, nil
}

// Release releases results, so that the target frees their memory.
func (p *PieceRunner) Release(ctx context.Context, target site.Target, handles []string) error {
	return p.call(ctx, target, http.MethodPost, PathRelease, HandleList{Handles: handles}, &struct{}{})
}

// FreeCapacity returns the free result capacity of a target in bytes.
func (p *PieceRunner) FreeCapacity(ctx context.Context, target site.Target) (int64, error) {
	var report CapacityReport
	if err := p.call(ctx, target, http.MethodGet, PathFreeCapacity, nil, &report); err != nil {
		return 0, err
	}
	if report.FreeBytes == nil {
		return 0, fault.New(fault.TargetFailed, fault.Ran, "target %s did not report its free result capacity", target.ID)
	}
	return *report.FreeBytes, nil
}

func (p *PieceRunner) call(ctx context.Context, target site.Target, method, uri string, body, result any) error {
	call := wire.Call{
		Address: target.Address, Target: target, Method: method, URI: uri,
		Headers: wire.Headers{{Name: HeaderTarget, Value: target.ID}, {Name: HeaderSender, Value: p.Self}},
	}
	return p.Client.DoJSON(ctx, call, body, result, func(r *wire.Response) error { return pieceStatusError(r, uri) })
}

// pieceStatusError returns the error for a response with a status other than 200.
func pieceStatusError(r *wire.Response, uri string) error {
	verdict := fault.MayHaveRun
	if r.Headers.Get(HeaderNotRun) != "" {
		verdict = fault.NotRun
	}
	if r.Status == http.StatusServiceUnavailable {
		return fault.New(fault.Busy, verdict, "%s answers %d", uri, r.Status)
	}
	return fault.New(fault.TargetFailed, verdict, "%s answers %d", uri, r.Status)
}
