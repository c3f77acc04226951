package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"bergamotworks/fault"
	"bergamotworks/site"
	"bergamotworks/wire"
)

// maxBufferedBytes is the size limit in bytes of a response that is forwarded as a
// whole.
const maxBufferedBytes = 8 << 20

// forward forwards a response to the client.
func (x *exchange) forward(ctx context.Context, resp *wire.Response) error {
	if x.headerSent && !x.continues(resp) {
		return fault.New(fault.TargetFailed, fault.MayHaveRun, "status %d, content type %q for a stream that goes on", resp.Status, resp.Headers.Get(headerContentType))
	}
	if x.bodiless(resp) {
		return x.forwardHeader(resp)
	}
	if x.route.Kind == site.Stream && resp.Status < 300 {
		return x.forwardEvents(ctx, resp)
	}
	return x.forwardBuffered(ctx, resp)
}

// continues reports whether a response can continue the stream that has begun: it
// has the status and the content type of the first one.
func (x *exchange) continues(resp *wire.Response) bool {
	return resp.Status == x.status && resp.Headers.Get(headerContentType) == x.contentType
}

// bodiless reports whether the response ends with its header, whatever that says of a
// body. The client would take a body for the next response.
func (x *exchange) bodiless(resp *wire.Response) bool {
	return x.request.Method == http.MethodHead || resp.Status == http.StatusNoContent || resp.Status == http.StatusNotModified
}

// forwardHeader forwards a response without a body. The length that it states is that
// of the response to a GET.
func (x *exchange) forwardHeader(resp *wire.Response) error {
	x.recordFirstByte()
	x.client.setWriteTimeout(x.timeLeft())
	x.headerSent = true
	var framing []wire.Header
	if length := resp.Headers.Get(headerContentLength); length != "" && resp.Status != http.StatusNoContent {
		framing = append(framing, wire.Header{Name: headerContentLength, Value: length})
	}
	x.writeHeader(resp, framing...)
	if err := x.flushAll(); err != nil {
		return err
	}
	x.complete = true
	return nil
}

// forwardBuffered reads a response completely before it sends any of it, so
// that an interrupted response can still be replaced by a retry.
func (x *exchange) forwardBuffered(ctx context.Context, resp *wire.Response) error {
	b := wire.Body{Budget: &x.server.Client.Buffers, Limit: maxBufferedBytes}
	defer b.Release()
	if err := b.ReadAll(resp.Body); err != nil {
		return x.unreadable(ctx, resp, "answer", err)
	}
	x.recordFirstByte()
	x.client.setWriteTimeout(x.timeLeft())
	x.headerSent = true
	x.writeHeader(resp, wire.Header{Name: headerContentLength, Value: strconv.Itoa(b.Len())})
	resp.Close() // The client may read slowly.
	if err := x.client.output.sendBody(&b); err != nil {
		return &clientWriteError{cause: err}
	}
	x.complete = true
	return nil
}

// unreadable returns the error for a response, an answer or a stream, that could
// not be read to its end. Its target may have crashed only if the connection failed by
// itself.
func (x *exchange) unreadable(ctx context.Context, resp *wire.Response, what string, err error) error {
	if fault.From(err).Kind == fault.TooLarge {
		return fault.New(fault.TargetFailed, fault.MayHaveRun, "the %s of %s is too long: %s", what, x.target, err)
	}
	if ctx.Err() != nil {
		return fault.New(fault.From(ctx.Err()).Kind, fault.MayHaveRun, "the %s of %s was not complete in time", what, x.target)
	}
	lost := fault.New(fault.ConnectionLost, fault.MayHaveRun, "the %s of %s broke off: %s", what, x.target, err)
	if !resp.ConnectionFailed() {
		return &wire.InvalidResponseError{Cause: lost}
	}
	return lost
}

// writeHeader writes the status line and the header of a target's response,
// with framing in place of its own framing fields.
func (x *exchange) writeHeader(resp *wire.Response, framing ...wire.Header) {
	x.status = resp.Status
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", resp.Status, http.StatusText(resp.Status))
	hop, listed := hopByHopHeaders(), connectionHeaders(resp.Headers)
	for _, h := range resp.Headers {
		name := strings.ToLower(h.Name)
		if slices.Contains(hop, name) || listed[name] {
			continue
		}
		b.WriteString(h.Name + ": " + h.Value + "\r\n")
	}
	if x.server.draining.Load() || x.request.Close {
		b.WriteString("Connection: close\r\n")
	}
	for _, f := range framing {
		b.WriteString(f.Name + ": " + f.Value + "\r\n")
	}
	b.WriteString("\r\n")
	_, _ = x.client.writer.WriteString(b.String()) // Flush reports the error.
}

// hopByHopHeaders returns the names, in lower case, of the fields that concern
// a single connection.
func hopByHopHeaders() []string {
	return []string{
		headerConnection, "keep-alive", "proxy-connection", "proxy-authenticate", "te", "trailer",
		"transfer-encoding", "upgrade", "content-length",
	}
}

// flush sends the buffered output to the client.
func (x *exchange) flush() error {
	if err := x.client.writer.Flush(); err != nil {
		return &clientWriteError{cause: err}
	}
	return nil
}

// flushAll sends the buffered output and waits until the client has read it.
func (x *exchange) flushAll() error {
	if err := x.client.flush(); err != nil {
		return &clientWriteError{cause: err}
	}
	return nil
}

// forwardEvents forwards a stream of server-sent events, only complete events
// at a time. A stream without a length that ends before its first event has broken
// off.
func (x *exchange) forwardEvents(ctx context.Context, resp *wire.Response) error {
	r := eventReader{source: resp.Body, budget: &x.server.Client.Buffers}
	defer r.release()
	received := false
	for {
		events, err := r.next()
		if len(events) > 0 && !received {
			received = true
			x.firstEvent()
			x.recordBegin()
		}
		if len(events) > 0 {
			if err := x.writeEvents(resp, events); err != nil {
				return err
			}
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, errStreamEnd) && resp.UntilClose && !received:
			return x.unreadable(ctx, resp, "stream", io.ErrUnexpectedEOF)
		case errors.Is(err, errStreamEnd):
			return x.finishEvents(resp)
		}
		if cause := x.client.output.failure(); cause != nil {
			return &clientWriteError{cause: cause}
		}
		return x.unreadable(ctx, resp, "stream", err)
	}
}

// writeEvents sends complete events as one chunk, without those that the client
// already has. It sends the header before the first event.
func (x *exchange) writeEvents(resp *wire.Response, events []byte) error {
	events, last := skipDelivered(events, x.lastEventID)
	x.lastEventID = last
	if l := x.copies.live; l != nil {
		l.recordEvents(x.server.Clock.Now(), eventCount(events))
	}
	if len(events) == 0 {
		return nil
	}
	x.client.setWriteTimeout(x.timeLeft())
	w := x.client.writer
	x.startEvents(resp)
	_, _ = w.WriteString(strconv.FormatInt(int64(len(events)), 16) + "\r\n") // Flush reports the error.
	_, _ = w.Write(events)
	_, _ = w.WriteString("\r\n")
	return x.flush()
}

// startEvents writes the header of the stream and releases the results of the
// stages, once.
func (x *exchange) startEvents(resp *wire.Response) {
	if x.headerSent {
		return
	}
	x.headerSent = true
	x.contentType = resp.Headers.Get(headerContentType)
	x.recordFirstByte()
	x.writeHeader(resp, wire.Header{Name: "Transfer-Encoding", Value: "chunked"})
	x.releaseAll()
}

// finishEvents sends the last chunk, which marks the stream as complete.
func (x *exchange) finishEvents(resp *wire.Response) error {
	x.client.setWriteTimeout(x.timeLeft())
	x.startEvents(resp)
	resp.Close()                                    // The client may read slowly.
	_, _ = x.client.writer.WriteString("0\r\n\r\n") // Flush reports the error.
	if err := x.flushAll(); err != nil {
		return err
	}
	x.complete = true
	return nil
}
