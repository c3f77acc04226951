package wire

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"bergamotworks/fault"
	"bergamotworks/ports"
	"bergamotworks/site"
)

const (
	defaultDialTimeout = 400 * time.Millisecond
	defaultIdleTimeout = 4 * time.Second
	// maxStrayResponses is the number of responses to earlier requests that are
	// skipped before a connection is closed.
	maxStrayResponses = 2
	maxStrayBytes     = 1 << 20 // Size limit of the body of a skipped response.
	// maxInterimResponses is the number of responses with a status of 100 to 199
	// that are skipped before a connection is closed.
	maxInterimResponses = 8
	// writeEndDelay is how long after the end of a response the write of a request that
	// the target has read may take to end.
	writeEndDelay = 100 * time.Millisecond
)

// Client sends requests and reuses idle connections. The exported fields are set
// before the first call.
type Client struct {
	Network ports.Network
	Clock   ports.Clock
	// DialTimeout bounds the time to establish a connection; zero means 400 ms.
	DialTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed; zero means
	// 4 s.
	IdleTimeout time.Duration
	// OnDial is called after each dial, successful or not; may be nil.
	OnDial func()
	// Guard is asked about the calls to targets; may be nil.
	Guard Guard
	// Buffers limits the memory of the bodies of responses of targets together.
	Buffers BufferBudget

	idle IdleConns
}

// Call is a request to send.
type Call struct {
	Address string // IP:port.
	// Target is the target that is called, for [Client.Guard]. It has no ID if the call
	// is to something else.
	Target  site.Target
	Method  string
	URI     string
	Headers Headers // Must have the Host field; Do adds Content-Length.
	Body    []byte
	// NewConnection prevents the reuse of an idle connection, whose failure could
	// leave the outcome of the call unknown.
	NewConnection bool
	// MaxBodyBytes bounds the body of the response in [Client.DoJSON]; zero means 4 MiB.
	MaxBodyBytes int
	// OnHeaders is called by [Client.DoJSON] with the header fields of the response,
	// whatever its status; may be nil.
	OnHeaders func(Headers)
	// HeaderTimeout bounds the time until the header of the response is complete;
	// zero means that only the context does.
	HeaderTimeout time.Duration
	// Correlation is the header field that the response repeats, with its value
	// in the request. A response with another value belongs to another request
	// and is skipped. A response with a status of 400 or more may omit the field if
	// it is the first one on its connection. An empty name disables the check.
	Correlation Header
}

// Response is a response whose body has not been read yet. It must be closed.
// Reading Body fails once the context of [Client.Do] is done.
type Response struct {
	Status  int
	Headers Headers
	// Body returns io.EOF only after the complete body.
	Body io.Reader
	// UntilClose means that the body has no stated length and ends when the target
	// closes the connection, which does not show whether it is complete.
	UntilClose bool

	client   *Client
	conn     *Conn
	writer   *requestWriter
	stop     func() bool
	reusable bool
	complete bool
}

// Do sends a request and reads the header of its response. It sets Content-Length
// if there is a body or the method is POST or PUT. The context applies until the
// response is closed. The error is a *fault.Error, whose verdict says whether the
// request may have run.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	conn, err := c.connect(ctx, call)
	if err != nil {
		return nil, err
	}
	if err := c.admit(call); err != nil {
		Discard(conn)
		return nil, err
	}
	headerCtx, cancel := call.headerContext(ctx)
	defer cancel()
	stop := context.AfterFunc(headerCtx, func() { Discard(conn) })
	writer, err := send(conn, call)
	var r *Response
	if err == nil {
		r, err = c.awaitResponse(conn, call)
	}
	stop()
	if err != nil {
		writer.abort()
		return nil, lostResponse(headerCtx, conn, writer, err)
	}
	r.client, r.writer = c, writer
	r.stop = context.AfterFunc(ctx, func() { Discard(conn) })
	return r, nil
}

// headerContext returns the context that applies until the header of the response
// is complete.
func (c Call) headerContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.HeaderTimeout == 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, c.HeaderTimeout)
}

// Close closes the idle connections and drops the memory for bodies that is kept for
// reuse. Connections in use are closed instead of reused later.
func (c *Client) Close() {
	c.idle.Close()
	c.Buffers.Close()
}

func (c *Client) connect(ctx context.Context, call Call) (*Conn, error) {
	if !call.NewConnection {
		if conn := c.idle.Take(call.Address, c.Clock.Now(), c.idleTimeout()); conn != nil {
			return conn, nil
		}
	}
	stream, err := c.dial(ctx, call.Address)
	if isLocalShortage(err) && c.idle.DropAll() {
		stream, err = c.dial(ctx, call.Address)
	}
	if err != nil {
		kind := fault.Unavailable
		if ctx.Err() != nil {
			kind = contextKind(ctx)
		}
		return nil, &ConnectError{
			cause:   fault.New(kind, fault.NotRun, "connect to %s: %s", call.Address, err),
			Refused: errors.Is(err, syscall.ECONNREFUSED), Local: isLocalShortage(err),
		}
	}
	return NewConn(call.Address, stream), nil
}

// dial dials an address once.
func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(c.DialTimeout, defaultDialTimeout))
	defer cancel()
	if c.OnDial != nil {
		defer c.OnDial()
	}
	return c.Network.Dial(ctx, address)
}

// ConnectError is the error of a call for which no connection was established.
type ConnectError struct {
	Refused bool // The host is reachable, but no process listens at the address.
	Local   bool // This VM lacks file descriptors, ports or memory for the connection.
	cause   *fault.Error
}

// isLocalShortage reports whether an error of a dial says nothing about the address.
func isLocalShortage(err error) bool {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

func (e *ConnectError) Error() string { return e.cause.Error() }

// Unwrap returns the *fault.Error, which carries the kind and the verdict.
func (e *ConnectError) Unwrap() error { return e.cause }

func (c *Client) idleTimeout() time.Duration {
	return cmp.Or(c.IdleTimeout, defaultIdleTimeout)
}

// contextKind returns the kind of error for a context that is done.
func contextKind(ctx context.Context) fault.Kind {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.DeadlineExceeded
	}
	return fault.Canceled
}

// lostResponse returns the error of a call that was sent, at least in part, and got no
// response; its writer has ended.
func lostResponse(ctx context.Context, conn *Conn, w *requestWriter, err error) error {
	if ctx.Err() != nil {
		return fault.New(contextKind(ctx), fault.MayHaveRun, "call to %s: %s", conn.address, ctx.Err())
	}
	lost := fault.New(fault.ConnectionLost, fault.MayHaveRun, "call to %s: %s", conn.address, err)
	if conn.ReadErr == nil && w.succeeded() {
		return &InvalidResponseError{Cause: lost}
	}
	return lost
}

// InvalidResponseError is the error of a call for which the target sent something that
// is no response. Its connection was intact, so that it has not crashed.
type InvalidResponseError struct {
	Cause *fault.Error // Of kind ConnectionLost.
}

func (e *InvalidResponseError) Error() string { return e.Cause.Error() }

// Unwrap returns the *fault.Error, which carries the kind and the verdict.
func (e *InvalidResponseError) Unwrap() error { return e.Cause }

// awaitResponse reads the header of the response that belongs to the call. The guard
// observes those that do not, too: they are the word of the same target.
func (c *Client) awaitResponse(conn *Conn, call Call) (*Response, error) {
	for range maxStrayResponses + 1 {
		r, err := readResponse(conn, call.Method)
		if err != nil {
			return nil, err
		}
		c.observe(call, r)
		value := r.Headers.Get(call.Correlation.Name)
		if call.Correlation.Name == "" || value == call.Correlation.Value || value == "" && r.Status >= 400 && !conn.reused {
			return r, nil
		}
		if value == "" {
			return nil, errors.New("the answer names no request")
		}
		if err := skipBody(r); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("the answers belong to other requests")
}

// skipBody reads the body of a response to another request.
func skipBody(r *Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxStrayBytes))
	if err != nil {
		return err
	}
	if n == maxStrayBytes {
		return fmt.Errorf("the answer to another request is longer than %d bytes", maxStrayBytes)
	}
	return nil
}

func writeHeader(w io.StringWriter, h Header) {
	for _, p := range [...]string{h.Name, ": ", h.Value, "\r\n"} {
		_, _ = w.WriteString(p) // Flush returns the error.
	}
}

// readResponse reads the header of the next final response. It skips those with a
// status of 100 to 199.
func readResponse(conn *Conn, method string) (*Response, error) {
	for range maxInterimResponses + 1 {
		line, headers, err := readHeader(conn.Reader, checkStatusLine)
		if err != nil {
			return nil, err
		}
		status, err := parseStatus(line)
		if err != nil {
			return nil, err
		}
		if status >= 100 && status < 200 {
			continue
		}
		return newResponse(conn, method, status, headers)
	}
	return nil, fmt.Errorf("more than %d interim responses", maxInterimResponses)
}

func newResponse(conn *Conn, method string, status int, headers Headers) (*Response, error) {
	length, err := headers.bodyLength(untilClose)
	if err != nil {
		return nil, err
	}
	if method == "HEAD" || status == 204 || status == 304 {
		length = 0
	}
	r := &Response{Status: status, Headers: headers, conn: conn, UntilClose: length == untilClose}
	r.reusable = !r.UntilClose && !headers.containsToken("Connection", "close")
	r.Body = &body{response: r, source: bodySource(conn, length), remaining: length}
	if length == 0 {
		r.complete = true
	}
	return r, nil
}

// Close releases the connection. It is reused if the request was sent and the
// response read completely, and closed otherwise.
func (r *Response) Close() {
	if r.stop == nil {
		return
	}
	intact := r.stop() && r.complete && r.reusable && r.conn.Reader.Buffered() == 0 && r.writer.succeeded()
	r.stop = nil
	if !intact {
		r.writer.abort()
		return
	}
	r.client.idle.Put(r.conn, r.client.Clock.Now(), r.client.idleTimeout())
}

// requestSent reports whether the request of the response has been written completely. It
// waits for the write up to writeEndDelay.
func (r *Response) requestSent() bool {
	if r.writer == nil { // The response belongs to an earlier request.
		return true
	}
	select {
	case <-r.writer.done:
	case <-r.client.Clock.After(writeEndDelay):
	}
	return r.writer.succeeded()
}

// abandonReused makes Close close a connection that has carried earlier calls, since
// the response may be one to them, with that to this call still to come.
func (r *Response) abandonReused() {
	if r.conn.reused {
		r.reusable = false
	}
}

// ConnectionFailed reports whether the connection has failed or was closed while the
// response was read. It is false for a body that is malformed.
func (r *Response) ConnectionFailed() bool { return r.conn.ReadErr != nil }
