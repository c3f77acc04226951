package relay

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"bergamotworks/fault"
	"bergamotworks/wire"
)

const (
	readBufferSize       = 17 << 10 // Limits the header of a request.
	writeBufferSize      = 4 << 10
	defaultIdleTimeout   = 15 * time.Second
	defaultHeaderTimeout = 3 * time.Second
	defaultMaxBodyBytes  = 4 << 20
	bodyTimeout          = 10 * time.Second
	// writeGrace is how long after the deadline of a request its response may
	// still be written.
	writeGrace = 1 * time.Second
	// lingerTimeout and maxLingerBytes limit what is still read of a request that has
	// been rejected. A connection that is closed while bytes arrive is reset, and the
	// client may lose the response.
	lingerTimeout  = 1 * time.Second
	maxLingerBytes = 8 << 20
)

// errShuttingDown is the cause with which requests are canceled that are in flight at
// the end of a planned shutdown.
var errShuttingDown = errors.New("this node shuts down")

// clientConn is the connection of one client.
type clientConn struct {
	server  *Server
	conn    net.Conn
	input   input
	output  output
	writer  *bufio.Writer // Nil between two requests.
	context context.Context
	cancel  context.CancelCauseFunc
	busy    atomic.Bool
	// idleSince is when the connection began to wait for a request, in nanoseconds of
	// the server's clock.
	idleSince atomic.Int64
	rejected  bool // Its requests are rejected, since there are too many connections.
	budgeted  bool // Its memory has been taken from the budget.
	closing   bool // It is closed for another one. Guarded by the mutex of the server.
}

func newClientConn(s *Server, conn net.Conn) *clientConn {
	c := &clientConn{server: s, conn: conn, input: input{conn: conn, buffers: &s.inputBuffers}}
	c.output.client = c
	c.busy.Store(true) // Until it waits for a request.
	c.idleSince.Store(s.Clock.Now().UnixNano())
	c.context, c.cancel = context.WithCancelCause(context.Background())
	return c
}

// run serves the requests of the connection sequentially.
func (c *clientConn) run() {
	defer c.server.running.Done()
	defer c.server.removeClient(c)
	defer c.shutDown()
	for c.awaitRequest() && c.serveNext() {
	}
}

// awaitRequest waits for the first byte of a request. It reports false if the
// connection must be closed.
func (c *clientConn) awaitRequest() bool {
	c.idleSince.Store(c.server.Clock.Now().UnixNano())
	c.setReadTimeout(cmp.Or(c.server.Config().Limits.IdleTimeout, defaultIdleTimeout))
	c.busy.Store(false) // From now on closeIfIdle ends the wait.
	if c.server.draining.Load() && !c.input.pending() {
		c.closeIfIdle()
	}
	return c.input.await() == nil
}

// shutDown closes the connection and cancels its request.
func (c *clientConn) shutDown() {
	c.cancel(nil)
	_ = c.conn.Close() // There is nothing to do about an error.
}

// closeIfIdle ends the wait for the next request, which closes the connection.
func (c *clientConn) closeIfIdle() {
	if !c.busy.Load() {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0)) // If this fails, the wait ends with the idle timeout.
	}
}

// serveNext serves one request, which has begun to arrive, and reports whether another
// may follow.
func (c *clientConn) serveNext() bool {
	c.busy.Store(true)
	c.openWriter()
	defer c.releaseWriter()
	if c.rejected {
		c.rejectUnreadable("", c.server.shortageError("too many connections"))
		return false
	}
	if !c.server.Requests.Take(requestBytes, 0) {
		c.server.mutex.Lock()
		c.server.recordShortage("request", len(c.server.clients))
		c.server.mutex.Unlock()
		c.server.abandonSlowest(minSlowForRequest) // Frees memory for later requests; this one is rejected at once.
		c.rejectUnreadable("", c.server.shortageError("no memory for the request"))
		return false
	}
	defer c.server.Requests.Return(requestBytes)
	r, ok := c.readRequest()
	if !ok {
		return false
	}
	defer r.Release()
	arrived := c.server.Clock.Now()
	w := c.watchDisconnect()
	x := newExchange(c, r, arrived)
	keep := x.run(w.context)
	disconnected := w.stop()
	x.logEnd()
	return keep && !disconnected && !r.Close && !c.server.draining.Load()
}

// openWriter sets the writer.
func (c *clientConn) openWriter() {
	c.output.slowAfter = 0
	if w, ok := c.server.outputBuffers.Get().(*bufio.Writer); ok {
		w.Reset(&c.output)
		c.writer = w
		return
	}
	c.writer = bufio.NewWriterSize(&c.output, writeBufferSize)
}

// flush sends the buffered output and waits until the client has read it.
func (c *clientConn) flush() error {
	if err := c.writer.Flush(); err != nil {
		return err
	}
	return c.output.drain()
}

// releaseWriter gives up the writer.
func (c *clientConn) releaseWriter() {
	_ = c.output.drain() // The response has been logged with its error.
	c.writer.Reset(nil)
	c.server.outputBuffers.Put(c.writer)
	c.writer = nil
}

// readRequest reads a request completely. It reports false if the connection must be
// closed.
func (c *clientConn) readRequest() (*wire.Request, bool) {
	limits := c.server.Config().Limits
	c.setReadTimeout(cmp.Or(limits.HeaderTimeout, defaultHeaderTimeout))
	r := wire.Reader{Buffer: c.input.open(), Continue: c.sendContinue, Budget: &c.server.RequestBodies}
	req, err := r.ReadHeader()
	if err != nil {
		c.rejectUnreadable("", err)
		return nil, false
	}
	c.setReadTimeout(bodyTimeout)
	limit := cmp.Or(limits.BodyBytes, defaultMaxBodyBytes)
	if err := r.ReadBody(req, int64(limit)); err != nil {
		c.rejectUnreadable(req.Method, err)
		return nil, false
	}
	c.input.release()
	return req, true
}

func (c *clientConn) setReadTimeout(d time.Duration) {
	_ = c.conn.SetReadDeadline(c.server.Clock.Now().Add(d)) // A failure also fails the next read.
}

// sendContinue tells the client to send the body. The write timeout of the response
// before may have passed.
func (c *clientConn) sendContinue() error {
	c.setWriteTimeout(0)
	if _, err := c.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return c.flush()
}

// rejectUnreadable responds to a request that cannot be read; the connection is
// closed afterwards. The method is empty if it is not known.
func (c *clientConn) rejectUnreadable(method string, err error) {
	var e *fault.Error
	if !errors.As(err, &e) {
		return
	}
	c.server.counters.recordFailure(e.Kind)
	c.server.Log.WithField("error", e.Error()).Warn("failed to read a request")
	c.setWriteTimeout(0)
	c.writeError(method, "", e, true)
	if err := c.flush(); err != nil {
		return // The client sees a closed connection.
	}
	c.setReadTimeout(lingerTimeout)
	_, _ = io.CopyN(io.Discard, &c.input, maxLingerBytes) // It ends when the client closes the connection.
}

// disconnectWatch cancels its context if the client disconnects while its
// request is in flight.
type disconnectWatch struct {
	client       *clientConn
	context      context.Context
	cancel       context.CancelFunc
	done         chan struct{}
	disconnected bool
}

func (c *clientConn) watchDisconnect() *disconnectWatch {
	w := &disconnectWatch{client: c, done: make(chan struct{})}
	w.context, w.cancel = context.WithCancel(c.context)
	_ = c.conn.SetReadDeadline(time.Time{}) // A failure also fails the next read.
	go w.run()
	return w
}

// run waits until the client disconnects or sends the first byte of its next
// request.
func (w *disconnectWatch) run() {
	defer close(w.done)
	if err := w.client.input.await(); err != nil {
		if isTimeout(err) {
			return
		}
		w.disconnected = true
		w.cancel()
	}
}

// stop ends the watch and reports whether the client has disconnected.
func (w *disconnectWatch) stop() bool {
	_ = w.client.conn.SetReadDeadline(time.Unix(1, 0)) // This fails only if the connection is already closed.
	<-w.done
	w.cancel()
	return w.disconnected
}
