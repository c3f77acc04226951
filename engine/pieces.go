package engine

import (
	"context"
	"net/http"

	"bergamotworks/batch"
	"bergamotworks/fault"
	"bergamotworks/site"
	"bergamotworks/wire"
)

// The paths of targets that work on pieces.
const (
	PathPieces       = "/v1/pieces" // Work on pieces.
	PathRelease      = "/v1/free"   // Give results up.
	PathFreeCapacity = "/v1/room"   // Free memory for results.
)

// The header fields of calls to targets that work on pieces.
const (
	HeaderTarget = "X-Target"  // Identifier of the target that a call is meant for.
	HeaderNotRun = "X-Not-Run" // Set on an answer if the target has not run the call.
)

// PieceRunner calls the targets that work on pieces of stages.
type PieceRunner struct{ Client *wire.Client }

var _ batch.Runner = (*PieceRunner)(nil)

// PieceItem is one piece of a call.
type PieceItem struct {
	Request   string   `json:"request"`
	Stage     int      `json:"stage"`
	Index     int      `json:"index"`
	TimeoutMS int64    `json:"left_ms"` // Time after which nobody waits, in milliseconds.
	Key       string   `json:"key,omitempty"`
	Inputs    []string `json:"inputs,omitempty"` // Handles of the results that it reads.
}

// PieceCall is the body of a call.
type PieceCall struct {
	Pieces []PieceItem `json:"pieces"`
}

// PieceResult is a handle, or the reason for its absence.
type PieceResult struct {
	Handle string       `json:"handle,omitempty"`
	Reason batch.Reason `json:"reason"`
}

// PieceResponse is the answer to a call; results are in the order of the pieces.
type PieceResponse struct {
	Results []PieceResult `json:"results"`
}

// HandleList names results.
type HandleList struct {
	Handles []string `json:"handles"`
}

// CapacityReport tells the free memory for results.
type CapacityReport struct {
	FreeBytes *int64 `json:"free_bytes"`
}

// Run has a target work on pieces.
func (p *PieceRunner) Run(ctx context.Context, target site.Target, pieces []batch.Piece) ([]batch.Result, error) {
	body := PieceCall{Pieces: make([]PieceItem, len(pieces))}
	for i, e := range pieces {
		body.Pieces[i] = PieceItem{
			Request: e.Request, Stage: e.Stage, Index: e.Index, TimeoutMS: max(1, e.Timeout.Milliseconds()), Key: e.Key, Inputs: e.Inputs,
		}
	}
	var answer PieceResponse
	if err := p.call(ctx, target, http.MethodPost, PathPieces, body, &answer); err != nil {
		return nil, err
	}
	results := make([]batch.Result, len(answer.Results))
	for i, r := range answer.Results {
		results[i] = batch.Result{Handle: r.Handle, Reason: r.Reason}
	}
	return results, nil
}

// Release gives results up.
func (p *PieceRunner) Release(ctx context.Context, target site.Target, handles []string) error {
	return p.call(ctx, target, http.MethodPost, PathRelease, HandleList{Handles: handles}, &struct{}{})
}

// FreeCapacity returns the free memory for results in bytes.
func (p *PieceRunner) FreeCapacity(ctx context.Context, target site.Target) (int64, error) {
	var report CapacityReport
	if err := p.call(ctx, target, http.MethodGet, PathFreeCapacity, nil, &report); err != nil {
		return 0, err
	}
	if report.FreeBytes == nil {
		return 0, fault.New(fault.TargetFailed, fault.Ran, "target %s tells no free memory", target.ID)
	}
	return *report.FreeBytes, nil
}

func (p *PieceRunner) call(ctx context.Context, target site.Target, method, uri string, body, result any) error {
	call := wire.Call{
		Address: target.Address, Method: method, URI: uri,
		Headers: wire.Headers{{Name: HeaderTarget, Value: target.ID}},
	}
	return p.Client.DoJSON(ctx, call, body, result, func(a *wire.Response) error { return refusedPieces(a, uri) })
}

// refusedPieces returns the error for an answer other than success.
func refusedPieces(a *wire.Response, uri string) error {
	verdict := fault.MayHaveRun
	if a.Headers.Get(HeaderNotRun) != "" {
		verdict = fault.NotRun
	}
	if a.Status == http.StatusServiceUnavailable {
		return fault.New(fault.Busy, verdict, "%s answers %d", uri, a.Status)
	}
	return fault.New(fault.TargetFailed, verdict, "%s answers %d", uri, a.Status)
}
