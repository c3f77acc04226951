package relay

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"bergamotworks/fault"
	"bergamotworks/wire"
)

const (
	readBufferBytes  = 17 << 10 // Bounds the head of a request.
	writeBufferBytes = 4 << 10
	defaultIdle      = 15 * time.Second
	defaultHeadTime  = 3 * time.Second
	defaultBodyBytes = 4 << 20
	bodyTime         = 10 * time.Second
	// writeSlack is the time beyond a request's own in which its answer is
	// still written.
	writeSlack = 1 * time.Second
)

// session is one caller's connection.
type session struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	base   context.Context
	cancel context.CancelFunc
	busy   atomic.Bool
}

func newSession(s *Server, conn net.Conn) *session {
	c := &session{server: s, conn: conn}
	c.reader = bufio.NewReaderSize(conn, readBufferBytes)
	c.writer = bufio.NewWriterSize(conn, writeBufferBytes)
	c.base, c.cancel = context.WithCancel(context.Background())
	return c
}

// run serves the requests of the connection one after the other.
func (c *session) run() {
	defer c.server.running.Done()
	defer c.server.forget(c)
	defer c.end()
	for c.next() {
	}
}

// end closes the connection and abandons its request.
func (c *session) end() {
	c.cancel()
	_ = c.conn.Close() // Nothing can be done about the error.
}

// endIfIdle ends the wait for a next request.
func (c *session) endIfIdle() {
	if !c.busy.Load() {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0)) // The wait ends at the latest with the idle timeout.
	}
}

// next serves one request and reports whether another may follow.
func (c *session) next() bool {
	q, ok := c.read()
	if !ok {
		return false
	}
	arrived := c.server.Clock.Now()
	defer c.busy.Store(false)
	w := c.watch()
	j := newJob(c, q, arrived)
	keep := j.run(w.context)
	left := w.stop()
	j.note()
	return keep && !left && !q.Close && !c.server.draining.Load()
}

// read waits for a request and reads it whole.
func (c *session) read() (*wire.Request, bool) {
	limits := c.server.Config().Limits
	c.wait(cmp.Or(limits.IdleTimeout, defaultIdle))
	if c.server.draining.Load() && c.reader.Buffered() == 0 {
		c.endIfIdle()
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, false
	}
	c.busy.Store(true)
	c.wait(cmp.Or(limits.HeaderTimeout, defaultHeadTime))
	r := wire.Reader{Buffer: c.reader, Continue: c.sendContinue}
	q, err := r.ReadHead()
	if err != nil {
		c.refuseUnread(err)
		return nil, false
	}
	c.wait(bodyTime)
	limit := cmp.Or(limits.BodyBytes, defaultBodyBytes)
	if err := r.ReadBody(q, int64(limit)); err != nil {
		c.refuseUnread(err)
		return nil, false
	}
	return q, true
}

func (c *session) wait(d time.Duration) {
	_ = c.conn.SetReadDeadline(c.server.Clock.Now().Add(d)) // An error shows up at the next read.
}

func (c *session) sendContinue() error {
	if _, err := c.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return c.writer.Flush()
}

// refuseUnread answers a request that cannot be read; the connection ends.
func (c *session) refuseUnread(err error) {
	var fe *fault.Error
	if !errors.As(err, &fe) {
		return
	}
	c.server.counters.refuse(fe.Kind)
	c.server.Log.WithField("error", fe.Error()).Warn("request not readable")
	_ = c.conn.SetWriteDeadline(c.server.Clock.Now().Add(writeSlack)) // An error shows up at the next write.
	writeRefusal(c.writer, "", "", fe, true)
	_ = c.writer.Flush() // The caller sees a closed connection otherwise.
}

// watching notices that the caller leaves while its request is under way.
type watching struct {
	session *session
	context context.Context
	cancel  context.CancelFunc
	ended   chan struct{}
	left    bool
}

func (c *session) watch() *watching {
	w := &watching{session: c, ended: make(chan struct{})}
	w.context, w.cancel = context.WithCancel(c.base)
	_ = c.conn.SetReadDeadline(time.Time{}) // An error shows up at the next read.
	go w.run()
	return w
}

// run waits for the end of the connection, or for the first byte of the next
// request.
func (w *watching) run() {
	defer close(w.ended)
	if _, err := w.session.reader.Peek(1); err != nil {
		var n net.Error
		if errors.As(err, &n) && n.Timeout() {
			return
		}
		w.left = true
		w.cancel()
	}
}

// stop ends the watching and reports whether the caller has left.
func (w *watching) stop() bool {
	_ = w.session.conn.SetReadDeadline(time.Unix(1, 0)) // The connection is closed if this fails.
	<-w.ended
	w.cancel()
	return w.left
}
