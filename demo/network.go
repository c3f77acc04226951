package demo

import (
	"context"
	"net"
	"sync"
	"syscall"

	"bergamotworks/ports"
)

// nodeNetwork is the network of one node. It can close all sockets of the node at
// once, as a crash of the VM would.
type nodeNetwork struct {
	ports.Network

	mutex   sync.Mutex
	closed  bool
	sockets map[socket]struct{}
}

// socket is a listener or connection.
type socket interface{ Close() error }

// closeAll closes every socket that the node has opened or accepted, and makes
// new ones fail.
func (n *nodeNetwork) closeAll() {
	n.mutex.Lock()
	n.closed = true
	sockets := n.sockets
	n.sockets = nil
	n.mutex.Unlock()
	for s := range sockets {
		_ = s.Close()
	}
}

// track records an open socket. If closeAll was called, it closes the socket and
// reports false.
func (n *nodeNetwork) track(s socket) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.closed {
		_ = s.Close()
		return false
	}
	if n.sockets == nil {
		n.sockets = make(map[socket]struct{})
	}
	n.sockets[s] = struct{}{}
	return true
}

func (n *nodeNetwork) untrack(s socket) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.sockets, s)
}

// Listen accepts streams at the address.
func (n *nodeNetwork) Listen(address string) (net.Listener, error) {
	listener, err := n.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	if !n.track(listener) {
		return nil, net.ErrClosed
	}
	return &trackedListener{Listener: listener, network: n}, nil
}

// ListenPacket receives datagrams at the address.
func (n *nodeNetwork) ListenPacket(address string) (net.PacketConn, error) {
	conn, err := n.Network.ListenPacket(address)
	if err != nil {
		return nil, err
	}
	if !n.track(conn) {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Dial opens a stream to the address.
func (n *nodeNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return n.trackConn(conn)
}

func (n *nodeNetwork) trackConn(conn net.Conn) (net.Conn, error) {
	if !n.track(conn) {
		return nil, net.ErrClosed
	}
	return &trackedConn{Conn: conn, network: n}, nil
}

// trackedListener tracks the connections that it accepts.
type trackedListener struct {
	net.Listener
	network *nodeNetwork
}

// Accept waits for the next stream.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.network.trackConn(conn)
}

// trackedConn is a connection that is no longer tracked once it is closed.
type trackedConn struct {
	net.Conn
	network *nodeNetwork
}

// SyscallConn returns the raw connection, with which callers detect that the peer
// has closed it.
func (c *trackedConn) SyscallConn() (syscall.RawConn, error) {
	plain, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, net.ErrClosed
	}
	return plain.SyscallConn()
}

// Close closes the stream.
func (c *trackedConn) Close() error {
	c.network.untrack(c.Conn)
	return c.Conn.Close()
}
