package relay

import (
	"cmp"
	"errors"
	"net"
	"time"

	"bergamotworks/wire"
)

const (
	// defaultSlowAfter is how long a client may leave a write waiting before it counts as slow.
	defaultSlowAfter = 100 * time.Millisecond
	// slowAgainAfter is the same once the client has been slow: a stream is written a
	// few KiB at a time, so that a wait for each would keep the target waiting, too.
	slowAgainAfter = 5 * time.Millisecond
)

// output is what is sent to a client, by one goroutine. What a slow client does not read
// goes to a backlog, so that the response of the target is read on meanwhile.
type output struct {
	client    *clientConn
	deadline  time.Time     // Writes fail at this time.
	backlog   *backlog      // That of the current response; nil unless the client is or was slow.
	body      *wire.Body    // The body that is sent as a whole, which needs no other memory; may be nil.
	slowAfter time.Duration // How long a write may wait; zero means defaultSlowAfter.
}

// Write implements [io.Writer]. It returns once the client has read the bytes or they
// are in the backlog.
func (o *output) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n, err := o.writeSome(p[written:])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// writeSome writes a part of the bytes, in one of the two ways.
func (o *output) writeSome(p []byte) (int, error) {
	if o.backlog != nil && o.body == nil {
		n, err := o.backlog.add(p)
		if errors.Is(err, errBacklogEnded) { // The client has read everything.
			o.backlog, err = nil, nil
		}
		return n, err
	}
	until := o.deadline
	if t := o.client.server.Clock.Now().Add(cmp.Or(o.slowAfter, defaultSlowAfter)); t.Before(until) && !o.slow() {
		until = t
	}
	n, err := o.write(p, until)
	if !isTimeout(err) || until.Equal(o.deadline) {
		return n, err
	}
	o.backlog, o.slowAfter = newBacklog(o), slowAgainAfter
	return n, nil
}

// slow reports whether the client has been found to be slow while a body is sent.
func (o *output) slow() bool { return o.body != nil && o.backlog != nil }

func (o *output) write(p []byte, until time.Time) (int, error) {
	_ = o.client.conn.SetWriteDeadline(until) // A failure also fails the write.
	if o.slow() {
		if err := o.backlog.failure(); err != nil { // It has set a deadline of its own.
			return 0, err
		}
	}
	n, err := o.client.conn.Write(p)
	if o.slow() {
		if abandoned := o.backlog.progress(n); abandoned != nil {
			return n, abandoned
		}
	}
	return n, err
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// sendBody writes a body and releases it.
func (o *output) sendBody(b *wire.Body) error {
	o.body = b
	_, _ = b.WriteTo(o.client.writer) // Flush reports the error.
	err := o.client.writer.Flush()
	if o.backlog != nil {
		_ = o.backlog.end() // Flush has returned the error.
		o.backlog = nil
	}
	o.body = nil
	b.Release()
	return err
}

// drain waits until the client has read everything or was given up.
func (o *output) drain() error {
	if o.backlog == nil {
		return nil
	}
	err := o.backlog.wait()
	o.backlog = nil
	return err
}

// failure returns the error with which the client was given up, nil if it was not.
func (o *output) failure() error {
	if o.backlog == nil {
		return nil
	}
	return o.backlog.failure()
}
