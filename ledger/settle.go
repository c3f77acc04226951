package ledger

// settle takes the store's answer to the batch.
func (s *Shard) settle(e CommitCompleted) {
	b := s.batch
	if b == nil {
		return
	}
	switch e.Result {
	case Applied:
		s.failures = 0
		s.batch = nil
		s.seenAt = s.sentAt
		s.journal.apply(b, e.Revision)
		s.replyAll(b)
	case Conflict:
		s.failures = 0
		s.stale = true
		s.least = b.revision + 1
		s.due, s.retryAt = s.now, s.now
		if !b.maybe {
			s.requeue()
		}
	case Unknown:
		b.maybe = true
		s.backOff()
	case Refused:
		s.backOff()
		if !b.maybe {
			s.requeue()
		}
	}
}

func (s *Shard) replyAll(b *batch) {
	for i, w := range b.waiters {
		if !w.abandoned {
			s.emit(Respond{ID: w.id, Decision: b.answers[i]})
		}
	}
}

// requeue gives up the batch, which is surely not applied, and puts its
// operations before the queue. Abandoned ones are dropped.
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
