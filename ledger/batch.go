package ledger

import (
	"github.com/fxamacker/cbor/v2"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

// Bounds of one commit.
const (
	maxBatchBytes  = 256 << 10 // Encoded records.
	maxInlineBytes = 16 << 10  // A result kept in the journal.
	maxDropParts   = 8         // Parts dropped at once.
	maxDropKeys    = 64        // Store keys deleted at once, without the last part's.
)

// batch is a commit whose outcome is open. It is sent unchanged until the
// store says that it was applied or outrun.
type batch struct {
	txn      ports.Txn
	revision int64 // The head's revision that the commit compares.
	next     head
	waiters  []*waiter
	answers  []Decision
	records  []Record
	bytes    int
	dropped  int64 // Parts dropped from the front of the journal.
	sealed   bool
	maybe    bool // A sending of this commit has an open outcome.
}

// commit answers what needs no write, and writes the rest in one transaction.
func (s *Shard) commit() {
	b := &batch{revision: s.journal.revision, next: s.journal.head}
	s.planDrop(b)
	s.collect(b)
	if len(b.waiters) == 0 && b.dropped == 0 {
		return
	}
	if err := s.plan(b); err != nil {
		s.reject(b, err)
		return
	}
	s.batch = b
	s.due = s.now.Add(s.interval())
	s.send(Commit{Txn: b.txn})
}

// collect moves operations from the queue to the batch, at most one per key.
func (s *Shard) collect(b *batch) {
	touched := make(map[Key]bool)
	rest := s.queue[:0:0]
	for _, w := range s.queue {
		key := w.op.subject().Key
		if w.fresh || touched[key] || b.bytes >= maxBatchBytes {
			rest = append(rest, w)
			continue
		}
		d := s.decide(w.op, s.now.UnixMilli())
		if !d.write {
			rest = s.answerOrKeep(w, d, rest)
			continue
		}
		touched[key] = true
		b.add(w, d)
	}
	s.queue = rest
}

// answerOrKeep replies to a waiter, or keeps it until the head has been read.
func (s *Shard) answerOrKeep(w *waiter, d proposal, rest []*waiter) []*waiter {
	if !w.checked && s.doubtful(w.op, d.answer) {
		w.fresh = true
		return append(rest, w)
	}
	s.emit(Respond{ID: w.id, Decision: s.journal.locate(s.Index, d.answer)})
	return rest
}

func (b *batch) add(w *waiter, d proposal) {
	b.waiters = append(b.waiters, w)
	b.answers = append(b.answers, d.answer)
	b.records = append(b.records, d.record)
	b.bytes += recordOverheadBytes + len(d.record.Result)
	if c, ok := w.op.(Complete); ok && d.record.ResultKey != "" {
		b.bytes += len(c.Result)
		b.txn.Then = append(b.txn.Then, ports.Put{Key: d.record.ResultKey, Value: c.Result})
	}
}

// recordOverheadBytes is the usual size of a record without its result.
const recordOverheadBytes = 200

// plan fills the batch's transaction.
func (s *Shard) plan(b *batch) error {
	open := append([]cbor.RawMessage(nil), s.journal.head.Open...)
	size := s.journal.openBytes
	for _, r := range b.records {
		raw, err := cbor.Marshal(r)
		if err != nil {
			return err
		}
		open = append(open, raw)
		size += len(raw)
	}
	b.next.Open = open
	if size > s.openBytes() {
		if err := s.planSeal(b); err != nil {
			return err
		}
	}
	value, err := b.next.encode()
	if err != nil {
		return err
	}
	key := headKey(s.Index)
	b.txn.Compares = []ports.Compare{{Key: key, ModRevision: b.revision}}
	b.txn.Then = append(b.txn.Then, ports.Put{Key: key, Value: value})
	return nil
}

func (s *Shard) planSeal(b *batch) error {
	value, err := cbor.Marshal(b.next.Open)
	if err != nil {
		return err
	}
	b.txn.Then = append(b.txn.Then, ports.Put{Key: partKey(s.Index, b.next.Next), Value: value})
	b.next.Next++
	b.next.Open = nil
	b.sealed = true
	return nil
}

// planDrop drops the oldest parts whose records are all old enough. The floor
// rises to the newest of those records and no further, so a wrong clock cannot
// shut out new keys.
func (s *Shard) planDrop(b *batch) {
	if s.cutoffMS == 0 {
		return
	}
	b.dropped = s.journal.droppable(s.cutoffMS)
	for i := range b.dropped {
		number := b.next.First + i
		b.next.FloorMS = max(b.next.FloorMS, s.journal.newest(number))
		b.txn.Then = append(b.txn.Then, ports.Delete{Key: partKey(s.Index, number)})
		for _, r := range s.journal.leaving(number) {
			if r.ResultKey != "" {
				b.txn.Then = append(b.txn.Then, ports.Delete{Key: r.ResultKey})
			}
		}
		if len(b.txn.Then) > maxDropKeys {
			b.dropped = i + 1
			break
		}
	}
	b.next.First += b.dropped
}

// reject gives up a batch that cannot be encoded. It was never sent.
func (s *Shard) reject(b *batch, err error) {
	for _, w := range b.waiters {
		s.fail(w.id, fault.New(fault.Internal, fault.NotRun, "encode ledger records: %v", err))
	}
}
