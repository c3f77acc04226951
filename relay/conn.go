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
	reader  *bufio.Reader
	writer  *bufio.Writer
	context context.Context
	cancel  context.CancelCauseFunc
	busy    atomic.Bool
}

func newClientConn(s *Server, conn net.Conn) *clientConn {
	c := &clientConn{server: s, conn: conn}
	c.reader = bufio.NewReaderSize(conn, readBufferSize)
	c.writer = bufio.NewWriterSize(conn, writeBufferSize)
	c.context, c.cancel = context.WithCancelCause(context.Background())
	return c
}

// run serves the requests of the connection sequentially.
func (c *clientConn) run() {
	defer c.server.running.Done()
	defer c.server.removeClient(c)
	defer c.shutDown()
	for c.serveNext() {
	}
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

// serveNext serves one request and reports whether another may follow.
func (c *clientConn) serveNext() bool {
	r, ok := c.readRequest()
	if !ok {
		return false
	}
	defer r.Release()
	arrived := c.server.Clock.Now()
	defer c.busy.Store(false)
	w := c.watchDisconnect()
	x := newExchange(c, r, arrived)
	keep := x.run(w.context)
	disconnected := w.stop()
	x.logEnd()
	return keep && !disconnected && !r.Close && !c.server.draining.Load()
}

// readRequest waits for a request and reads it completely. It reports false if
// the connection must be closed.
func (c *clientConn) readRequest() (*wire.Request, bool) {
	limits := c.server.Config().Limits
	c.setReadTimeout(cmp.Or(limits.IdleTimeout, defaultIdleTimeout))
	if c.server.draining.Load() && c.reader.Buffered() == 0 {
		c.closeIfIdle()
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, false
	}
	c.busy.Store(true)
	c.setReadTimeout(cmp.Or(limits.HeaderTimeout, defaultHeaderTimeout))
	r := wire.Reader{Buffer: c.reader, Continue: c.sendContinue, Budget: &c.server.RequestBodies}
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
	return c.writer.Flush()
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
	if err := c.writer.Flush(); err != nil {
		return // The client sees a closed connection.
	}
	c.setReadTimeout(lingerTimeout)
	_, _ = io.CopyN(io.Discard, c.reader, maxLingerBytes) // It ends when the client closes the connection.
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
	if _, err := w.client.reader.Peek(1); err != nil {
		var n net.Error
		if errors.As(err, &n) && n.Timeout() {
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
