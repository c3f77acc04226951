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

// flushTimeout bounds one write to a caller that reads a stream.
const flushTimeout = 10 * time.Second

// stream carries the chunks of one request from the flow to the caller.
type stream struct {
	server  *Server
	request flow.Request
	conn    net.Conn
	cancel  context.CancelFunc
	mutex   sync.Mutex
	chunks  []flow.Chunk
	wake    chan struct{} // Holds one signal at most.
	done    chan struct{}
	answer  flow.Response
	err     error
}

func (s *Server) serveStream(ctx *fasthttp.RequestCtx, request flow.Request) {
	work, cancel := context.WithCancel(s.base)
	t := &stream{
		server: s, request: request, conn: ctx.Conn(), cancel: cancel,
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	stopWatch := s.watch.add(ctx.Conn(), cancel)
	s.running.Add(1)
	go t.run(work)
	t.waitFirst()
	stopWatch()
	if t.refused() {
		cancel()
		s.refuse(ctx, request.ID, t.err)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-store")
	ctx.Response.Header.Set(HeaderRequestID, request.ID)
	s.active.Add()
	ctx.SetBodyStreamWriter(t.write)
}

// run runs the request.
func (t *stream) run(ctx context.Context) {
	defer t.server.running.Done()
	t.answer, t.err = t.server.Flow.Serve(ctx, t.request, t.add)
	close(t.done)
}

func (t *stream) add(chunk flow.Chunk) {
	t.mutex.Lock()
	t.chunks = append(t.chunks, chunk)
	t.mutex.Unlock()
	t.signal()
}

func (t *stream) take() []flow.Chunk {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	chunks := t.chunks
	t.chunks = nil
	return chunks
}

// waitFirst waits for the first chunk or the end.
func (t *stream) waitFirst() {
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

// refused reports whether the request ended in an error before any chunk.
func (t *stream) refused() bool {
	select {
	case <-t.done:
	default:
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.err != nil && len(t.chunks) == 0
}

// write sends the events. A caller that has gone cancels the request.
func (t *stream) write(w *bufio.Writer) {
	defer t.server.active.Done()
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
	for _, c := range t.take() {
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
		writeEvent(w, "error", NewProblem(t.server.jitter(t.err), t.request.ID))
	} else {
		t.server.answered(t.request)
		writeEvent(w, "answer", t.answer)
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
