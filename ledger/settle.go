package ledger

// handleCommit processes the result of an attempt to commit the batch. After a
// conflict or an unknown outcome the batch is resolved by reading the head.
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
	case Refused:
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
