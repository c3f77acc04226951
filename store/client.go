package store

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

const (
	defaultCallTimeout   = 2 * time.Second
	defaultMaxConns      = 64
	idleConnTimeout      = 10 * time.Second
	maxResponseBodyBytes = 64 << 20
)

// Client is a [ports.Store] over the JSON gateway of etcd v3. Network and
// Addresses must be set before the first call; the next address is used once
// one fails.
//
// A call ends at the deadline of its context, and after CallTimeout at the
// latest. It is never sent twice.
type Client struct {
	Network     ports.Network
	Addresses   []string
	CallTimeout time.Duration // Zero means 2 s.

	once    sync.Once
	http    *fasthttp.Client
	address atomic.Int64
}

// Range returns one key, or all keys with a prefix in key order.
func (c *Client) Range(ctx context.Context, request ports.RangeRequest) (ports.RangeResponse, error) {
	body := wireRange{
		Key:      []byte(request.Key),
		RangeEnd: rangeEnd(request.Key, request.Prefix),
		Limit:    int64(request.Limit),
	}
	var answer wireRangeResponse
	if err := c.call(ctx, pathRange, body, &answer); err != nil {
		return ports.RangeResponse{}, err
	}
	response := ports.RangeResponse{Revision: answer.Header.Revision}
	for _, kv := range answer.Kvs {
		response.Entries = append(response.Entries, kv.entry())
	}
	return response, nil
}

// Commit applies the operations if all comparisons hold.
func (c *Client) Commit(ctx context.Context, txn ports.Txn) (ports.TxnResponse, error) {
	var answer wireTxnResponse
	if err := c.call(ctx, pathTxn, toWireTxn(txn), &answer); err != nil {
		return ports.TxnResponse{}, err
	}
	return ports.TxnResponse{Succeeded: answer.Succeeded, Revision: answer.Header.Revision}, nil
}

// Grant creates a lease. Its time is rounded up to whole seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (ports.LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var answer wireLease
	if err := c.call(ctx, pathGrant, wireGrant{TTL: seconds}, &answer); err != nil {
		return 0, err
	}
	return ports.LeaseID(answer.ID), nil
}

// KeepAlive renews a lease.
func (c *Client) KeepAlive(ctx context.Context, lease ports.LeaseID) error {
	var answer wireKeepAlive
	if err := c.call(ctx, pathKeepAlive, wireLease{ID: int64(lease)}, &answer); err != nil {
		return err
	}
	if answer.Result.TTL <= 0 {
		return leaseNotFound(lease)
	}
	return nil
}

// Revoke ends a lease and deletes its keys.
func (c *Client) Revoke(ctx context.Context, lease ports.LeaseID) error {
	return c.call(ctx, pathRevoke, wireLease{ID: int64(lease)}, &struct{}{})
}

// Close closes the idle connections. Watches are closed by their owners.
func (c *Client) Close() error {
	c.client().CloseIdleConnections()
	return nil
}

// call posts one request and decodes its answer.
func (c *Client) call(ctx context.Context, path string, body, answer any) error {
	if err := ctx.Err(); err != nil {
		return neverSent(err)
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return fault.New(fault.Internal, fault.NotRun, "encode %s: %s", path, err)
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	address, turn := c.endpoint()
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetRequestURI("http://" + address + path)
	request.SetBodyRaw(encoded)
	if err := c.client().DoDeadline(request, response, c.deadline(ctx)); err != nil {
		return c.failed(turn, err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return refusal(response.StatusCode(), response.Body())
	}
	if err := json.Unmarshal(response.Body(), answer); err != nil {
		return fault.New(fault.Unavailable, fault.MayHaveRun, "decode answer of %s: %s", path, err)
	}
	return nil
}

// failed returns the error of a call without an answer and moves to the next
// address. Idle connections are closed: they may have gone silent as well.
func (c *Client) failed(turn int64, err error) error {
	c.address.CompareAndSwap(turn, turn+1)
	c.client().CloseIdleConnections()
	return unanswered(err)
}

// unanswered returns the error of a call that got no answer.
func unanswered(err error) error {
	var dial *ports.DialError
	switch {
	case errors.As(err, &dial):
		return fault.New(fault.Unavailable, fault.NotRun, "store: %s", dial)
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		return fault.New(fault.Busy, fault.NotRun, "no free connection to the store")
	case errors.Is(err, fasthttp.ErrTimeout):
		return fault.New(fault.DeadlineExceeded, fault.MayHaveRun, "no answer of the store in time")
	case errors.Is(err, fasthttp.ErrConnectionClosed):
		return fault.New(fault.ConnectionLost, fault.MayHaveRun, "store closed the connection without an answer")
	}
	return fault.New(fault.ConnectionLost, fault.MayHaveRun, "connection to the store: %s", err)
}

func (c *Client) endpoint() (address string, turn int64) {
	turn = c.address.Load()
	return c.Addresses[turn%int64(len(c.Addresses))], turn
}

func (c *Client) deadline(ctx context.Context) time.Time {
	timeout := c.CallTimeout
	if timeout == 0 {
		timeout = defaultCallTimeout
	}
	latest := time.Now().Add(timeout)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(latest) {
		return deadline
	}
	return latest
}

func (c *Client) client() *fasthttp.Client {
	c.once.Do(func() {
		c.http = &fasthttp.Client{
			DialTimeout:                   ports.Dialer(c.Network, defaultCallTimeout),
			MaxConnsPerHost:               defaultMaxConns,
			MaxConnWaitTimeout:            defaultCallTimeout,
			MaxIdleConnDuration:           idleConnTimeout,
			MaxResponseBodySize:           maxResponseBodyBytes,
			MaxIdemponentCallAttempts:     1,
			RetryIfErr:                    neverRetry,
			DisablePathNormalizing:        true,
			NoDefaultUserAgentHeader:      true,
			DisableHeaderNamesNormalizing: true,
		}
	})
	return c.http
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }
