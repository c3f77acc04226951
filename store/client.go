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

// Client is a [ports.Store] that uses the JSON gateway of etcd v3. Network and
// Addresses must be set before the first call. After a call without a response
// the client fails over to the next address.
//
// A call ends at the deadline of its context, and after CallTimeout at the
// latest. It is never retried.
type Client struct {
	Network     ports.Network
	Addresses   []string
	CallTimeout time.Duration // Zero means 2 s.

	once         sync.Once
	http         *fasthttp.Client
	addressIndex atomic.Int64
}

// Range returns one key, or all keys with a prefix in key order.
func (c *Client) Range(ctx context.Context, request ports.RangeRequest) (ports.RangeResponse, error) {
	body := wireRange{
		Key:      []byte(request.Key),
		RangeEnd: rangeEnd(request.Key, request.Prefix),
		Limit:    int64(request.Limit),
	}
	var result wireRangeResponse
	if err := c.call(ctx, pathRange, body, &result); err != nil {
		return ports.RangeResponse{}, err
	}
	response := ports.RangeResponse{Revision: result.Header.Revision}
	for _, kv := range result.Kvs {
		response.Entries = append(response.Entries, kv.entry())
	}
	return response, nil
}

// Commit applies the operations if all comparisons hold.
func (c *Client) Commit(ctx context.Context, txn ports.Txn) (ports.TxnResponse, error) {
	var result wireTxnResponse
	if err := c.call(ctx, pathTxn, toWireTxn(txn), &result); err != nil {
		return ports.TxnResponse{}, err
	}
	return ports.TxnResponse{Succeeded: result.Succeeded, Revision: result.Header.Revision}, nil
}

// Grant creates a lease. The ttl is rounded up to whole seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (ports.LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var result wireLease
	if err := c.call(ctx, pathGrant, wireGrant{TTL: seconds}, &result); err != nil {
		return 0, err
	}
	return ports.LeaseID(result.ID), nil
}

// KeepAlive renews a lease. It returns a fault.NotFound error if the lease has
// expired.
func (c *Client) KeepAlive(ctx context.Context, lease ports.LeaseID) error {
	var result wireKeepAlive
	if err := c.call(ctx, pathKeepAlive, wireLease{ID: int64(lease)}, &result); err != nil {
		return err
	}
	if result.Result.TTL <= 0 {
		return leaseNotFound(lease)
	}
	return nil
}

// Revoke ends a lease and deletes its keys.
func (c *Client) Revoke(ctx context.Context, lease ports.LeaseID) error {
	return c.call(ctx, pathRevoke, wireLease{ID: int64(lease)}, &struct{}{})
}

// Close closes the idle connections. It does not close watches.
func (c *Client) Close() error {
	c.client().CloseIdleConnections()
	return nil
}

// call sends one request and decodes the body of its response into result.
func (c *Client) call(ctx context.Context, path string, body, result any) error {
	if err := ctx.Err(); err != nil {
		return notSentError(err)
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return fault.New(fault.Internal, fault.NotRun, "encode %s: %s", path, err)
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	address, index := c.endpoint()
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetRequestURI("http://" + address + path)
	request.SetBodyRaw(encoded)
	if err := c.client().DoDeadline(request, response, c.deadline(ctx)); err != nil {
		return c.failover(index, err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return statusError(response.StatusCode(), response.Body())
	}
	if err := json.Unmarshal(response.Body(), result); err != nil {
		return fault.New(fault.Unavailable, fault.MayHaveRun, "decode answer of %s: %s", path, err)
	}
	return nil
}

// failover switches to the next address and returns the error of a call without
// a response. It closes the idle connections, which may be unresponsive as well.
func (c *Client) failover(index int64, err error) error {
	c.addressIndex.CompareAndSwap(index, index+1)
	c.client().CloseIdleConnections()
	return transportError(err)
}

// transportError returns the error of a call that received no response.
func transportError(err error) error {
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

// endpoint returns the address to call and its index, an argument of failover.
func (c *Client) endpoint() (address string, index int64) {
	index = c.addressIndex.Load()
	return c.Addresses[index%int64(len(c.Addresses))], index
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
