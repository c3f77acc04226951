package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"bergamotworks/fault"
	"bergamotworks/site"
	"bergamotworks/wire"
)

const (
	maxWholeAnswer  = 8 << 20 // Bytes of an answer that is passed on whole.
	eventBufferSize = 4 << 10
	maxEventBytes   = 1 << 20
)

// pass passes an answer on to the caller.
func (j *job) pass(ctx context.Context, a *wire.Answer) error {
	if j.route.Kind == site.Stream && a.Status < 300 {
		return j.passEvents(ctx, a)
	}
	if j.begun {
		return fault.New(fault.TargetFailed, fault.MayHaveRun, "status %d for a stream that goes on", a.Status)
	}
	return j.passWhole(a)
}

// passWhole reads an answer to its end before any of it is sent.
func (j *job) passWhole(a *wire.Answer) error {
	data, err := a.ReadAll(maxWholeAnswer)
	if err != nil {
		return fault.New(fault.ConnectionLost, fault.MayHaveRun, "the answer of %s broke off: %s", j.target, err)
	}
	j.first = j.server.Clock.Now().Sub(j.arrived)
	j.session.allowWrite(j.left())
	j.begun = true
	j.writeHead(a, wire.Header{Name: "Content-Length", Value: strconv.Itoa(len(data))})
	_, _ = j.session.writer.Write(data) // Errors show up when the buffer is flushed.
	if err := j.flush(); err != nil {
		return err
	}
	j.finished = true
	return nil
}

// writeHead writes the head of a target's answer with the given framing.
func (j *job) writeHead(a *wire.Answer, framing wire.Header) {
	j.status = a.Status
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.Status, http.StatusText(a.Status))
	hop, listed := hopFields(), connectionFields(a.Headers)
	for _, h := range a.Headers {
		name := strings.ToLower(h.Name)
		if slices.Contains(hop, name) || listed[name] {
			continue
		}
		b.WriteString(h.Name + ": " + h.Value + "\r\n")
	}
	if j.server.draining.Load() || j.request.Close {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString(framing.Name + ": " + framing.Value + "\r\n\r\n")
	_, _ = j.session.writer.WriteString(b.String()) // Errors show up when the buffer is flushed.
}

// hopFields returns the fields, in lower case, that concern one connection only.
func hopFields() []string {
	return []string{
		hopConnection, "keep-alive", "proxy-connection", "proxy-authenticate", "te", "trailer",
		"transfer-encoding", "upgrade", "content-length",
	}
}

// flush sends what has been written to the caller.
func (j *job) flush() error {
	if err := j.session.writer.Flush(); err != nil {
		return &callerGone{cause: err}
	}
	return nil
}

// passEvents passes a stream on, event by event.
func (j *job) passEvents(ctx context.Context, a *wire.Answer) error {
	r := eventReader{source: a.Body}
	for {
		events, err := r.next()
		if len(events) > 0 {
			if err := j.writeEvents(a, events); err != nil {
				return err
			}
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, errWholeStream):
			return j.endEvents(a)
		case ctx.Err() != nil:
			return fault.New(fault.DeadlineExceeded, fault.MayHaveRun, "the stream of %s was not done in time", j.target)
		}
		return fault.New(fault.ConnectionLost, fault.MayHaveRun, "the stream of %s broke off: %s", j.target, err)
	}
}

// writeEvents sends whole events, after the head if they are the first.
func (j *job) writeEvents(a *wire.Answer, events []byte) error {
	events, last := afterEvent(events, j.lastEvent)
	j.lastEvent = last
	if len(events) == 0 {
		return nil
	}
	j.session.allowWrite(j.left())
	w := j.session.writer
	j.beginEvents(a)
	_, _ = w.WriteString(strconv.FormatInt(int64(len(events)), 16) + "\r\n") // Errors show up when the buffer is flushed.
	_, _ = w.Write(events)
	_, _ = w.WriteString("\r\n")
	return j.flush()
}

func (j *job) beginEvents(a *wire.Answer) {
	if j.begun {
		return
	}
	j.begun = true
	j.first = j.server.Clock.Now().Sub(j.arrived)
	j.writeHead(a, wire.Header{Name: "Transfer-Encoding", Value: "chunked"})
	j.free()
}

// endEvents marks the stream as whole.
func (j *job) endEvents(a *wire.Answer) error {
	j.session.allowWrite(j.left())
	j.beginEvents(a)
	_, _ = j.session.writer.WriteString("0\r\n\r\n") // Errors show up when the buffer is flushed.
	if err := j.flush(); err != nil {
		return err
	}
	j.finished = true
	return nil
}
