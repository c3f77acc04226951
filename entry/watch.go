package entry

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"bergamotworks/ports"
)

// watchInterval is the time between two looks at the connections of waiting callers.
const watchInterval = 100 * time.Millisecond

// watcher finds callers that have closed their connection while they waited.
type watcher struct {
	clock   ports.Clock
	mutex   sync.Mutex
	waiting map[net.Conn]context.CancelFunc
}

// add watches a connection. The function that it returns ends the watch.
func (w *watcher) add(conn net.Conn, cancel context.CancelFunc) func() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.waiting == nil {
		w.waiting = make(map[net.Conn]context.CancelFunc)
	}
	w.waiting[conn] = cancel
	return func() { w.remove(conn) }
}

func (w *watcher) remove(conn net.Conn) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.waiting, conn)
}

// sweep cancels the work of every closed connection.
func (w *watcher) sweep() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for c, cancel := range w.waiting {
		if isClosed(c) {
			cancel()
			delete(w.waiting, c)
		}
	}
}

// isClosed reports whether the other side has closed the connection. It looks
// at the next byte without taking it; a connection that is not a plain TCP
// connection counts as open.
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
