package wire

import (
	"cmp"
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

const (
	defaultDialTimeout = 400 * time.Millisecond
	defaultIdleTimeout = 4 * time.Second
	// maxStrayAnswers is the number of answers to earlier requests that are
	// skipped before a connection is given up.
	maxStrayAnswers = 2
)

// Client sends requests over kept connections. The exported fields are set
// before the first call.
type Client struct {
	Network ports.Network
	Clock   ports.Clock
	// DialTimeout bounds the wait for a new connection; zero means 400 ms.
	DialTimeout time.Duration
	// IdleTimeout bounds the time for which a connection is kept; zero means 4 s.
	IdleTimeout time.Duration
	// Dialed is called for each new connection; may be nil.
	OnDial func()

	idle IdleConns
}

// Call is a request to send.
type Call struct {
	Address string // IP:port.
	Method  string
	URI     string
	Headers Headers
	Body    []byte
	// Fresh asks for a new connection, so that a failure of a kept one cannot
	// leave the outcome of the call open.
	NewConnection bool
	// Tag is the header that an answer repeats, and its value in the request.
	// An answer with another value belongs to another request and is skipped.
	// A refusal may come without the header.
	Correlation Header
}

// Response is an answer whose body is still to be read. It must be closed.
type Response struct {
	Status  int
	Headers Headers
	// Body returns io.EOF only after the whole body.
	Body io.Reader

	client *Client
	conn   *Conn
	sent   *sending
	stop   func() bool
	keep   bool
	whole  bool
}

// Do sends a request and reads the head of its answer. The context bounds the
// call until the answer is closed. The error says whether the request may have
// run.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	conn, err := c.connect(ctx, call)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { Discard(conn) })
	sent, err := send(conn, call)
	var a *Response
	if err == nil {
		a, err = await(conn, call)
	}
	if err != nil {
		stop()
		sent.abort()
		return nil, lost(ctx, call.Address, err)
	}
	a.client, a.stop, a.sent = c, stop, sent
	return a, nil
}

// Close closes the kept connections.
func (c *Client) Close() { c.idle.Close() }

func (c *Client) connect(ctx context.Context, call Call) (*Conn, error) {
	if !call.NewConnection {
		if conn := c.idle.Take(call.Address, c.Clock.Now(), c.idleTimeout()); conn != nil {
			return conn, nil
		}
	}
	dialing, cancel := context.WithTimeout(ctx, cmp.Or(c.DialTimeout, defaultDialTimeout))
	defer cancel()
	stream, err := c.Network.Dial(dialing, call.Address)
	if c.OnDial != nil {
		c.OnDial()
	}
	if err != nil {
		kind := fault.Unavailable
		if ctx.Err() != nil {
			kind = endKind(ctx)
		}
		return nil, fault.New(kind, fault.NotRun, "connect to %s: %s", call.Address, err)
	}
	return NewConn(call.Address, stream), nil
}

func (c *Client) idleTimeout() time.Duration {
	return cmp.Or(c.IdleTimeout, defaultIdleTimeout)
}

// endKind returns why a context ended.
func endKind(ctx context.Context) fault.Kind {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.DeadlineExceeded
	}
	return fault.Canceled
}

// lost returns the error of a call that was sent and not answered.
func lost(ctx context.Context, address string, err error) error {
	if ctx.Err() != nil {
		return fault.New(endKind(ctx), fault.MayHaveRun, "call to %s: %s", address, ctx.Err())
	}
	return fault.New(fault.ConnectionLost, fault.MayHaveRun, "call to %s: %s", address, err)
}

// await reads the head of the answer that belongs to the call.
func await(conn *Conn, call Call) (*Response, error) {
	for range maxStrayAnswers + 1 {
		a, err := readAnswer(conn, call.Method)
		if err != nil {
			return nil, err
		}
		value := a.Headers.Get(call.Correlation.Name)
		if call.Correlation.Name == "" || value == call.Correlation.Value || value == "" && a.Status >= 400 {
			return a, nil
		}
		if value == "" {
			return nil, errors.New("the answer names no request")
		}
		if _, err := io.Copy(io.Discard, a.Body); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("the answers belong to other requests")
}

func writeHeader(w io.StringWriter, h Header) {
	for _, p := range [...]string{h.Name, ": ", h.Value, "\r\n"} {
		_, _ = w.WriteString(p) // Errors show up when the buffer is flushed.
	}
}

// readAnswer reads the head of an answer that is not interim.
func readAnswer(conn *Conn, method string) (*Response, error) {
	for {
		line, headers, err := readHead(conn.Reader)
		if err != nil {
			return nil, err
		}
		status, ok := parseStatus(line)
		if !ok {
			return nil, malformed("the status line")
		}
		if status >= 100 && status < 200 {
			continue
		}
		return newAnswer(conn, method, status, headers)
	}
}

func parseStatus(line string) (int, bool) {
	if !strings.HasPrefix(line, "HTTP/1.") || len(line) < len("HTTP/1.1 200") {
		return 0, false
	}
	status, err := strconv.Atoi(line[len("HTTP/1.1 "):len("HTTP/1.1 200")])
	return status, err == nil && status >= 100 && status < 600
}

func newAnswer(conn *Conn, method string, status int, headers Headers) (*Response, error) {
	length, err := headers.bodyLength(untilClose)
	if err != nil {
		return nil, err
	}
	if method == "HEAD" || status == 204 || status == 304 {
		length = 0
	}
	a := &Response{Status: status, Headers: headers, conn: conn}
	a.keep = length != untilClose && !headers.lists("Connection", "close")
	a.Body = &body{answer: a, source: bodySource(conn, length), left: length}
	if length == 0 {
		a.whole = true
	}
	return a, nil
}

// Close ends the use of an answer. The connection is kept if the request was
// sent and the answer read whole.
func (a *Response) Close() {
	if a.stop == nil {
		return
	}
	intact := a.stop() && a.whole && a.keep && a.conn.Reader.Buffered() == 0 && a.sent.whole()
	a.stop = nil
	if !intact {
		a.sent.abort()
		return
	}
	a.client.idle.Put(a.conn, a.client.Clock.Now(), a.client.idleTimeout())
}

// ReadAll reads the rest of the body, up to a limit in bytes.
func (a *Response) ReadAll(limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(a.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fault.New(fault.TooLarge, fault.MayHaveRun, "the answer is longer than %d bytes", limit)
	}
	return data, nil
}
