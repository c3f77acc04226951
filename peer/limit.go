package peer

import (
	"net"

	"bergamotworks/ports"
)

// writeLimited is a connection on which no write takes longer than silentAfter.
// A write to a silent connection would otherwise hold up every other caller.
type writeLimited struct {
	net.Conn
	clock ports.Clock
}

// Write writes within the time limit.
func (w *writeLimited) Write(data []byte) (int, error) {
	if err := w.SetWriteDeadline(w.clock.Now().Add(silentAfter)); err != nil {
		return 0, err
	}
	return w.Conn.Write(data)
}
