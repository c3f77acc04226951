package ledger

import (
	"time"

	"bergamotworks/ports"
)

const (
	// maxLoadParts is the maximum number of parts of one [Load].
	maxLoadParts = 160
	// partsPerRange is the number of parts whose keys differ only in the last
	// digit.
	partsPerRange = 10
)

// loader is the state of a load, which reads the head and then the sealed parts
// that are not in the journal yet.
type loader struct {
	revision  int64
	head      *head     // Nil until the head is read.
	startedAt time.Time // The start of the load.
	firstPart int64     // The first part that is read.
	nextPart  int64     // The next part that is read.
	parts     map[int64][]Record
}

// ranges returns the next ranges to read. Ten parts whose keys have a common
// prefix are read with one call, because calls to the store are rate-limited.
func (l *loader) ranges(shard int) []ports.RangeRequest {
	if l.head == nil {
		return []ports.RangeRequest{{Key: headKey(shard)}}
	}
	var ranges []ports.RangeRequest
	for n, end := l.nextPart, l.end(); n < end; {
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

// end returns the number after the last part of the next ranges.
func (l *loader) end() int64 { return min(l.nextPart+maxLoadParts, l.head.Next) }

// handleLoad processes the result of a [Load].
func (s *Shard) handleLoad(e LoadCompleted) {
	if s.loading == nil {
		return
	}
	if e.Err != nil {
		s.loading = nil
		s.backOff()
		return
	}
	ok := s.applyEntries(e.Entries)
	if !ok {
		s.loading = nil
		s.backOff()
		return
	}
	if s.loading.complete() {
		s.finishLoad()
	}
}

func (l *loader) complete() bool { return l.head != nil && l.nextPart >= l.head.Next }

// applyEntries adds the values that were read to the load. It reports whether
// the load can continue.
func (s *Shard) applyEntries(entries []ports.KeyValue) bool {
	if s.loading.head == nil {
		return s.applyHead(entries)
	}
	return s.applyParts(entries)
}

// applyHead rejects a head that is older than one known to exist, because such a
// stale read cannot show whether an earlier attempt of a commit that failed with
// a conflict was applied.
func (s *Shard) applyHead(entries []ports.KeyValue) bool {
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
	if l.revision < max(s.journal.revision, s.minRevision) {
		return false
	}
	l.firstPart = max(s.journal.head.Next, l.head.First)
	if !s.journal.loaded {
		l.firstPart = l.head.First
	}
	l.nextPart = l.firstPart
	l.parts = make(map[int64][]Record)
	return true
}

// applyParts rejects a result in which a part is missing. Another writer has
// dropped the part, and the head must be read again.
func (s *Shard) applyParts(entries []ports.KeyValue) bool {
	l := s.loading
	values := make(map[string][]byte, len(entries))
	for _, e := range entries {
		values[e.Key] = e.Value
	}
	for end := l.end(); l.nextPart < end; l.nextPart++ {
		value, ok := values[partKey(s.Index, l.nextPart)]
		if !ok {
			return false
		}
		records, err := decodePart(value)
		if err != nil {
			return false
		}
		l.parts[l.nextPart] = records
	}
	return true
}

// finishLoad applies the load to the journal. An unresolved commit was either
// applied or failed with a conflict; its operations are decided again against
// the new journal.
func (s *Shard) finishLoad() {
	l := s.loading
	s.loading = nil
	if !s.journal.applyLoad(l) {
		s.stale = true
		return
	}
	s.failures = 0
	s.stale = false
	s.verifiedAt = l.startedAt
	if s.batch != nil {
		s.requeue()
	}
	for _, w := range s.queue {
		if w.submittedAt.After(l.startedAt) {
			continue // Submitted during the load.
		}
		w.reload = false
		w.reloaded = true
	}
	s.respondQueued()
}

// respondQueued responds to the waiters whose operations need no write.
func (s *Shard) respondQueued() {
	remaining := s.queue[:0:0]
	for _, w := range s.queue {
		if decision, ok := s.decideWithoutWrite(w); ok {
			s.emit(Respond{ID: w.id, Decision: decision})
			continue
		}
		remaining = append(remaining, w)
	}
	s.queue = remaining
}
