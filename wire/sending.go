package wire

import "strconv"

// maxSyncBodyBytes is the size up to which a request body is written before the
// response is read. The socket buffers hold more than that, so that the write does
// not block.
const maxSyncBodyBytes = 16 << 10

// requestWriter writes a request. It writes a long one concurrently with reading
// the response, since a target may respond before it has read a long body.
type requestWriter struct {
	conn *Conn
	call Call
	done chan struct{}
	err  error // Valid once done is closed.
}

// send writes a request. It returns at once for a long body, which a goroutine
// writes.
func send(conn *Conn, call Call) (*requestWriter, error) {
	w := &requestWriter{conn: conn, call: call, done: make(chan struct{})}
	if len(call.Body) > maxSyncBodyBytes {
		go w.run()
		return w, nil
	}
	w.run()
	return w, w.err
}

// run writes the request.
func (w *requestWriter) run() {
	defer close(w.done)
	w.err = writeRequest(w.conn, w.call)
}

// succeeded reports whether the request has been written completely.
func (w *requestWriter) succeeded() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// abort closes the connection and waits until the write has ended.
func (w *requestWriter) abort() {
	Discard(w.conn)
	<-w.done
}

func writeRequest(conn *Conn, call Call) error {
	w := conn.Writer
	_, _ = w.WriteString(call.Method + " " + call.URI + " HTTP/1.1\r\n") // Flush returns the error.
	for _, h := range call.Headers {
		writeHeader(w, h)
	}
	if len(call.Body) > 0 || call.Method == "POST" || call.Method == "PUT" {
		writeHeader(w, Header{Name: "Content-Length", Value: strconv.Itoa(len(call.Body))})
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(call.Body)
	return w.Flush()
}
