package ledger

import (
	"time"

	"bergamotworks/ports"
)

const (
	// maxLoadParts bounds the parts that are read at once.
	maxLoadParts = 160
	// partsPerRange is the number of parts whose keys differ in the last digit.
	partsPerRange = 10
)

// loader reads the head, and then the sealed parts that are not yet known.
type loader struct {
	revision int64
	head     *head     // Nil until the head is read.
	startAt  time.Time // The start of the reading.
	from     int64     // The first part to read.
	next     int64     // The next part to read.
	parts    map[int64][]Record
}

// ranges returns what is to be read next. Ten parts are read with one call
// where their numbers allow it, since the store counts calls.
func (l *loader) ranges(shard int) []ports.RangeRequest {
	if l.head == nil {
		return []ports.RangeRequest{{Key: headKey(shard)}}
	}
	var ranges []ports.RangeRequest
	for n, end := l.next, l.end(); n < end; {
		key := partKey(shard, n)
		if n%partsPerRange == 0 && n+partsPerRange <= end {
			ranges = append(ranges, ports.RangeRequest{Key: key[:len(key)-1], Prefix: true})
			n += partsPerRange
			continue
		}
		ranges = append(ranges, ports.RangeRequest{Key: key})
		n++
	}
	return ranges
}

// end returns the number after the last part that is read next.
func (l *loader) end() int64 { return min(l.next+maxLoadParts, l.head.Next) }

// loaded takes the values that were read.
func (s *Shard) loaded(e LoadCompleted) {
	if s.loading == nil {
		return
	}
	if e.Err != nil {
		s.loading = nil
		s.backOff()
		return
	}
	ok := s.take(e.Entries)
	if !ok {
		s.loading = nil
		s.backOff()
		return
	}
	if s.loading.complete() {
		s.finishLoad()
	}
}

func (l *loader) complete() bool { return l.head != nil && l.next >= l.head.Next }

// take reports whether the reading can go on.
func (s *Shard) take(entries []ports.KeyValue) bool {
	if s.loading.head == nil {
		return s.takeHead(entries)
	}
	return s.takeParts(entries)
}

// takeHead refuses a head that is older than one known to exist: such a read
// cannot tell whether an outrun commit was applied by an earlier sending.
func (s *Shard) takeHead(entries []ports.KeyValue) bool {
	l := s.loading
	l.head = &head{}
	if len(entries) > 0 {
		h, err := decodeHead(entries[0].Value)
		if err != nil {
			return false
		}
		l.head = &h
		l.revision = entries[0].ModRevision
	}
	if l.revision < max(s.journal.revision, s.least) {
		return false
	}
	l.from = max(s.journal.head.Next, l.head.First)
	if !s.journal.loaded {
		l.from = l.head.First
	}
	l.next = l.from
	l.parts = make(map[int64][]Record)
	return true
}

// takeParts refuses an answer in which a part is missing: another writer has
// dropped it, and the head must be read again.
func (s *Shard) takeParts(entries []ports.KeyValue) bool {
	l := s.loading
	values := make(map[string][]byte, len(entries))
	for _, e := range entries {
		values[e.Key] = e.Value
	}
	for end := l.end(); l.next < end; l.next++ {
		value, ok := values[partKey(s.Index, l.next)]
		if !ok {
			return false
		}
		records, err := decodePart(value)
		if err != nil {
			return false
		}
		l.parts[l.next] = records
	}
	return true
}

// finishLoad puts the reading in force. An open commit was outrun or applied;
// its operations are decided again by what the journal now says.
func (s *Shard) finishLoad() {
	l := s.loading
	s.loading = nil
	if !s.journal.replace(l) {
		s.stale = true
		return
	}
	s.failures = 0
	s.stale = false
	s.seenAt = l.startAt
	if s.batch != nil {
		s.requeue()
	}
	for _, w := range s.queue {
		if w.since.After(l.startAt) {
			continue // Submitted during the reading.
		}
		w.fresh = false
		w.checked = true
	}
	s.answerQueue()
}

// answerQueue replies to the waiters that need no write.
func (s *Shard) answerQueue() {
	rest := s.queue[:0:0]
	for _, w := range s.queue {
		if answer, ok := s.answer(w); ok {
			s.emit(Respond{ID: w.id, Decision: answer})
			continue
		}
		rest = append(rest, w)
	}
	s.queue = rest
}
