package ledger

import (
	"time"

	"bergamotworks/fault"
)

// Default settings of a [Shard].
const (
	// DefaultMinCommitInterval is the minimum time between two commits of a
	// shard.
	DefaultMinCommitInterval = 40 * time.Millisecond
	// DefaultMaxOpenBytes is the size of the open part above which it is
	// sealed.
	DefaultMaxOpenBytes = 16 << 10
	// DefaultMaxQueueLength is the maximum number of operations that wait for a
	// commit.
	DefaultMaxQueueLength = 4096
)

// maxStaleness is the time after the last verification of the journal during
// which a record is reported as pending or absent without reading the head
// again.
const maxStaleness = 100 * time.Millisecond

// nonWriterIntervalFactor multiplies the commit interval of a node that is not
// the writer.
const nonWriterIntervalFactor = 2

// Limits of the backoff after a failed call to the store.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// Shard is the state machine of one journal. It decides on operations and
// proposes commits. All input goes through [Shard.Step]. A Shard is not safe for
// concurrent use. Set the exported fields before use.
type Shard struct {
	// Index is the index of the shard.
	Index int
	// MinCommitInterval is the minimum time between two commits,
	// [DefaultMinCommitInterval] if zero.
	MinCommitInterval time.Duration
	// MaxOpenBytes is the size of the open part above which it is sealed,
	// [DefaultMaxOpenBytes] if zero.
	MaxOpenBytes int
	// MaxQueueLength is the maximum number of waiting operations, above which
	// further ones are rejected with fault.Busy; [DefaultMaxQueueLength] if zero.
	MaxQueueLength int

	journal      journal
	queue        []*waiter
	batch        *batch    // The commit that is not resolved yet, or nil.
	loading      *loader   // The load in progress, or nil.
	callInFlight bool      // A call to the store is in flight.
	stale        bool      // The head must be read before the next commit.
	minRevision  int64     // The minimum revision that the head is known to have.
	now          time.Time // The time of the current step.
	sentAt       time.Time // The start of the last call to the store.
	verifiedAt   time.Time // The latest time at which the journal is known to have been current.
	nextCommitAt time.Time // The earliest time of the next commit.
	retryAt      time.Time // The earliest time of the next call after a failed one.
	failures     int       // The number of consecutive failed calls.
	cutoffMS     int64     // The cutoff of [CutoffUpdated]; zero if this node is not the writer.
	actions      []Action
}

// waiter is a submitted operation that has no response or is in a commit that is
// not resolved yet.
type waiter struct {
	id          uint64
	op          Op
	reload      bool // The head must be read again before the decision.
	reloaded    bool // The head has been read since the submission.
	submittedAt time.Time
	abandoned   bool // The deadline has passed and an error was returned; the commit is not resolved.
}

// Stats describes a shard for metrics.
type Stats struct {
	Records        int   // Records in memory.
	Parts          int64 // Sealed parts in the store.
	Queue          int   // Operations that wait for a commit.
	OpenBytes      int   // Size of the open part.
	FloorMS        int64 // Creation time up to which records may have been dropped, Unix ms.
	CommitInFlight bool  // A commit is not resolved yet.
}

// Stats returns the current values.
func (s *Shard) Stats() Stats {
	return Stats{
		Records:        len(s.journal.records),
		Parts:          s.journal.head.Next - s.journal.head.First,
		Queue:          len(s.queue),
		OpenBytes:      s.journal.openBytes,
		FloorMS:        s.journal.head.FloorMS,
		CommitInFlight: s.batch != nil,
	}
}

// Idle reports whether no operation waits and no commit is unresolved.
func (s *Shard) Idle() bool { return len(s.queue) == 0 && s.batch == nil }

// Step processes an event and returns the actions that the caller must perform,
// in order.
func (s *Shard) Step(now time.Time, event Event) []Action {
	s.actions = nil
	s.now = now
	switch e := event.(type) {
	case OpSubmitted:
		s.submit(e)
	case DeadlineExceeded:
		s.timeOut(e.ID)
	case LoadCompleted:
		s.callInFlight = false
		s.handleLoad(e)
	case CommitCompleted:
		s.callInFlight = false
		s.handleCommit(e)
	case CutoffUpdated:
		s.cutoffMS = e.CutoffMS
	case TimerFired:
	}
	s.advance()
	return s.actions
}

func (s *Shard) emit(action Action) { s.actions = append(s.actions, action) }

func (s *Shard) submit(e OpSubmitted) {
	if len(s.queue) >= s.maxQueueLength() {
		s.respondError(e.ID, fault.New(fault.Busy, fault.NotRun, "the ledger's queue is full"))
		return
	}
	w := &waiter{id: e.ID, op: e.Op, reload: e.Reload, submittedAt: s.now}
	if decision, ok := s.decideWithoutWrite(w); ok {
		s.emit(Respond{ID: w.id, Decision: decision})
		return
	}
	s.queue = append(s.queue, w)
}

// timeOut responds to a waiter whose deadline has passed. An operation in an
// unresolved commit stays there, so the verdict of its error is MayHaveRun.
func (s *Shard) timeOut(id uint64) {
	for i, w := range s.queue {
		if w.id == id {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			s.timeOutQueued(w)
			return
		}
	}
	if s.batch == nil {
		return
	}
	for _, w := range s.batch.waiters {
		if w.id == id && !w.abandoned {
			w.abandoned = true
			s.respondError(id, deadlineError(fault.MayHaveRun))
		}
	}
}

// timeOutQueued responds to an operation that is in no commit. A create gets the
// record that the journal already has, if any; all else gets an error with the
// verdict NotRun.
func (s *Shard) timeOutQueued(w *waiter) {
	if c, ok := w.op.(Create); ok && s.journal.loaded {
		if p := s.decide(c, 0); !p.write {
			s.emit(Respond{ID: w.id, Decision: s.journal.withPartKey(s.Index, p.decision)})
			return
		}
	}
	s.respondError(w.id, deadlineError(fault.NotRun))
}

// deadlineError returns the error for an operation whose deadline has passed.
func deadlineError(verdict fault.Verdict) *fault.Error {
	return fault.New(fault.DeadlineExceeded, verdict, "the ledger could not write within the deadline")
}

func (s *Shard) respondError(id uint64, err *fault.Error) { s.emit(Respond{ID: id, Err: err}) }
