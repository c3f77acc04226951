package relay

import (
	"bufio"
	"net"
	"sync"
)

// input is what a client sends. It has a buffer only from the first byte of a request
// until the request has been read, so that a connection takes little memory while the
// client sends nothing or waits for its response.
type input struct {
	conn    net.Conn
	buffers *sync.Pool // Of *bufio.Reader.
	buffer  *bufio.Reader
	first   [1]byte // The byte that await has read.
	arrived bool    // Whether first has not been read yet.
}

// await waits for the first byte of a request.
func (i *input) await() error {
	if i.pending() {
		return nil
	}
	i.release()
	n, err := i.conn.Read(i.first[:])
	i.arrived = n == 1
	if i.arrived {
		return nil
	}
	return err
}

// pending reports whether a request has begun to arrive.
func (i *input) pending() bool {
	return i.arrived || i.buffer != nil && i.buffer.Buffered() > 0
}

// open returns the buffer from which a request is read.
func (i *input) open() *bufio.Reader {
	if i.buffer == nil {
		if b, ok := i.buffers.Get().(*bufio.Reader); ok {
			b.Reset(i)
			i.buffer = b
		} else {
			i.buffer = bufio.NewReaderSize(i, readBufferSize)
		}
	}
	return i.buffer
}

// release gives up the buffer unless the next request has begun in it.
func (i *input) release() {
	if i.buffer == nil || i.buffer.Buffered() > 0 {
		return
	}
	i.buffer.Reset(nil)
	i.buffers.Put(i.buffer)
	i.buffer = nil
}

// Read implements [io.Reader] for the buffer.
func (i *input) Read(p []byte) (int, error) {
	if i.arrived {
		i.arrived = false
		return copy(p, i.first[:]), nil
	}
	return i.conn.Read(p)
}
