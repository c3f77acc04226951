package wire

import "strconv"

// directBodyBytes is the size up to which a body is sent before its answer is
// read. The connection's buffers take more than that.
const directBodyBytes = 16 << 10

// sending is a request that is being written while its answer is read, since a
// target may answer before it has read a long body.
type sending struct {
	conn *Conn
	call Call
	done chan struct{}
	err  error // Valid once done is closed.
}

// send writes a request, a long one beside the reading of its answer.
func send(conn *Conn, call Call) (*sending, error) {
	s := &sending{conn: conn, call: call, done: make(chan struct{})}
	if len(call.Body) > directBodyBytes {
		go s.run()
		return s, nil
	}
	s.run()
	return s, s.err
}

// run writes the request.
func (s *sending) run() {
	defer close(s.done)
	s.err = writeCall(s.conn, s.call)
}

// whole reports whether the request has been written whole.
func (s *sending) whole() bool {
	select {
	case <-s.done:
		return s.err == nil
	default:
		return false
	}
}

// abort closes the connection and waits for the end of the writing.
func (s *sending) abort() {
	Discard(s.conn)
	<-s.done
}

func writeCall(conn *Conn, call Call) error {
	w := conn.Writer
	_, _ = w.WriteString(call.Method + " " + call.URI + " HTTP/1.1\r\n") // Errors show up when the buffer is flushed.
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
