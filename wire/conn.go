package wire

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"
)

// maxIdleConns is the number of kept connections to one address.
const maxIdleConns = 32

// ConnBufferBytes is the size of a connection's read and write buffers.
const ConnBufferBytes = 4 << 10

// Conn is a connection to a target. Use [NewConn].
type Conn struct {
	net.Conn
	address   string
	Reader    *bufio.Reader
	Writer    *bufio.Writer
	idleSince time.Time
	ReadErr   error // Last error of Read, which parsers do not all pass on.
}

// NewConn returns the connection over a stream to an address.
func NewConn(address string, stream net.Conn) *Conn {
	c := &Conn{Conn: stream, address: address}
	c.Reader = bufio.NewReaderSize(c, ConnBufferBytes)
	c.Writer = bufio.NewWriterSize(c, ConnBufferBytes)
	return c
}

// Read reads from the connection and remembers the error.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.ReadErr = err
	}
	return n, err
}

// alive reports whether the other end has neither closed the connection nor
// written to it. A connection that cannot be probed is not alive.
func (c *Conn) alive() bool {
	if c.Reader.Buffered() > 0 {
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

// IdleConns holds the kept connections by address. The zero value is ready for use.
type IdleConns struct {
	mutex     sync.Mutex
	byAddress map[string][]*Conn
	swept     time.Time
	closed    bool
}

// Take removes and returns a live connection, or nil.
func (i *IdleConns) Take(address string, now time.Time, limit time.Duration) *Conn {
	for {
		c := i.pop(address)
		if c == nil {
			return nil
		}
		if now.Sub(c.idleSince) < limit && c.alive() {
			return c
		}
		Discard(c)
	}
}

func (i *IdleConns) pop(address string) *Conn {
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

// Put keeps a connection, and closes those that have been idle for too long.
func (i *IdleConns) Put(c *Conn, now time.Time, limit time.Duration) {
	c.idleSince = now
	i.mutex.Lock()
	var expired []*Conn
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

func (i *IdleConns) keep(c *Conn) {
	if i.byAddress == nil {
		i.byAddress = make(map[string][]*Conn)
	}
	i.byAddress[c.address] = append(i.byAddress[c.address], c)
}

// sweep removes and returns the connections that became idle before the time.
func (i *IdleConns) sweep(before time.Time) []*Conn {
	var expired []*Conn
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
		i.byAddress[address] = append([]*Conn(nil), kept[n:]...)
	}
	return expired
}

// Drop closes the kept connections to an address.
func (i *IdleConns) Drop(address string) {
	i.mutex.Lock()
	kept := i.byAddress[address]
	delete(i.byAddress, address)
	i.mutex.Unlock()
	closeConns(kept)
}

// Close closes all kept connections; later ones are closed instead of kept.
func (i *IdleConns) Close() {
	i.mutex.Lock()
	i.closed = true
	all := i.byAddress
	i.byAddress = nil
	i.mutex.Unlock()
	for _, kept := range all {
		closeConns(kept)
	}
}

func closeConns(conns []*Conn) {
	for _, c := range conns {
		Discard(c)
	}
}

// Discard closes a connection that is given up; its error has no reader.
func Discard(c *Conn) { _ = c.Close() }
