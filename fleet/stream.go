package fleet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"bergamotworks/ports"
)

// stream is one direction of a connection.
type stream struct {
	network  *Network
	from, to string // IP addresses of hosts.

	mutex    sync.Mutex
	changed  *sync.Cond
	chunks   []chunk
	closed   bool  // The sender has closed it; what was sent before still arrives.
	err      error // It was reset, or the receiver has closed it.
	deadline time.Time
	timer    *time.Timer // Wakes the reader.
}

// chunk is bytes that arrive at a time.
type chunk struct {
	data []byte
	at   time.Time
}

func newStream(n *Network, from, to string) *stream {
	s := &stream{network: n, from: from, to: to}
	s.changed = sync.NewCond(&s.mutex)
	return s
}

func (s *stream) between(a, b string) bool {
	return (a == "" || a == s.from) && (b == "" || b == s.to)
}

func (s *stream) wake() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.changed.Broadcast()
}

// fail ends the stream for both sides; what has not been read is lost.
func (s *stream) fail(err error) {
	s.mutex.Lock()
	if s.err == nil {
		s.err = err
	}
	s.chunks = nil
	s.changed.Broadcast()
	s.mutex.Unlock()
	s.forget()
}

func (s *stream) forget() {
	s.network.mutex.Lock()
	defer s.network.mutex.Unlock()
	delete(s.network.streams, s)
}

// write sends bytes, which arrive after networkDelay.
func (s *stream) write(p []byte) (int, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.err != nil {
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: s.err}
	}
	if s.closed {
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: net.ErrClosed}
	}
	s.chunks = append(s.chunks, chunk{data: append([]byte(nil), p...), at: time.Now().Add(networkDelay)})
	s.changed.Broadcast()
	return len(p), nil
}

// finish ends the stream after what was sent.
func (s *stream) finish() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	s.changed.Broadcast()
}

// read waits for bytes.
func (s *stream) read(p []byte) (int, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for {
		now := time.Now()
		if s.err != nil {
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: s.err}
		}
		if !s.deadline.IsZero() && !now.Before(s.deadline) {
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.ErrDeadlineExceeded}
		}
		cut := s.network.isCut(s.from, s.to)
		if len(s.chunks) > 0 && !cut && !s.chunks[0].at.After(now) {
			return s.take(p), nil
		}
		if len(s.chunks) == 0 && s.closed && !cut {
			return 0, io.EOF
		}
		s.wait(now, cut)
	}
}

// take moves bytes that have arrived; the mutex is held.
func (s *stream) take(p []byte) int {
	n := copy(p, s.chunks[0].data)
	if s.chunks[0].data = s.chunks[0].data[n:]; len(s.chunks[0].data) == 0 {
		s.chunks = s.chunks[1:]
	}
	return n
}

// wait waits for a change, the next arrival or the deadline; the mutex is held.
func (s *stream) wait(now time.Time, cut bool) {
	var until time.Time
	if len(s.chunks) > 0 && !cut {
		until = s.chunks[0].at
	}
	if !s.deadline.IsZero() && (until.IsZero() || s.deadline.Before(until)) {
		until = s.deadline
	}
	if !until.IsZero() {
		if s.timer != nil {
			s.timer.Stop()
		}
		s.timer = time.AfterFunc(until.Sub(now), s.wake)
	}
	s.changed.Wait()
}

func (s *stream) setDeadline(t time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.deadline = t
	s.changed.Broadcast()
}

// idle reports whether the stream is open and nothing has arrived.
func (s *stream) idle() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.network.isCut(s.from, s.to) {
		return s.err == nil
	}
	arrived := len(s.chunks) > 0 && !s.chunks[0].at.After(time.Now())
	return s.err == nil && !arrived && (!s.closed || len(s.chunks) > 0)
}

// conn is one end of a connection.
type conn struct {
	in, out       *stream
	local, remote string
	once          sync.Once
}

var (
	_ net.Conn     = (*conn)(nil)
	_ ports.Prober = (*conn)(nil)
)

func (c *conn) Read(p []byte) (int, error) { return c.in.read(p) }

func (c *conn) Write(p []byte) (int, error) { return c.out.write(p) }

// Idle implements [ports.Prober].
func (c *conn) Idle() bool { return c.in.idle() }

// Close ends the connection. The other side reads what was sent before; if it still
// sends, it gets a reset.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.out.finish()
		c.in.fail(net.ErrClosed)
	})
	return nil
}

// abort resets the connection.
func (c *conn) abort() {
	c.out.fail(syscall.ECONNRESET)
	c.in.fail(syscall.ECONNRESET)
}

func (c *conn) LocalAddr() net.Addr  { return addr(c.local) }
func (c *conn) RemoteAddr() net.Addr { return addr(c.remote) }

func (c *conn) SetDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil // Writes never wait.
}

func (c *conn) SetReadDeadline(t time.Time) error { return c.SetDeadline(t) }

// SetWriteDeadline does nothing, since writes never wait.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
