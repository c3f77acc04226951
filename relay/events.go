package relay

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"

	"bergamotworks/wire"
)

// errStreamEnd means that a stream ended after a complete event.
var errStreamEnd = errors.New("stream ended after a complete event")

// noEventID stands for the identifier of the last event while no event with an
// identifier has been forwarded.
const noEventID = -1

// eventReader reads complete server-sent events from a stream.
type eventReader struct {
	source  io.Reader
	pending wire.Buffer
}

// next returns the complete events that have arrived, maybe none. The error is
// errStreamEnd at the end of a stream, [io.ErrUnexpectedEOF] if the last event
// is incomplete, or of kind [fault.TooLarge] if an event is too long.
func (r *eventReader) next() ([]byte, error) {
	err := r.pending.ReadOnce(r.source)
	data := r.pending.Data
	end := completeEventsLen(data)
	events := bytes.Clone(data[:end])
	r.pending.Data = data[:copy(data, data[end:])]
	if errors.Is(err, io.EOF) {
		if len(r.pending.Data) > 0 {
			return events, io.ErrUnexpectedEOF
		}
		return events, errStreamEnd
	}
	return events, err
}

// completeEventsLen returns the length of the complete events at the start of
// the data.
func completeEventsLen(data []byte) int {
	end := 0
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(data, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// skipDelivered returns the events whose identifiers are greater than last, and
// the highest identifier so far. Events without an identifier are included.
func skipDelivered(events []byte, last int64) ([]byte, int64) {
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

// cutEvent splits off the first event.
func cutEvent(events []byte) (event, rest []byte) {
	end := len(events)
	if i := bytes.Index(events, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.Index(events, []byte("\r\n\r\n")); i >= 0 {
		end = min(end, i+4)
	}
	return events[:end], events[end:]
}

// eventID returns the numeric identifier of an event, and false if it has none.
func eventID(event []byte) (int64, bool) {
	for line := range strings.Lines(string(event)) {
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			id, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}
