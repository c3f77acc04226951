package ledger

import "time"

// advance starts the next call to the store if there is work and no call is in
// flight, or sets a timer for it.
func (s *Shard) advance() {
	if s.callInFlight || !s.hasWork() {
		return
	}
	if s.now.Before(s.retryAt) {
		s.emit(SetTimer{UntilNS: s.retryAt.UnixNano()})
		return
	}
	due := !s.now.Before(s.nextCommitAt)
	switch {
	case s.loading != nil || !s.journal.loaded || s.stale:
		s.startLoad()
	case s.batch != nil:
		s.startCall(Commit{Txn: s.batch.txn})
	case due && s.hasCommitWork():
		s.startCommit()
	}
	if !s.callInFlight && s.hasReloadWaiter() {
		s.startLoad()
	}
	if !s.callInFlight && !due && s.hasCommitWork() {
		s.emit(SetTimer{UntilNS: s.nextCommitAt.UnixNano()})
	}
}

func (s *Shard) startLoad() {
	if s.loading == nil {
		s.loading = &loader{startedAt: s.now}
	}
	s.startCall(Load{Ranges: s.loading.ranges(s.Index)})
}

// startCall emits an action that calls the store.
func (s *Shard) startCall(action Action) {
	s.callInFlight = true
	s.sentAt = s.now
	s.emit(action)
}

// hasWork reports whether a call to the store is needed. A node that is not the
// writer, which cutoffMS shows, neither loads the journal nor drops parts without
// an operation.
func (s *Shard) hasWork() bool {
	return len(s.queue) > 0 || s.batch != nil || s.loading != nil ||
		s.cutoffMS != 0 && (!s.journal.loaded || s.journal.droppableParts(s.cutoffMS) > 0)
}

// hasCommitWork reports whether a commit has operations to record or parts to
// drop. Operations that wait for a reload do not count.
func (s *Shard) hasCommitWork() bool {
	for _, w := range s.queue {
		if !w.reload {
			return true
		}
	}
	return s.cutoffMS != 0 && s.journal.droppableParts(s.cutoffMS) > 0
}

// hasReloadWaiter reports whether an operation waits for the head to be read
// again.
func (s *Shard) hasReloadWaiter() bool {
	for _, w := range s.queue {
		if w.reload {
			return true
		}
	}
	return false
}

// backOff sets retryAt after a failed call: minBackoff later, doubled with each
// consecutive failure, at most maxBackoff.
func (s *Shard) backOff() {
	wait := min(minBackoff<<min(s.failures, 10), maxBackoff)
	s.failures++
	s.retryAt = s.now.Add(wait)
}

// commitInterval returns the minimum time between two commits. It is longer on
// a node that is not the writer, because several nodes may write the journal
// while the writer is unreachable.
func (s *Shard) commitInterval() time.Duration {
	interval := DefaultMinCommitInterval
	if s.MinCommitInterval > 0 {
		interval = s.MinCommitInterval
	}
	if s.cutoffMS == 0 {
		interval *= nonWriterIntervalFactor
	}
	return interval
}

func (s *Shard) maxOpenBytes() int {
	if s.MaxOpenBytes > 0 {
		return s.MaxOpenBytes
	}
	return DefaultMaxOpenBytes
}

func (s *Shard) maxQueueLength() int {
	if s.MaxQueueLength > 0 {
		return s.MaxQueueLength
	}
	return DefaultMaxQueueLength
}
