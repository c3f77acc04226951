package relay

import (
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"bergamotworks/fault"
)

const (
	// ConnectionBytes is the memory of a connection of a client without a request: its
	// goroutine, the connection and its context.
	ConnectionBytes = 8 << 10
	// requestBytes is the memory of a request in flight without its body and without
	// what its response takes of a budget: the buffers of its connections to the client
	// and to the target, its header, the first segment of its response and the stacks
	// of its goroutines.
	requestBytes = 32 << 10
	// rejectedShare is how many connections above the limit, per connection of the limit,
	// get a response that says so; further ones are closed at once.
	rejectedShare = 1.0 / 16
	// shortageRetryAfter is the shortest retry delay sent to clients if there is no
	// memory or no connection left for their request; the longest is half longer.
	shortageRetryAfter    = 1 * time.Second
	shortageLogsPerMinute = 6
)

// shortageError returns the error of a request for which there is no memory or connection
// left. Its retry delay differs between clients.
func (s *Server) shortageError(message string) *fault.Error {
	jitter := time.Duration(s.Random.Uint64() % uint64(shortageRetryAfter/2))
	return fault.New(fault.Busy, fault.NotRun, "%s", message).WithRetryAfter(shortageRetryAfter + jitter)
}

func newShortageLimit() *rate.Limiter {
	return rate.NewLimiter(rate.Every(time.Minute/shortageLogsPerMinute), 1)
}

// accept serves a connection. If there are too many connections or there is no memory
// for another one, it closes the one that has waited longest for a request; without
// such a connection, the requests of the new one are rejected.
func (s *Server) accept(conn net.Conn) {
	if w, ok := conn.(interface{ SetWriteBuffer(bytes int) error }); ok && s.SocketBytes > 0 {
		_ = w.SetWriteBuffer(s.SocketBytes) // If it fails, the system's choice remains.
	}
	c := newClientConn(s, conn)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed || s.MaxConnections > 0 && len(s.clients) >= s.MaxConnections+max(1, int(rejectedShare*float64(s.MaxConnections))) {
		s.recordShortage("closed", len(s.clients))
		_ = conn.Close() // The client sees a closed connection even if this fails.
		return
	}
	c.budgeted = s.Requests.Take(ConnectionBytes, 0)
	if full := s.MaxConnections > 0 && len(s.clients) >= s.MaxConnections; full || !c.budgeted {
		c.rejected = !s.closeLongestIdle()
	}
	s.clients[c] = struct{}{}
	s.running.Add(1)
	go c.run()
}

// closeLongestIdle closes the connection that has waited longest for a request. It
// reports false if there is none. The caller holds s.mutex.
func (s *Server) closeLongestIdle() bool {
	var oldest *clientConn
	for c := range s.clients {
		if c.busy.Load() || c.closing {
			continue
		}
		if oldest == nil || c.idleSince.Load() < oldest.idleSince.Load() {
			oldest = c
		}
	}
	if oldest == nil {
		s.recordShortage("rejected", len(s.clients))
		return false
	}
	s.recordShortage("idle", len(s.clients))
	oldest.closing = true
	oldest.closeIfIdle()
	return true
}

// recordShortage counts and logs what happens to a connection for want of connections
// or memory: idle if one is closed for another, rejected if its requests are, closed if
// it is closed at once.
func (s *Server) recordShortage(outcome string, connections int) {
	if s.closed {
		return
	}
	s.counters.shortages[outcome].Inc()
	if s.shortageLimit.AllowN(s.Clock.Now(), 1) {
		s.Log.WithFields(logrus.Fields{
			"outcome": outcome, "connections": connections, "max_connections": s.MaxConnections,
			"request_bytes": s.Requests.Used(), "buffered_bytes": s.Client.Buffers.Used(),
		}).Warn("too many connections or too little memory")
	}
}
