package wire

import (
	"errors"
	"io"
	"net/http/httputil"
)

// body reads the body of an answer and notices its end.
type body struct {
	answer *Response
	source io.Reader
	left   int64 // Bytes still due, or how the body ends.
}

func bodySource(conn *Conn, length int64) io.Reader {
	if length == chunked {
		return httputil.NewChunkedReader(conn.Reader)
	}
	return conn.Reader
}

// Read returns io.EOF only after the whole body.
func (b *body) Read(p []byte) (int, error) {
	switch {
	case b.left == 0 || b.answer.whole:
		b.answer.whole = true
		return 0, io.EOF
	case b.left > 0:
		return b.readCounted(p)
	}
	n, err := b.source.Read(p)
	if err != io.EOF {
		return n, err
	}
	return n, b.end()
}

func (b *body) readCounted(p []byte) (int, error) {
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.source.Read(p)
	b.left -= int64(n)
	if b.left == 0 {
		b.answer.whole = true
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// end reads what follows the last chunk. A body without length ends with its
// connection.
func (b *body) end() error {
	if b.left == chunked {
		if err := skipTrailer(b.answer.conn.Reader); err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
	}
	b.answer.whole = true
	return io.EOF
}
