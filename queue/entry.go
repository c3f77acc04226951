package queue

import "time"

// Entry is one waiting call.
type Entry struct {
	ID       string
	Account  string
	Class    string
	Deadline time.Time
	// Cost is the time that the call is expected to take on a target.
	Cost time.Duration
	// MustFinish says that the entry does not give way to calls of other classes.
	MustFinish bool

	index    int // Place in the heap of its account.
	sequence uint64
}

// before reports whether e goes before o within one account.
func (e *Entry) before(o *Entry) bool {
	if !e.Deadline.Equal(o.Deadline) {
		return e.Deadline.Before(o.Deadline)
	}
	return e.sequence < o.sequence
}

// late reports whether the entry cannot end by its deadline if it starts at now.
func (e *Entry) late(now time.Time) bool {
	return now.Add(e.Cost).After(e.Deadline)
}
