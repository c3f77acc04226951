package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"bergamotworks/flow"
)

// flushTimeout bounds one write to a client that reads a stream.
const flushTimeout = 10 * time.Second

// stream passes the chunks of one request from the flow to the client. A
// goroutine runs the request and appends the chunks; the HTTP server's goroutine
// writes them.
type stream struct {
	server   *Server
	request  flow.Request
	conn     net.Conn
	cancel   context.CancelFunc
	mutex    sync.Mutex
	chunks   []flow.Chunk
	wake     chan struct{} // Buffered; holds at most one signal.
	done     chan struct{}
	response flow.Response
	err      error
}

func (s *Server) serveStream(ctx *fasthttp.RequestCtx, request flow.Request) {
	requestCtx, cancel := context.WithCancel(s.base)
	t := &stream{
		server: s, request: request, conn: ctx.Conn(), cancel: cancel,
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	stopWatch := s.disconnects.add(ctx.Conn(), cancel)
	s.goroutines.Add(1)
	go t.run(requestCtx)
	t.waitFirstChunk()
	stopWatch()
	if t.failedEarly() {
		cancel()
		s.writeError(ctx, request.ID, t.err)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-store")
	ctx.Response.Header.Set(HeaderRequestID, request.ID)
	s.inFlight.Add()
	ctx.SetBodyStreamWriter(t.write)
}

// run runs the request and closes done when the response or error is set.
func (t *stream) run(ctx context.Context) {
	defer t.server.goroutines.Done()
	t.response, t.err = t.server.Flow.Serve(ctx, t.request, t.add)
	close(t.done)
}

func (t *stream) add(chunk flow.Chunk) {
	t.mutex.Lock()
	t.chunks = append(t.chunks, chunk)
	t.mutex.Unlock()
	t.signal()
}

func (t *stream) takeChunks() []flow.Chunk {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	chunks := t.chunks
	t.chunks = nil
	return chunks
}

// waitFirstChunk waits for the first chunk or for the end of the request, so that an
// error before the first chunk can be sent as an ordinary error response.
func (t *stream) waitFirstChunk() {
	select {
	case <-t.wake:
		t.signal()
	case <-t.done:
	}
}

func (t *stream) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// failedEarly reports whether the request failed before its first chunk.
func (t *stream) failedEarly() bool {
	select {
	case <-t.done:
	default:
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.err != nil && len(t.chunks) == 0
}

// write sends the events. If the client disconnects, it cancels the request.
func (t *stream) write(w *bufio.Writer) {
	defer t.server.inFlight.Done()
	defer t.cancel()
	for {
		select {
		case <-t.wake:
			if !t.flush(w) {
				return
			}
		case <-t.done:
			if t.flush(w) {
				t.finish(w)
			}
			return
		}
	}
}

func (t *stream) flush(w *bufio.Writer) bool {
	for _, c := range t.takeChunks() {
		if !writeEvent(w, "token", c) {
			return false
		}
	}
	if t.conn.SetWriteDeadline(t.server.Clock.Now().Add(flushTimeout)) != nil {
		return false
	}
	return w.Flush() == nil
}

func (t *stream) finish(w *bufio.Writer) {
	if t.err != nil {
		writeEvent(w, "error", NewProblem(t.server.withJitter(t.err), t.request.ID))
	} else {
		t.server.recordSuccess(t.request)
		writeEvent(w, "answer", t.response)
	}
	_ = w.Flush()
}

func writeEvent(w *bufio.Writer, event string, data any) bool {
	text, err := json.Marshal(data)
	if err != nil {
		return false
	}
	_, err = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", event, text)
	return err == nil
}
