package relay

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"bergamotworks/fault"
	"bergamotworks/wire"
)

const (
	firstEventBytes = 4 << 10 // Initial size of the memory for an event.
	maxEventBytes   = 1 << 20 // Size limit of an event.
	// eventGrowth is the factor by which the memory for an event grows. Free memory is
	// reused for the same capacity only, and a factor of two would make twice as many
	// capacities.
	eventGrowth = 4
)

// errStreamEnd means that a stream ended after a complete event.
var errStreamEnd = errors.New("stream ended after a complete event")

// noEventID stands for the identifier of the last event while no event with an
// identifier has been forwarded.
const noEventID = -1

// eventReader reads complete server-sent events from a stream. It allocates nothing
// for a read or an event. What is allocated while the garbage collector marks stays
// until its next cycle, so that targets that send without pause would otherwise fill
// the memory with garbage, the more the slower the collector gets on.
type eventReader struct {
	source   io.Reader
	budget   *wire.BufferBudget
	pending  []byte // Read: events that next has returned, then an incomplete one.
	returned int    // Bytes of the events that next has returned.
	budgeted bool   // The memory of pending is from the budget.
}

// next returns the complete events that have arrived, maybe none. They are valid until
// the next call and may be changed. The error is errStreamEnd at the end of a stream,
// [io.ErrUnexpectedEOF] if the last event is incomplete, or of kind [fault.TooLarge] if
// an event is too long.
func (r *eventReader) next() ([]byte, error) {
	r.pending = r.pending[:copy(r.pending, r.pending[r.returned:])]
	r.returned = 0
	if err := r.makeSpace(); err != nil {
		return nil, err
	}
	n, err := r.source.Read(r.pending[len(r.pending):cap(r.pending)])
	r.pending = r.pending[:len(r.pending)+n]
	r.returned = completeEventsLen(r.pending)
	events := r.pending[:r.returned]
	if errors.Is(err, io.EOF) {
		if len(r.pending) > r.returned {
			return events, io.ErrUnexpectedEOF
		}
		return events, errStreamEnd
	}
	return events, err
}

// makeSpace makes room for further bytes, with memory from the budget. The error is of kind
// [fault.TooLarge] if the event is too long or the budget is spent.
func (r *eventReader) makeSpace() error {
	size := eventGrowth * cap(r.pending)
	switch {
	case len(r.pending) < cap(r.pending):
		return nil
	case size == 0:
		r.pending = make([]byte, 0, firstEventBytes) // It is not budgeted.
		return nil
	case size > maxEventBytes:
		return fault.New(fault.TooLarge, fault.MayHaveRun, "an event of more than %d bytes", maxEventBytes)
	}
	larger := r.budget.TakeBuffer(size, size) // The present memory is in use until the copy is done.
	if larger == nil {
		return fault.New(fault.TooLarge, fault.MayHaveRun, "no memory for an event of more than %d bytes", len(r.pending))
	}
	larger = append(larger, r.pending...)
	r.release()
	r.pending, r.budgeted = larger, true
	return nil
}

// release returns the memory to the budget.
func (r *eventReader) release() {
	if r.budgeted {
		r.budget.ReturnBuffer(r.pending)
	}
	r.pending, r.returned, r.budgeted = nil, 0, false
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

// skipDelivered removes the events whose identifiers are at most last, in place. It
// returns the others and the highest identifier so far. Events without an identifier
// are kept.
func skipDelivered(events []byte, last int64) ([]byte, int64) {
	out := events[:0]
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
		out = append(out, e...) // It moves the event to the front, if at all.
	}
	return out, last
}

// cutEvent splits off the first event.
func cutEvent(events []byte) (event, rest []byte) {
	end := len(events)
	if i := bytes.Index(events, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.Index(events[:end], []byte("\r\n\r\n")); i >= 0 {
		end = i + 4
	}
	return events[:end], events[end:]
}

// eventCount returns the number of events.
func eventCount(events []byte) int {
	count := 0
	for len(events) > 0 {
		_, events = cutEvent(events)
		count++
	}
	return count
}

// maxEventIDBytes bounds an identifier as it is written. The conversion of a number of
// up to this length needs no memory from the heap.
const maxEventIDBytes = 32

// eventID returns the numeric identifier of an event, and false if it has none.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			value = bytes.TrimSpace(value)
			if len(value) > maxEventIDBytes {
				return 0, false
			}
			id, err := strconv.ParseInt(string(value), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}
