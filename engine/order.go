package engine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"bergamotworks/fault"
	"bergamotworks/note"
)

// orderTimeout bounds the wait for the answer to an order; a model loads slowly.
const orderTimeout = 2 * time.Minute

// The paths of orders. Those for adapters are published, the others our own.
const (
	PathLoadAdapter   = "/v1/load_lora_adapter"
	PathUnloadAdapter = "/v1/unload_lora_adapter"
	PathLoadModel     = "/v1/load_model"
	PathChangeRole    = "/v1/role"
)

// Order is a request to an engine to change what it holds or does.
type Order struct {
	Kind    note.OrderKind
	Subject string // Adapter, model or role, under the name that the engine reports.
	Source  string // Path of an adapter in the weight store.
	Fence   int64
}

// OrderBody is the body of an order. An adapter has the published fields.
type OrderBody struct {
	Adapter string `json:"lora_name,omitempty"`
	Source  string `json:"lora_path,omitempty"`
	Model   string `json:"model,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Order sends an engine order under its fencing number, once, and waits up to
// 2 min for its end. An order that the engine refuses for its number fails with
// the kind Conflict and NotRun. The verdict Ran says that the engine has
// answered that the order failed.
func (c *Client) Order(ctx context.Context, target, address string, order Order) error {
	path, body := order.encode()
	encoded, err := json.Marshal(body)
	if err != nil {
		return notRun(Unknown, fault.Invalid, "order: %s", err)
	}
	return c.fetch(ctx, query{
		target: target, address: address, path: path, body: encoded, fence: order.Fence, limit: orderTimeout,
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

// refused returns the failure of a query that was answered with another status
// than 200. With a status of 400 to 499 the target has not run it.
func (a *attempt) refused(status int) *Failure {
	target := a.call.Target
	switch {
	case status == fasthttp.StatusConflict:
		return notRun(Rejected, fault.Conflict, "%s holds a newer fencing number", target)
	case status >= 400 && status < 500:
		return notRun(Rejected, fault.TargetFailed, "%s answered with status %d", target, status)
	case status == fasthttp.StatusInternalServerError:
		failure := fault.New(fault.TargetFailed, fault.Ran, "%s answered with status %d", target, status)
		return &Failure{Cause: Rejected, Fault: failure}
	default:
		return failed(Rejected, fault.TargetFailed, "%s answered with status %d", target, status)
	}
}
