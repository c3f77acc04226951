package entry

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"bergamotworks/ports"
)

// watchInterval is the interval at which the connections of waiting clients are
// checked.
const watchInterval = 100 * time.Millisecond

// disconnectWatcher cancels requests whose clients disconnect while they wait for
// the response. The HTTP server itself does not read from a connection while it
// handles a request, so it does not notice this. The disconnection of a TLS client
// is not detected.
type disconnectWatcher struct {
	clock   ports.Clock // Not used; the server times the calls of sweep.
	mutex   sync.Mutex
	cancels map[net.Conn]context.CancelFunc // Cancel the waiting request of each connection.
}

// add starts to watch a connection. The returned function stops it.
func (w *disconnectWatcher) add(conn net.Conn, cancel context.CancelFunc) func() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.cancels == nil {
		w.cancels = make(map[net.Conn]context.CancelFunc)
	}
	w.cancels[conn] = cancel
	return func() { w.remove(conn) }
}

func (w *disconnectWatcher) remove(conn net.Conn) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.cancels, conn)
}

// sweep cancels the requests of all closed connections. The server calls it every
// watchInterval.
func (w *disconnectWatcher) sweep() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for c, cancel := range w.cancels {
		if isClosed(c) {
			cancel()
			delete(w.cancels, c)
		}
	}
}

// isClosed reports whether the peer has closed the connection. It peeks at the
// next byte without consuming it. A connection that does not expose its file
// descriptor, such as a TLS connection, counts as open.
func isClosed(conn net.Conn) bool {
	plain, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := plain.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(descriptor uintptr) {
		var next [1]byte
		n, _, err := syscall.Recvfrom(int(descriptor), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = (n == 0 && err == nil) || err == syscall.ECONNRESET
	})
	return closed || err != nil
}
