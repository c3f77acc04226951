package peer

import (
	"net"

	"bergamotworks/ports"
)

// deadlineConn is a connection on which every write fails after silenceTimeout.
// A write to an unresponsive peer would otherwise block all other callers.
type deadlineConn struct {
	net.Conn
	clock ports.Clock
}

// Write writes data with a deadline of silenceTimeout.
func (c *deadlineConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(c.clock.Now().Add(silenceTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}
