package relay

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"

	"bergamotworks/fault"
)

// errWholeStream means that a stream has ended after a whole event.
var errWholeStream = errors.New("the stream is whole")

// noEvent is the identifier before the first event.
const noEvent = -1

// eventReader takes whole server-sent events from a stream.
type eventReader struct {
	source  io.Reader
	pending []byte
}

// next returns the whole events that have arrived. The error is errWholeStream after the end of a stream.
func (r *eventReader) next() ([]byte, error) {
	if r.pending == nil {
		r.pending = make([]byte, 0, eventBufferSize)
	}
	if len(r.pending) == cap(r.pending) {
		if len(r.pending) >= maxEventBytes {
			return nil, fault.New(fault.TooLarge, fault.MayHaveRun, "an event is longer than %d bytes", maxEventBytes)
		}
		r.pending = append(make([]byte, 0, 2*cap(r.pending)), r.pending...)
	}
	n, err := r.source.Read(r.pending[len(r.pending):cap(r.pending)])
	r.pending = r.pending[:len(r.pending)+n]
	end := lastEventEnd(r.pending)
	events := bytes.Clone(r.pending[:end])
	r.pending = r.pending[:copy(r.pending, r.pending[end:])]
	if err == io.EOF {
		if len(r.pending) > 0 {
			return events, io.ErrUnexpectedEOF
		}
		return events, errWholeStream
	}
	return events, err
}

// lastEventEnd returns the length of the whole events at the start of the data.
func lastEventEnd(data []byte) int {
	end := 0
	if at := bytes.LastIndex(data, []byte("\n\n")); at >= 0 {
		end = at + 2
	}
	if at := bytes.LastIndex(data, []byte("\r\n\r\n")); at >= 0 {
		end = max(end, at+4)
	}
	return end
}

// afterEvent returns the events whose identifiers lie above the last one, and
// the highest identifier so far. Events without identifiers stay.
func afterEvent(events []byte, last int64) ([]byte, int64) {
	out := events[:0:0]
	rest := events
	for len(rest) > 0 {
		var e []byte
		e, rest = cutEvent(rest)
		id, ok := eventID(e)
		if ok && id <= last {
			continue
		}
		if ok {
			last = id
		}
		out = append(out, e...)
	}
	return out, last
}

func cutEvent(events []byte) (event, rest []byte) {
	end := len(events)
	if at := bytes.Index(events, []byte("\n\n")); at >= 0 {
		end = at + 2
	}
	if at := bytes.Index(events, []byte("\r\n\r\n")); at >= 0 {
		end = min(end, at+4)
	}
	return events[:end], events[end:]
}

// eventID returns the number that an event bears as its identifier.
func eventID(event []byte) (int64, bool) {
	for line := range strings.Lines(string(event)) {
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			id, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}
