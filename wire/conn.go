package wire

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"

	"bergamotworks/ports"
)

// maxIdleConns is the maximum number of idle connections to one address.
const maxIdleConns = 32

// ConnBufferBytes is the size of a connection's read and write buffers.
const ConnBufferBytes = 4 << 10

// Conn is a buffered connection to a target. Use [NewConn].
type Conn struct {
	net.Conn
	address   string
	Reader    *bufio.Reader
	Writer    *bufio.Writer
	idleSince time.Time
	reused    bool  // The connection has carried an earlier call.
	ReadErr   error // Last error of Read. Some parsers return an error of their own instead of it.
}

// NewConn returns a connection that uses the stream, which was dialed to the
// address.
func NewConn(address string, stream net.Conn) *Conn {
	c := &Conn{Conn: stream, address: address}
	c.Reader = bufio.NewReaderSize(c, ConnBufferBytes)
	c.Writer = bufio.NewWriterSize(c, ConnBufferBytes)
	return c
}

// Read reads from the connection and stores its error in ReadErr.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.ReadErr = err
	}
	return n, err
}

// alive reports whether the peer has neither closed the connection nor written to
// it since the last response. A connection that cannot be probed is not alive.
func (c *Conn) alive() bool {
	if c.Reader.Buffered() > 0 {
		return false
	}
	if p, ok := c.Conn.(ports.Prober); ok {
		return p.Idle()
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) { open = readWouldBlock(int(fd)) })
	return err == nil && open
}

// readWouldBlock reports whether the socket is open and has nothing to read.
func readWouldBlock(fd int) bool {
	var one [1]byte
	_, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}

// IdleConns holds the idle connections by address. The zero value is ready to use.
type IdleConns struct {
	mutex     sync.Mutex
	byAddress map[string][]*Conn
	lastSweep time.Time
	closed    bool
}

// Take removes and returns a live connection that has been idle for less than
// idleTimeout, or nil if there is none. It closes those that it finds unusable.
func (i *IdleConns) Take(address string, now time.Time, idleTimeout time.Duration) *Conn {
	for {
		c := i.pop(address)
		if c == nil {
			return nil
		}
		if now.Sub(c.idleSince) < idleTimeout && c.alive() {
			return c
		}
		Discard(c)
	}
}

func (i *IdleConns) pop(address string) *Conn {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	conns := i.byAddress[address]
	if len(conns) == 0 {
		return nil
	}
	last := len(conns) - 1
	c := conns[last]
	conns[last] = nil
	i.byAddress[address] = conns[:last]
	return c
}

// Put adds a connection, or closes it if there are too many to its address. At
// most once per idleTimeout it also closes those that have been idle for longer
// than that.
func (i *IdleConns) Put(c *Conn, now time.Time, idleTimeout time.Duration) {
	c.idleSince, c.reused = now, true
	i.mutex.Lock()
	var expired []*Conn
	if now.Sub(i.lastSweep) >= idleTimeout {
		expired = i.sweep(now.Add(-idleTimeout))
		i.lastSweep = now
	}
	if i.closed || len(i.byAddress[c.address]) >= maxIdleConns {
		expired = append(expired, c)
	} else {
		i.add(c)
	}
	i.mutex.Unlock()
	closeConns(expired)
}

func (i *IdleConns) add(c *Conn) {
	if i.byAddress == nil {
		i.byAddress = make(map[string][]*Conn)
	}
	i.byAddress[c.address] = append(i.byAddress[c.address], c)
}

// sweep removes and returns the connections that became idle before a time.
func (i *IdleConns) sweep(before time.Time) []*Conn {
	var expired []*Conn
	for address, conns := range i.byAddress {
		n := 0
		for n < len(conns) && conns[n].idleSince.Before(before) {
			n++
		}
		expired = append(expired, conns[:n]...)
		if n == len(conns) {
			delete(i.byAddress, address)
			continue
		}
		i.byAddress[address] = append([]*Conn(nil), conns[n:]...)
	}
	return expired
}

// Drop closes the idle connections to an address.
func (i *IdleConns) Drop(address string) {
	i.mutex.Lock()
	conns := i.byAddress[address]
	delete(i.byAddress, address)
	i.mutex.Unlock()
	closeConns(conns)
}

// DropAll closes the idle connections to all addresses, so that others can be opened. It
// reports whether there were any.
func (i *IdleConns) DropAll() bool {
	i.mutex.Lock()
	all := i.byAddress
	i.byAddress = nil
	i.mutex.Unlock()
	dropped := false
	for _, conns := range all {
		dropped = dropped || len(conns) > 0
		closeConns(conns)
	}
	return dropped
}

// Close closes all idle connections. Connections passed to Put later are closed.
func (i *IdleConns) Close() {
	i.mutex.Lock()
	i.closed = true
	all := i.byAddress
	i.byAddress = nil
	i.mutex.Unlock()
	for _, conns := range all {
		closeConns(conns)
	}
}

func closeConns(conns []*Conn) {
	for _, c := range conns {
		Discard(c)
	}
}

// Discard closes a connection that is not reused and ignores the error.
func Discard(c *Conn) { _ = c.Close() }
