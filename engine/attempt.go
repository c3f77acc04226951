package engine

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/wire"
)

// The header fields that identify a call or an order.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderFencingToken   = "X-Fencing-Token"
)

// attempt is one request and its response on one connection.
type attempt struct {
	client          *Client
	call            Call
	started         time.Time
	deadline        time.Time
	conn            *wire.Conn
	ctx             context.Context
	connectionClose bool // The target closes the connection after its response.
}

// run dials or reuses a connection, sends the call and reads the response.
func (a *attempt) run(ctx context.Context, onChunk func(Chunk)) (Response, *Failure) {
	a.ctx = ctx
	if failure := a.connect(); failure != nil {
		return Response{}, failure
	}
	stop := context.AfterFunc(ctx, a.abort)
	response, failure := a.exchange(onChunk)
	intact := stop() && failure == nil && !a.connectionClose
	response.Latency = a.client.Clock.Now().Sub(a.started)
	a.releaseConn(intact)
	return response, failure
}

// abort closes the connection of a canceled call, which unblocks its reads.
func (a *attempt) abort() { wire.Discard(a.conn) }

// releaseConn makes the connection idle after a complete response and closes it
// otherwise.
func (a *attempt) releaseConn(intact bool) {
	if !intact {
		wire.Discard(a.conn)
		return
	}
	a.client.idle.Put(a.conn, a.client.Clock.Now(), a.client.idleTimeout())
}

// connect reuses an idle connection for an idempotent call, or dials a new one.
func (a *attempt) connect() *Failure {
	now := a.client.Clock.Now()
	if failure := a.checkCanceled(now); failure != nil {
		return failure
	}
	if a.call.Idempotent {
		a.conn = a.client.idle.Take(a.call.Address, now, a.client.idleTimeout())
	}
	if a.conn != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(a.ctx, a.client.connectTimeout())
	defer cancel()
	stream, err := a.client.Network.Dial(ctx, a.call.Address)
	if err == nil {
		a.conn = wire.NewConn(a.call.Address, stream)
		return nil
	}
	if failure := a.checkCanceled(a.client.Clock.Now()); failure != nil {
		return failure
	}
	return notRun(Unreachable, fault.ConnectionLost, "connect to %s: %s", a.call.Address, err)
}

// checkCanceled returns a failure if the deadline has passed or the context was
// canceled before the call was sent.
func (a *attempt) checkCanceled(now time.Time) *Failure {
	if !a.deadline.IsZero() && !now.Before(a.deadline) {
		return notRun(Abandoned, fault.DeadlineExceeded, "the deadline passed before the call was sent")
	}
	if a.ctx.Err() != nil {
		return notRun(Abandoned, fault.Canceled, "canceled before the call was sent")
	}
	return nil
}

// exchange writes the request and reads the response.
func (a *attempt) exchange(onChunk func(Chunk)) (Response, *Failure) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)

	a.fill(request)
	a.setDeadline(a.client.firstByteTimeout(a.call))
	if err := a.write(request); err != nil {
		return Response{}, a.connectionFailure(err)
	}
	if err := a.readHeader(response); err != nil {
		return Response{}, a.connectionFailure(err)
	}
	if failure := a.checkHeader(response); failure != nil {
		return Response{}, failure
	}
	a.connectionClose = response.ConnectionClose()
	if a.call.Kind == note.Generate {
		return a.readStream(response, onChunk)
	}
	return a.readJSON(response)
}

// readHeader reads the header of a response. A status of zeros, which fasthttp takes for
// success, is rejected before.
func (a *attempt) readHeader(response *fasthttp.Response) error {
	if err := a.conn.AwaitStatusLine(); err != nil {
		return err
	}
	return response.Header.Read(a.conn.Reader)
}

func (a *attempt) write(request *fasthttp.Request) error {
	if err := request.Write(a.conn.Writer); err != nil {
		return err
	}
	return a.conn.Writer.Flush()
}

// fill sets the header and body of the request.
func (a *attempt) fill(request *fasthttp.Request) {
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetHost(a.call.Address)
	request.SetRequestURI(path(a.call.Kind))
	request.Header.SetContentType("application/json")
	request.Header.Set(HeaderRequestID, a.call.Attempt)
	if !a.call.Idempotent && a.call.IdempotencyKey != "" {
		request.Header.Set(HeaderIdempotencyKey, a.call.IdempotencyKey)
	}
	request.SetBodyRaw(a.call.body())
}

// setDeadline sets the connection's deadline to now plus the timeout, or to the
// call's deadline if that is earlier.
func (a *attempt) setDeadline(timeout time.Duration) {
	until := a.client.Clock.Now().Add(timeout)
	if !a.deadline.IsZero() && a.deadline.Before(until) {
		until = a.deadline
	}
	_ = a.conn.SetDeadline(until) // The next read returns the error.
}

// checkHeader returns a failure unless the response belongs to this call and its
// status is 200.
func (a *attempt) checkHeader(response *fasthttp.Response) *Failure {
	if id := response.Header.Peek(HeaderRequestID); string(id) != a.call.Attempt {
		return mayHaveRun(Corrupt, fault.TargetFailed, "the answer belongs to attempt %q", id)
	}
	switch status := response.StatusCode(); status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusTooManyRequests:
		return &Failure{Cause: Overloaded, Fault: fault.New(fault.Busy, fault.NotRun,
			"%s is overloaded", a.call.Target).WithRetryAfter(retryAfter(response))}
	default:
		return mayHaveRun(ErrorStatus, fault.TargetFailed, "%s answered with status %d", a.call.Target, status)
	}
}

// retryAfter returns the delay of the Retry-After header, or zero if the header is
// missing or is not a number of seconds.
func retryAfter(response *fasthttp.Response) time.Duration {
	seconds, err := strconv.Atoi(string(response.Header.Peek("Retry-After")))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// connectionFailure returns the failure for an error of the connection after the
// call was sent.
func (a *attempt) connectionFailure(err error) *Failure {
	if a.conn.ReadErr != nil {
		err = a.conn.ReadErr
	}
	timeout := isTimeout(err)
	switch {
	case a.ctx.Err() != nil && !errors.Is(a.ctx.Err(), context.DeadlineExceeded):
		return mayHaveRun(Abandoned, fault.Canceled, "canceled while the call ran")
	case a.ctx.Err() != nil || timeout && a.pastDeadline():
		return mayHaveRun(Abandoned, fault.DeadlineExceeded, "the deadline passed while the call ran")
	case timeout:
		a.client.idle.Drop(a.call.Address)
		return mayHaveRun(Silent, fault.ConnectionLost, "no byte from %s within the limit", a.call.Target)
	case closedByTarget(err):
		return mayHaveRun(Crashed, fault.ConnectionLost, "%s closed the connection: %s", a.call.Target, err)
	default:
		return mayHaveRun(Corrupt, fault.TargetFailed, "answer of %s: %s", a.call.Target, err)
	}
}

func (a *attempt) pastDeadline() bool {
	return !a.deadline.IsZero() && !a.client.Clock.Now().Before(a.deadline)
}

func isTimeout(err error) bool {
	var n interface{ Timeout() bool }
	return errors.As(err, &n) && n.Timeout()
}

func closedByTarget(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op) ||
		errors.Is(err, net.ErrClosed) || errors.Is(err, io.ErrClosedPipe)
}
