package ledger

import (
	"github.com/fxamacker/cbor/v2"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

// Limits of one commit.
const (
	maxBatchBytes  = 256 << 10 // Estimated size of the records and results.
	maxInlineBytes = 16 << 10  // Largest result that is stored in the journal itself.
	maxDropParts   = 8         // Parts dropped by one commit.
	maxDropKeys    = 64        // Deletions of one commit, not counting those of the last part.
)

// batch is a commit that is not resolved yet. It is sent unchanged until the
// store reports that it was applied or that the head has changed.
type batch struct {
	txn            ports.Txn
	revision       int64 // The revision of the head in the compare-and-swap.
	newHead        head
	waiters        []*waiter
	decisions      []Decision
	records        []Record
	bytes          int
	droppedParts   int64 // The number of oldest parts that the commit drops.
	sealed         bool
	outcomeUnknown bool // An earlier attempt may have been applied or may still be.
}

// startCommit responds to the operations that need no write and starts a commit
// of the others in one transaction.
func (s *Shard) startCommit() {
	b := &batch{revision: s.journal.revision, newHead: s.journal.head}
	s.dropOldParts(b)
	s.fillBatch(b)
	if len(b.waiters) == 0 && b.droppedParts == 0 {
		return
	}
	if err := s.buildTxn(b); err != nil {
		s.failBatch(b, err)
		return
	}
	s.batch = b
	s.nextCommitAt = s.now.Add(s.commitInterval())
	s.startCall(Commit{Txn: b.txn})
}

// fillBatch moves operations from the queue to the batch, at most one per key,
// because the decision on a second one depends on the first.
func (s *Shard) fillBatch(b *batch) {
	touched := make(map[Key]bool)
	remaining := s.queue[:0:0]
	for _, w := range s.queue {
		key := w.op.subject().Key
		if w.reload || touched[key] || b.bytes >= maxBatchBytes {
			remaining = append(remaining, w)
			continue
		}
		p := s.decide(w.op, s.now.UnixMilli())
		if !p.write {
			remaining = s.respondOrKeep(w, p, remaining)
			continue
		}
		touched[key] = true
		b.add(w, p)
	}
	s.queue = remaining
}

// respondOrKeep responds to a waiter, or appends it to the remaining ones if the
// head must be read first.
func (s *Shard) respondOrKeep(w *waiter, p proposal, remaining []*waiter) []*waiter {
	if !w.reloaded && s.needsReload(w.op, p.decision) {
		w.reload = true
		return append(remaining, w)
	}
	s.emit(Respond{ID: w.id, Decision: s.journal.withPartKey(s.Index, p.decision)})
	return remaining
}

func (b *batch) add(w *waiter, p proposal) {
	b.waiters = append(b.waiters, w)
	b.decisions = append(b.decisions, p.decision)
	b.records = append(b.records, p.record)
	b.bytes += recordOverheadBytes + len(p.record.Result)
	if c, ok := w.op.(Complete); ok && p.record.ResultKey != "" {
		b.bytes += len(c.Result)
		b.txn.Then = append(b.txn.Then, ports.Put{Key: p.record.ResultKey, Value: c.Result})
	}
}

// recordOverheadBytes is the estimated size of an encoded record without its
// result.
const recordOverheadBytes = 200

// buildTxn encodes the records of the batch and completes its transaction.
func (s *Shard) buildTxn(b *batch) error {
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
	b.newHead.Open = open
	if size > s.maxOpenBytes() {
		if err := s.sealOpenPart(b); err != nil {
			return err
		}
	}
	value, err := b.newHead.encode()
	if err != nil {
		return err
	}
	key := headKey(s.Index)
	b.txn.Compares = []ports.Compare{{Key: key, ModRevision: b.revision}}
	b.txn.Then = append(b.txn.Then, ports.Put{Key: key, Value: value})
	return nil
}

// sealOpenPart adds to the batch the open part as a sealed part.
func (s *Shard) sealOpenPart(b *batch) error {
	value, err := cbor.Marshal(b.newHead.Open)
	if err != nil {
		return err
	}
	b.txn.Then = append(b.txn.Then, ports.Put{Key: partKey(s.Index, b.newHead.Next), Value: value})
	b.newHead.Next++
	b.newHead.Open = nil
	b.sealed = true
	return nil
}

// dropOldParts adds to the batch the deletion of the oldest parts whose records
// were all created at or before the cutoff. The floor rises to the creation time
// of the newest of these records and no further, so that a clock that is ahead
// cannot cause new keys to be rejected.
func (s *Shard) dropOldParts(b *batch) {
	if s.cutoffMS == 0 {
		return
	}
	b.droppedParts = s.journal.droppableParts(s.cutoffMS)
	for i := range b.droppedParts {
		number := b.newHead.First + i
		b.newHead.FloorMS = max(b.newHead.FloorMS, s.journal.newestMS(number))
		b.txn.Then = append(b.txn.Then, ports.Delete{Key: partKey(s.Index, number)})
		for _, r := range s.journal.currentRecords(number) {
			if r.ResultKey != "" {
				b.txn.Then = append(b.txn.Then, ports.Delete{Key: r.ResultKey})
			}
		}
		if len(b.txn.Then) > maxDropKeys {
			b.droppedParts = i + 1
			break
		}
	}
	b.newHead.First += b.droppedParts
}

// failBatch returns an error to the waiters of a batch that cannot be encoded.
// It was never sent.
func (s *Shard) failBatch(b *batch, err error) {
	for _, w := range b.waiters {
		s.respondError(w.id, fault.New(fault.Internal, fault.NotRun, "encode ledger records: %v", err))
	}
}
