package ledger

// handleCommit processes the result of an attempt to commit the batch. After an
// unknown outcome the batch is sent again. A conflict after an unknown outcome
// may be due to the earlier attempt itself, so the head is read before the
// operations are decided again; after any other conflict the batch had no effect.
func (s *Shard) handleCommit(e CommitCompleted) {
	b := s.batch
	if b == nil {
		return
	}
	switch e.Result {
	case Applied:
		s.failures = 0
		s.batch = nil
		s.verifiedAt = s.sentAt
		s.journal.apply(b, e.Revision)
		s.respondAll(b)
	case Conflict:
		s.failures = 0
		s.stale = true
		s.minRevision = b.revision + 1
		s.nextCommitAt, s.retryAt = s.now, s.now
		if !b.outcomeUnknown {
			s.requeue()
		}
	case Unknown:
		b.outcomeUnknown = true
		s.backOff()
	case Rejected:
		s.backOff()
		if !b.outcomeUnknown {
			s.requeue()
		}
	}
}

func (s *Shard) respondAll(b *batch) {
	for i, w := range b.waiters {
		if !w.abandoned {
			s.emit(Respond{ID: w.id, Decision: b.decisions[i]})
		}
	}
}

// requeue removes the batch and returns its operations to the front of the
// queue, where they are decided again. Abandoned ones are dropped.
func (s *Shard) requeue() {
	var waiters []*waiter
	for _, w := range s.batch.waiters {
		if !w.abandoned {
			waiters = append(waiters, w)
		}
	}
	s.batch = nil
	s.queue = append(waiters, s.queue...)
}
