package engine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"bergamotworks/fault"
	"bergamotworks/note"
)

// orderTimeout bounds the wait for the response to an order, since loading a
// model is slow.
const orderTimeout = 2 * time.Minute

// The paths of orders. Those for adapters belong to the published API of model
// engines; the others are defined by this project.
const (
	PathLoadAdapter   = "/v1/load_lora_adapter"
	PathUnloadAdapter = "/v1/unload_lora_adapter"
	PathLoadModel     = "/v1/load_model"
	PathChangeRole    = "/v1/role"
)

// Order is a request to a model engine to load or unload an adapter, to load a
// model, or to change its role.
type Order struct {
	Kind    note.OrderKind
	Subject string // Adapter, model or role, by the name that the engine reports.
	Source  string // Path of an adapter in the weight store.
	Fence   int64  // Fencing token; higher than that of any earlier order to the engine.
}

// OrderBody is the body of an order. The fields for adapters are those of the
// published API.
type OrderBody struct {
	Adapter string `json:"lora_name,omitempty"`
	Source  string `json:"lora_path,omitempty"`
	Model   string `json:"model,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Order sends an order with its fencing token to an engine, once, and waits up to
// 2 min for the response. An order that the engine rejects because of a stale
// token fails with the kind Conflict and the verdict NotRun. The verdict Ran means
// that the engine responded that the order failed.
func (c *Client) Order(ctx context.Context, target, address string, order Order) error {
	path, body := order.encode()
	encoded, err := json.Marshal(body)
	if err != nil {
		return notRun(Unknown, fault.Invalid, "order: %s", err)
	}
	return c.fetch(ctx, query{
		target: target, address: address, path: path, body: encoded, fencingToken: order.Fence, limit: maxReportBytes, timeout: orderTimeout,
	}, nil)
}

func (o Order) encode() (string, OrderBody) {
	switch o.Kind {
	case note.LoadAdapter:
		return PathLoadAdapter, OrderBody{Adapter: o.Subject, Source: o.Source}
	case note.UnloadAdapter:
		return PathUnloadAdapter, OrderBody{Adapter: o.Subject}
	case note.LoadModel:
		return PathLoadModel, OrderBody{Model: o.Subject}
	default:
		return PathChangeRole, OrderBody{Role: o.Subject}
	}
}

// statusFailure returns the failure of a query whose response has a status other
// than 200. With a status of 400 to 499, the target has not run it.
func (a *attempt) statusFailure(status int) *Failure {
	target := a.call.Target
	switch {
	case status == fasthttp.StatusConflict:
		return notRun(ErrorStatus, fault.Conflict, "%s holds a newer fencing token", target)
	case status >= 400 && status < 500:
		return notRun(ErrorStatus, fault.TargetFailed, "%s answered with status %d", target, status)
	case status == fasthttp.StatusInternalServerError:
		failure := fault.New(fault.TargetFailed, fault.Ran, "%s answered with status %d", target, status)
		return &Failure{Cause: ErrorStatus, Fault: failure}
	default:
		return mayHaveRun(ErrorStatus, fault.TargetFailed, "%s answered with status %d", target, status)
	}
}
