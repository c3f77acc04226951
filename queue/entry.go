package queue

import "time"

// Entry is one waiting call. ID is unique in the queue.
type Entry struct {
	ID       string
	Account  string
	Class    string
	Deadline time.Time
	// Cost is the expected time of the call on a target.
	Cost time.Duration
	// MustFinish says that entries of other classes cannot evict the entry.
	MustFinish bool

	index    int    // Index in the heap of its account.
	sequence uint64 // Order of arrival.
}

// before reports whether e is served before o, of the same account.
func (e *Entry) before(o *Entry) bool {
	if !e.Deadline.Equal(o.Deadline) {
		return e.Deadline.Before(o.Deadline)
	}
	return e.sequence < o.sequence
}

// missesDeadline reports whether the entry, if served at now, would finish after
// its deadline.
func (e *Entry) missesDeadline(now time.Time) bool {
	return now.Add(e.Cost).After(e.Deadline)
}
