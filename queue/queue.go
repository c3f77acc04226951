package queue

import (
	"slices"
	"time"

	"bergamotworks/note"
)

const (
	defaultCapacity = 1024
	servedDecay     = 1.0 / 64 // Fraction by which the served cost of each class decays with each entry served.
)

// Queue holds waiting entries. Set the exported fields before use and change
// Classes and Accounts only with [Queue.Configure]. A Queue is not safe for
// concurrent use.
type Queue struct {
	// Capacity is the maximum number of entries; zero means 1024.
	Capacity int
	Classes  map[string]note.Class
	Accounts map[string]note.ClientAccount

	classes  []*class // Sorted by descending priority, then by name.
	entries  map[string]*Entry
	sequence uint64
}

// Len returns the number of waiting entries.
func (q *Queue) Len() int { return len(q.entries) }

// Has reports whether the queue has an entry with an ID.
func (q *Queue) Has(id string) bool { return q.entries[id] != nil }

// Configure replaces the configuration of classes and accounts.
func (q *Queue) Configure(classes map[string]note.Class, accounts map[string]note.ClientAccount) {
	q.Classes = classes
	q.Accounts = accounts
	for _, c := range q.classes {
		c.priority, c.share = q.classSettings(c.name)
	}
	q.sort()
}

// Push adds an entry. If the queue is full, it returns the evicted entry, which
// may be the new one; otherwise nil.
func (q *Queue) Push(e *Entry) *Entry {
	if q.entries == nil {
		q.entries = make(map[string]*Entry)
	}
	q.sequence++
	e.sequence = q.sequence
	q.add(e)
	if len(q.entries) <= q.capacity() {
		return nil
	}
	victim := q.victim(e)
	q.remove(victim)
	return victim
}

// Remove removes the entry with an ID and reports whether there was one.
func (q *Queue) Remove(id string) bool {
	e := q.entries[id]
	if e == nil {
		return false
	}
	q.remove(e)
	return true
}

// Pop removes and returns the entry that is served next, or nil if the queue is
// empty.
func (q *Queue) Pop() *Entry {
	c := q.next()
	if c == nil {
		return nil
	}
	a := c.next()
	e := a.entries[0]
	cost := max(e.Cost.Seconds(), minCostSeconds)
	c.charge(a, cost)
	for _, o := range q.classes {
		o.served *= 1 - servedDecay
	}
	q.remove(e)
	return e
}

// RemoveExpired removes and returns entries that can no longer meet their deadline.
// It looks at the entries of each account in order of deadlines, up to the first
// that can meet its deadline.
func (q *Queue) RemoveExpired(now time.Time) []*Entry {
	var expired []*Entry
	for _, c := range q.classes {
		for _, a := range slices.Clone(c.active) {
			for len(a.entries) > 0 && a.entries[0].missesDeadline(now) {
				e := a.entries[0]
				expired = append(expired, e)
				q.remove(e)
			}
		}
	}
	return expired
}

// Clear removes and returns all entries, in the order in which they would be
// served. It charges classes and accounts as if they were.
func (q *Queue) Clear() []*Entry {
	var all []*Entry
	for e := q.Pop(); e != nil; e = q.Pop() {
		all = append(all, e)
	}
	return all
}

func (q *Queue) capacity() int {
	if q.Capacity <= 0 {
		return defaultCapacity
	}
	return q.Capacity
}

func (q *Queue) add(e *Entry) {
	c := q.class(e.Class)
	c.push(c.account(e.Account, q.weight(e.Account)), e)
	q.entries[e.ID] = e
}

func (q *Queue) remove(e *Entry) {
	q.class(e.Class).remove(e)
	delete(q.entries, e.ID)
}
