package engine

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"bergamotworks/fault"
	"bergamotworks/wire"
)

// LoadReport is the load that a target reports. It may be stale.
type LoadReport struct {
	// Incarnation identifies a run of the target's process; it changes with each
	// restart.
	Incarnation int64    `json:"incarnation"`
	Running     int      `json:"running"`
	Waiting     int      `json:"waiting"`
	Limit       int      `json:"limit"`
	Model       string   `json:"model"`
	Adapters    []string `json:"adapters"`
	Role        string   `json:"role"`
	// FencingToken is the highest one of the orders that the target has accepted.
	FencingToken int64 `json:"fence"`
	// CacheSequence is the number of the last cache event.
	CacheSequence int64 `json:"cache_sequence"`
}

// CacheEvents lists the prefixes that were added to and removed from a target's
// cache.
type CacheEvents struct {
	Sequence int64    `json:"sequence"`
	Added    []string `json:"added"`
	Removed  []string `json:"removed"`
	// Gap is set if events after the requested sequence number are missing.
	Gap bool `json:"gap"`
}

// Load fetches the load report of a target.
func (c *Client) Load(ctx context.Context, target, address string) (LoadReport, error) {
	var report LoadReport
	err := c.fetch(ctx, query{target: target, address: address, path: "/load", limit: maxReportBytes}, &report)
	return report, err
}

// CacheEvents fetches the cache events of a model engine after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, target, address string, since int64) (CacheEvents, error) {
	var events CacheEvents
	path := "/kv_events?since=" + strconv.FormatInt(since, 10)
	err := c.fetch(ctx, query{target: target, address: address, path: path, limit: maxCacheEventsBytes}, &events)
	return events, err
}

// query is a request other than a stage call: one for a report or an order. One
// that modifies the target is sent on a new connection.
type query struct {
	target       string
	address      string
	path         string
	body         []byte // Nil means a GET request.
	fencingToken int64
	limit        int           // Of the body of the response in bytes.
	timeout      time.Duration // Of the exchange, if longer than the client's ProgressTimeout.
}

// fetch sends the query and decodes the response into result, unless that is nil.
func (c *Client) fetch(ctx context.Context, query query, result any) error {
	call := Call{Target: query.target, Address: query.address, Idempotent: query.readOnly()}
	a := attempt{client: c, call: call, started: c.Clock.Now(), deadline: earliest(ctx, time.Time{}), ctx: ctx}
	if failure := a.connect(); failure != nil {
		return failure
	}
	stop := context.AfterFunc(ctx, a.abort)
	failure := a.fetch(query, result)
	a.releaseConn(stop() && failure == nil && query.readOnly() && !a.connectionClose)
	if failure != nil {
		return failure
	}
	return nil
}

// readOnly reports whether the query modifies nothing, so that it may reuse an
// idle connection.
func (q query) readOnly() bool { return q.body == nil }

func (a *attempt) fetch(query query, result any) *Failure {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	query.fill(request)
	a.setDeadline(max(query.timeout, a.client.progressTimeout()))
	if err := a.write(request); err != nil {
		return a.connectionFailure(err)
	}
	if err := a.readHeader(response); err != nil {
		return a.connectionFailure(err)
	}
	body, err := a.readBody(response, query.limit)
	defer body.Release()
	if err != nil {
		return a.connectionFailure(err)
	}
	a.connectionClose = response.ConnectionClose()
	return a.decode(response.StatusCode(), body, result)
}

func (q query) fill(request *fasthttp.Request) {
	request.Header.SetHost(q.address)
	request.SetRequestURI(q.path)
	if q.readOnly() {
		return
	}
	request.SetConnectionClose()
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set(HeaderFencingToken, strconv.FormatInt(q.fencingToken, 10))
	request.SetBodyRaw(q.body)
}

// decode decodes the body of the response to a query into result, unless that is nil.
func (a *attempt) decode(status int, body *wire.Body, result any) *Failure {
	if status != fasthttp.StatusOK {
		return a.statusFailure(status)
	}
	if result == nil {
		return nil
	}
	if err := body.Decode(func(data []byte) error { return json.Unmarshal(data, result) }); err != nil {
		return mayHaveRun(Corrupt, fault.TargetFailed, "answer of %s: %s", a.call.Target, err)
	}
	return nil
}
