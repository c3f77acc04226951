package demo

import (
	"context"
	"net"
	"sync"
	"syscall"

	"bergamotworks/ports"
)

// cut is the network of one node. It can be cut, which closes every socket at
// once, as the end of the VM would.
type cut struct {
	ports.Network

	mutex   sync.Mutex
	closed  bool
	sockets map[closer]struct{}
}

type closer interface{ Close() error }

// closeAll closes every socket that the node has opened or accepted.
func (c *cut) closeAll() {
	c.mutex.Lock()
	c.closed = true
	sockets := c.sockets
	c.sockets = nil
	c.mutex.Unlock()
	for s := range sockets {
		_ = s.Close()
	}
}

// keep notes an open socket. It reports false, and closes the socket, if the
// network is cut.
func (c *cut) keep(socket closer) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		_ = socket.Close()
		return false
	}
	if c.sockets == nil {
		c.sockets = make(map[closer]struct{})
	}
	c.sockets[socket] = struct{}{}
	return true
}

func (c *cut) drop(socket closer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.sockets, socket)
}

// Listen accepts streams at the address.
func (c *cut) Listen(address string) (net.Listener, error) {
	listener, err := c.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	if !c.keep(listener) {
		return nil, net.ErrClosed
	}
	return &cutListener{Listener: listener, cut: c}, nil
}

// ListenPacket receives datagrams at the address.
func (c *cut) ListenPacket(address string) (net.PacketConn, error) {
	conn, err := c.Network.ListenPacket(address)
	if err != nil {
		return nil, err
	}
	if !c.keep(conn) {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Dial opens a stream to the address.
func (c *cut) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return c.wrap(conn)
}

func (c *cut) wrap(conn net.Conn) (net.Conn, error) {
	if !c.keep(conn) {
		return nil, net.ErrClosed
	}
	return &cutConn{Conn: conn, cut: c}, nil
}

// cutListener wraps what it accepts.
type cutListener struct {
	net.Listener
	cut *cut
}

// Accept waits for the next stream.
func (l *cutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.cut.wrap(conn)
}

// cutConn forgets itself when it is closed.
type cutConn struct {
	net.Conn
	cut *cut
}

// SyscallConn returns the stream's descriptor, by which its users see that the
// other end has closed it.
func (c *cutConn) SyscallConn() (syscall.RawConn, error) {
	plain, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, net.ErrClosed
	}
	return plain.SyscallConn()
}

// Close closes the stream.
func (c *cutConn) Close() error {
	c.cut.drop(c.Conn)
	return c.Conn.Close()
}
