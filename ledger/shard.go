package ledger

import (
	"time"

	"bergamotworks/fault"
)

// Defaults of a [Shard].
const (
	// DefaultMinCommitInterval is the least time between two commits of a shard.
	DefaultMinCommitInterval = 40 * time.Millisecond
	// DefaultMaxOpenBytes is the size at which the open part is sealed.
	DefaultMaxOpenBytes = 16 << 10
	// DefaultMaxQueueLength bounds the operations that wait for a commit.
	DefaultMaxQueueLength = 4096
)

// seenPeriod is the time for which a record is reported pending or absent
// without reading the head again.
const seenPeriod = 100 * time.Millisecond

// substituteFactor lengthens the interval of a node that is not the writer.
const substituteFactor = 2

// Bounds of the waits after a failure of the store.
const (
	firstBackoff = 20 * time.Millisecond
	lastBackoff  = time.Second
)

// Shard decides on the records of one journal. It is driven by [Shard.Step]
// and is not safe for concurrent use. Set the exported fields before use.
type Shard struct {
	// Index is the number of the shard.
	Index int
	// Interval is the least time between two commits, [DefaultInterval] if zero.
	MinCommitInterval time.Duration
	// OpenBytes is the size at which the open part is sealed,
	// [DefaultOpenBytes] if zero.
	MaxOpenBytes int
	// QueueLength bounds the waiting operations, [DefaultQueueLength] if zero.
	MaxQueueLength int

	journal  journal
	queue    []*waiter
	batch    *batch    // The commit whose outcome is open, or nil.
	loading  *loader   // The reading in progress, or nil.
	busy     bool      // A call to the store is under way.
	stale    bool      // The head must be read before the next decision.
	least    int64     // The least revision that the head is known to have.
	now      time.Time // The time of the present step.
	sentAt   time.Time // The start of the call to the store under way.
	seenAt   time.Time // A time at which the journal was surely current.
	due      time.Time // The time of the next commit.
	retryAt  time.Time // The time of the next call after a failed one.
	failures int
	cutoffMS int64
	actions  []Action
}

// waiter is a submitted operation without a reply.
type waiter struct {
	id        uint64
	op        Op
	fresh     bool // The head must be read again first.
	checked   bool // The head was read after the submission.
	since     time.Time
	abandoned bool // The reply has been given; the outcome is still open.
}

// Stats describes a shard for metrics.
type Stats struct {
	Records        int   // Records kept in memory.
	Parts          int64 // Sealed parts in the store.
	Queue          int   // Operations that wait for a commit.
	OpenBytes      int   // Size of the open part.
	FloorMS        int64 // Creation time up to which records may have been dropped.
	CommitInFlight bool  // A commit has an open outcome.
}

// Stats returns the present figures.
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

// Idle reports whether nothing waits and no outcome is open.
func (s *Shard) Idle() bool { return len(s.queue) == 0 && s.batch == nil }

// Step takes an event and returns what is to be done.
func (s *Shard) Step(now time.Time, event Event) []Action {
	s.actions = nil
	s.now = now
	switch e := event.(type) {
	case OpSubmitted:
		s.submit(e)
	case DeadlineExceeded:
		s.expire(e.ID)
	case LoadCompleted:
		s.busy = false
		s.loaded(e)
	case CommitCompleted:
		s.busy = false
		s.settle(e)
	case CutoffUpdated:
		s.cutoffMS = e.CutoffMS
	case TimerFired:
	}
	s.advance()
	return s.actions
}

func (s *Shard) emit(action Action) { s.actions = append(s.actions, action) }

func (s *Shard) submit(e OpSubmitted) {
	if len(s.queue) >= s.queueLength() {
		s.fail(e.ID, fault.New(fault.Busy, fault.NotRun, "the ledger's queue is full"))
		return
	}
	w := &waiter{id: e.ID, op: e.Op, fresh: e.Reload, since: s.now}
	if answer, ok := s.answer(w); ok {
		s.emit(Respond{ID: w.id, Decision: answer})
		return
	}
	s.queue = append(s.queue, w)
}

// expire replies to a waiter whose deadline has passed. An operation that is
// in an open commit stays there, so its verdict is open.
func (s *Shard) expire(id uint64) {
	for i, w := range s.queue {
		if w.id == id {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			s.expireQueued(w)
			return
		}
	}
	if s.batch == nil {
		return
	}
	for _, w := range s.batch.waiters {
		if w.id == id && !w.abandoned {
			w.abandoned = true
			s.fail(id, expiredError(fault.MayHaveRun))
		}
	}
}

// expireQueued tells of a known record sooner than refuse as not run.
func (s *Shard) expireQueued(w *waiter) {
	if c, ok := w.op.(Create); ok && s.journal.loaded {
		if d := s.decide(c, 0); !d.write {
			s.emit(Respond{ID: w.id, Decision: s.journal.locate(s.Index, d.answer)})
			return
		}
	}
	s.fail(w.id, expiredError(fault.NotRun))
}

func expiredError(verdict fault.Verdict) *fault.Error {
	return fault.New(fault.DeadlineExceeded, verdict, "the ledger could not write within the deadline")
}

func (s *Shard) fail(id uint64, err *fault.Error) { s.emit(Respond{ID: id, Err: err}) }
