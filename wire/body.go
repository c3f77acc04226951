package wire

import (
	"errors"
	"io"
	"net/http/httputil"

	"bergamotworks/fault"
)

// body reads the body of a response and marks the response complete at its end.
type body struct {
	response  *Response
	source    io.Reader
	remaining int64 // Remaining bytes, or chunked or untilClose.
}

func bodySource(conn *Conn, length int64) io.Reader {
	if length == chunked {
		return httputil.NewChunkedReader(conn.Reader)
	}
	return conn.Reader
}

// Read returns io.EOF only after the complete body.
func (b *body) Read(p []byte) (int, error) {
	switch {
	case b.remaining == 0 || b.response.complete:
		b.response.complete = true
		return 0, io.EOF
	case b.remaining > 0:
		return b.readCounted(p)
	}
	n, err := b.source.Read(p)
	if err != io.EOF {
		return n, err
	}
	return n, b.end()
}

func (b *body) readCounted(p []byte) (int, error) {
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.source.Read(p)
	b.remaining -= int64(n)
	if b.remaining == 0 {
		b.response.complete = true
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// unreadable returns the *fault.Error for a response that can't be read, and any other
// error unchanged.
func unreadable(err error) error {
	var e *messageError
	if !errors.As(err, &e) {
		return err
	}
	return fault.New(fault.ConnectionLost, fault.MayHaveRun, "%s", e.text)
}

// end handles the io.EOF of the source. It skips the trailer of a chunked body; a
// body without a length ends when the connection is closed, unless that has interrupted
// the request: a reset is reported either to the write or to the read, and the other one
// sees the end of the connection only.
func (b *body) end() error {
	if b.remaining == chunked {
		if err := skipTrailer(b.response.conn.Reader); err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return unreadable(err)
		}
	}
	if b.remaining == untilClose && !b.response.requestSent() {
		return io.ErrUnexpectedEOF
	}
	b.response.complete = true
	return io.EOF
}
