package engine

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"bergamotworks/fault"
)

// LoadReport is what a target says about itself. It lags behind.
type LoadReport struct {
	// Incarnation tells one life of the target's process from the next.
	Incarnation int64    `json:"incarnation"`
	Running     int      `json:"running"`
	Waiting     int      `json:"waiting"`
	Limit       int      `json:"limit"`
	Model       string   `json:"model"`
	Adapters    []string `json:"adapters"`
	Role        string   `json:"role"`
	// Fence is the highest fencing number that the target has obeyed.
	Fence int64 `json:"fence"`
	// CacheSequence is the number of the last cache event.
	CacheSequence int64 `json:"cache_sequence"`
}

// CacheEvents lists prefixes that entered and left a target's cache.
type CacheEvents struct {
	Sequence int64    `json:"sequence"`
	Added    []string `json:"added"`
	Removed  []string `json:"removed"`
	// Gap says that events since the asked sequence are missing.
	Gap bool `json:"gap"`
}

// Load asks a target for its load.
func (c *Client) Load(ctx context.Context, target, address string) (LoadReport, error) {
	var report LoadReport
	err := c.fetch(ctx, query{target: target, address: address, path: "/load"}, &report)
	return report, err
}

// CacheEvents asks a model engine for the cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, target, address string, since int64) (CacheEvents, error) {
	var events CacheEvents
	path := "/kv_events?since=" + strconv.FormatInt(since, 10)
	err := c.fetch(ctx, query{target: target, address: address, path: path}, &events)
	return events, err
}

// query is a short exchange outside the stage calls. One that changes something
// has a connection of its own.
type query struct {
	target  string
	address string
	path    string
	body    []byte // Empty means GET.
	fence   int64
	limit   time.Duration // Of the wait for a byte; zero means the client's.
}

// fetch runs the query and decodes the answer unless result is nil.
func (c *Client) fetch(ctx context.Context, query query, result any) error {
	call := Call{Target: query.target, Address: query.address, Idempotent: query.repeatable()}
	a := attempt{client: c, call: call, started: c.Clock.Now(), deadline: earliest(ctx, time.Time{}), ctx: ctx}
	if failure := a.connect(); failure != nil {
		return failure
	}
	stop := context.AfterFunc(ctx, a.abort)
	failure := a.fetch(query, result)
	a.release(stop() && failure == nil && query.repeatable() && !a.lastUse)
	if failure != nil {
		return failure
	}
	return nil
}

// repeatable reports whether the query only reads, so that it may use a kept
// connection.
func (q query) repeatable() bool { return q.body == nil }

func (a *attempt) fetch(query query, result any) *Failure {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	query.fill(request)
	a.wait(max(query.limit, a.client.progressTimeout()))
	if err := a.write(request); err != nil {
		return a.lost(err)
	}
	if err := response.ReadLimitBody(a.conn.Reader, a.client.maxAnswerBytes()); err != nil {
		return a.lost(err)
	}
	a.lastUse = response.ConnectionClose()
	return a.decode(response, result)
}

func (q query) fill(request *fasthttp.Request) {
	request.Header.SetHost(q.address)
	request.SetRequestURI(q.path)
	if q.repeatable() {
		return
	}
	request.SetConnectionClose()
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set(HeaderFencingToken, strconv.FormatInt(q.fence, 10))
	request.SetBodyRaw(q.body)
}

// decode turns the answer of a query into its result or a failure.
func (a *attempt) decode(response *fasthttp.Response, result any) *Failure {
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return a.refused(status)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(response.Body(), result); err != nil {
		return failed(Corrupt, fault.TargetFailed, "answer of %s: %s", a.call.Target, err)
	}
	return nil
}
