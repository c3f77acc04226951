package engine

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"
)

// maxIdleConns is the number of kept connections to one address.
const maxIdleConns = 32

// connBufferBytes is the size of a connection's read and write buffers.
const connBufferBytes = 4 << 10

// conn is a connection to a target.
type conn struct {
	net.Conn
	address   string
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
	readErr   error // Last error of Read, which parsers do not all pass on.
}

func newConn(address string, stream net.Conn) *conn {
	c := &conn{Conn: stream, address: address}
	c.reader = bufio.NewReaderSize(c, connBufferBytes)
	c.writer = bufio.NewWriterSize(c, connBufferBytes)
	return c
}

// Read reads from the connection and remembers the error.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.readErr = err
	}
	return n, err
}

// alive reports whether the other end has neither closed the connection nor
// written to it. A connection that cannot be probed is not alive.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
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
	err = raw.Control(func(fd uintptr) { open = nothingToRead(int(fd)) })
	return err == nil && open
}

// nothingToRead reports whether a read would have to wait.
func nothingToRead(fd int) bool {
	var one [1]byte
	_, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}

// idleConns holds the kept connections by address.
type idleConns struct {
	mutex     sync.Mutex
	byAddress map[string][]*conn
	swept     time.Time
	closed    bool
}

// take removes and returns a live connection, or nil.
func (i *idleConns) take(address string, now time.Time, limit time.Duration) *conn {
	for {
		c := i.pop(address)
		if c == nil {
			return nil
		}
		if now.Sub(c.idleSince) < limit && c.alive() {
			return c
		}
		closeConn(c)
	}
}

func (i *idleConns) pop(address string) *conn {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	kept := i.byAddress[address]
	if len(kept) == 0 {
		return nil
	}
	last := len(kept) - 1
	c := kept[last]
	kept[last] = nil
	i.byAddress[address] = kept[:last]
	return c
}

// put keeps a connection, and closes those that have been idle for too long.
func (i *idleConns) put(c *conn, now time.Time, limit time.Duration) {
	c.idleSince = now
	i.mutex.Lock()
	var expired []*conn
	if now.Sub(i.swept) >= limit {
		expired = i.sweep(now.Add(-limit))
		i.swept = now
	}
	if i.closed || len(i.byAddress[c.address]) >= maxIdleConns {
		expired = append(expired, c)
	} else {
		i.keep(c)
	}
	i.mutex.Unlock()
	closeConns(expired)
}

func (i *idleConns) keep(c *conn) {
	if i.byAddress == nil {
		i.byAddress = make(map[string][]*conn)
	}
	i.byAddress[c.address] = append(i.byAddress[c.address], c)
}

// sweep removes and returns the connections that became idle before the time.
func (i *idleConns) sweep(before time.Time) []*conn {
	var expired []*conn
	for address, kept := range i.byAddress {
		n := 0
		for n < len(kept) && kept[n].idleSince.Before(before) {
			n++
		}
		expired = append(expired, kept[:n]...)
		if n == len(kept) {
			delete(i.byAddress, address)
			continue
		}
		i.byAddress[address] = append([]*conn(nil), kept[n:]...)
	}
	return expired
}

// drop closes the kept connections to an address.
func (i *idleConns) drop(address string) {
	i.mutex.Lock()
	kept := i.byAddress[address]
	delete(i.byAddress, address)
	i.mutex.Unlock()
	closeConns(kept)
}

// close closes all kept connections; later ones are closed instead of kept.
func (i *idleConns) close() {
	i.mutex.Lock()
	i.closed = true
	all := i.byAddress
	i.byAddress = nil
	i.mutex.Unlock()
	for _, kept := range all {
		closeConns(kept)
	}
}

func closeConns(conns []*conn) {
	for _, c := range conns {
		closeConn(c)
	}
}

// closeConn closes a connection that is given up; its error has no reader.
func closeConn(c *conn) { _ = c.Close() }
