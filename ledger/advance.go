package ledger

import "time"

// advance starts the next call to the store, if one is needed and allowed.
func (s *Shard) advance() {
	if s.busy || !s.needed() {
		return
	}
	if s.now.Before(s.retryAt) {
		s.emit(SetTimer{UntilNS: s.retryAt.UnixNano()})
		return
	}
	due := !s.now.Before(s.due)
	switch {
	case s.loading != nil || !s.journal.loaded || s.stale:
		s.load()
	case s.batch != nil:
		s.send(Commit{Txn: s.batch.txn})
	case due && s.ready():
		s.commit()
	}
	if !s.busy && s.fresh() {
		s.load()
	}
	if !s.busy && !due && s.ready() {
		s.emit(SetTimer{UntilNS: s.due.UnixNano()})
	}
}

func (s *Shard) load() {
	if s.loading == nil {
		s.loading = &loader{startAt: s.now}
	}
	s.send(Load{Ranges: s.loading.ranges(s.Index)})
}

// send starts a call to the store.
func (s *Shard) send(action Action) {
	s.busy = true
	s.sentAt = s.now
	s.emit(action)
}

func (s *Shard) needed() bool {
	return len(s.queue) > 0 || s.batch != nil || s.loading != nil ||
		s.cutoffMS != 0 && (!s.journal.loaded || s.journal.droppable(s.cutoffMS) > 0)
}

// ready reports whether a commit has something to do.
func (s *Shard) ready() bool {
	for _, w := range s.queue {
		if !w.fresh {
			return true
		}
	}
	return s.cutoffMS != 0 && s.journal.droppable(s.cutoffMS) > 0
}

// fresh reports whether a waiter needs the head to be read again.
func (s *Shard) fresh() bool {
	for _, w := range s.queue {
		if w.fresh {
			return true
		}
	}
	return false
}

// backOff sets the time of the next attempt after a failed call.
func (s *Shard) backOff() {
	wait := min(firstBackoff<<min(s.failures, 10), lastBackoff)
	s.failures++
	s.retryAt = s.now.Add(wait)
}

// interval returns the least time between two commits. A node that is not the
// shard's writer leaves time to the others that cannot reach the writer.
func (s *Shard) interval() time.Duration {
	interval := DefaultMinCommitInterval
	if s.MinCommitInterval > 0 {
		interval = s.MinCommitInterval
	}
	if s.cutoffMS == 0 {
		interval *= substituteFactor
	}
	return interval
}

func (s *Shard) openBytes() int {
	if s.MaxOpenBytes > 0 {
		return s.MaxOpenBytes
	}
	return DefaultMaxOpenBytes
}

func (s *Shard) queueLength() int {
	if s.MaxQueueLength > 0 {
		return s.MaxQueueLength
	}
	return DefaultMaxQueueLength
}
