package wire

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
	"strings"
	"time"

	"bergamotworks/fault"
)

// Request is a request received from a client.
type Request struct {
	Method  string
	URI     string // Path and query as received.
	Headers Headers
	Body    []byte
	Close   bool // The connection is closed after the response.

	budget *BufferBudget
	taken  int // From the budget.
}

// Release returns the memory of the body to the budget of its [Reader].
func (r *Request) Release() {
	r.budget.Return(r.taken)
	r.taken = 0
}

// take reports whether the budget has room for a body, and takes it.
func (r *Request) take(budget *BufferBudget, size int) bool {
	if !budget.Take(size, size) {
		return false
	}
	r.budget, r.taken = budget, size
	return true
}

// Host returns the value of the Host header field.
func (r *Request) Host() string { return r.Headers.Get("Host") }

// Path returns the path without the query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.URI, "?")
	return path
}

// Reader reads the requests of one connection.
type Reader struct {
	Buffer *bufio.Reader // Its size in bytes bounds the header of a request.
	// Continue is called before reading the body of a request with the field
	// "Expect: 100-continue", so that it can send the interim response. Nil means
	// that none is sent.
	Continue func() error
	// Budget limits the bodies of the requests of all readers that share it; may be nil.
	// [Request.Release] returns what a body takes of it.
	Budget *BufferBudget
}

// bodyRetryAfter is the delay after which a client may try again to send a body for
// which there was no memory.
const bodyRetryAfter = 1 * time.Second

func noMemory() error {
	return fault.New(fault.Busy, fault.NotRun, "no memory for the body").WithRetryAfter(bodyRetryAfter)
}

// ReadHeader reads the header of the next request. An error of type *fault.Error
// means that the request is rejected; any other error is one of the connection.
func (r *Reader) ReadHeader() (*Request, error) {
	q, err := r.readHeader()
	return q, rejected(err)
}

func (r *Reader) readHeader() (*Request, error) {
	line, headers, err := readHeader(r.Buffer, nil)
	if err != nil {
		return nil, err
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !isToken(parts[0]) || !strings.HasPrefix(parts[1], "/") {
		return nil, malformed("the request line")
	}
	q := &Request{Method: parts[0], URI: parts[1], Headers: headers}
	switch parts[2] {
	case "HTTP/1.1":
		q.Close = headers.containsToken("Connection", "close")
	case "HTTP/1.0":
		q.Close = !headers.containsToken("Connection", "keep-alive")
	default:
		return nil, malformed("the protocol version")
	}
	if headers.Count("Host") != 1 {
		return nil, malformed("a request needs one Host header")
	}
	return q, nil
}

// ReadBody reads the body of a request into its Body. It rejects a malformed body, one
// of more than limit bytes and one for which the budget has no room with an error of
// type *fault.Error, at once if the header states the length. Any other error is one of
// the connection or of Continue.
func (r *Reader) ReadBody(q *Request, limit int64) error {
	length, err := q.Headers.bodyLength(0)
	if err != nil {
		return rejected(err)
	}
	if length == 0 {
		return nil
	}
	if length > limit {
		return bodyTooLarge(limit)
	}
	if length != chunked && !q.take(r.Budget, int(length)) {
		return noMemory()
	}
	if err := r.readBody(q, length, limit); err != nil {
		q.Release()
		return rejected(err)
	}
	return nil
}

// readBody reads a body whose length, if it is stated, has been taken from the budget.
func (r *Reader) readBody(q *Request, length, limit int64) error {
	if strings.EqualFold(q.Headers.Get("Expect"), "100-continue") && r.Continue != nil {
		if err := r.Continue(); err != nil {
			return err
		}
	}
	if length == chunked {
		return r.readChunks(q, limit)
	}
	q.Body = make([]byte, length)
	_, err := io.ReadFull(r.Buffer, q.Body)
	return err
}

func bodyTooLarge(limit int64) error {
	return fault.New(fault.TooLarge, fault.NotRun, "the body is longer than %d bytes", limit)
}

// readChunks reads a chunked body, with memory from the budget as it arrives.
func (r *Reader) readChunks(q *Request, limit int64) error {
	body := Body{Budget: r.Budget, Limit: int(limit) + 1}
	err := body.ReadAll(httputil.NewChunkedReader(r.Buffer))
	defer body.Release()
	switch size := body.Len(); {
	case int64(size) > limit:
		return bodyTooLarge(limit)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return err
	case err != nil && fault.From(err).Kind == fault.TooLarge:
		return noMemory()
	case err != nil:
		return malformed("the chunked body: %s", err)
	case !r.Budget.takeCopy(size): // The segments are in use until the copy is done.
		return noMemory()
	}
	q.budget, q.taken = r.Budget, body.Len()
	q.Body = body.join(make([]byte, 0, body.Len()))
	return skipTrailer(r.Buffer)
}

// maxTrailerLines bounds the number of trailer lines after a chunked body.
const maxTrailerLines = 32

// skipTrailer skips the lines between the last chunk and the end of a message.
func skipTrailer(r *bufio.Reader) error {
	for range maxTrailerLines {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) == 2 && line[0] == '\r' {
			return nil
		}
	}
	return malformed("the trailer is too long")
}
