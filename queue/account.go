package queue

import "container/heap"

// account holds the waiting entries of one client account in one class.
type account struct {
	name        string
	weight      float64
	virtualTime float64 // Served cost in seconds, divided by the weight.
	entries     entryHeap
}

func (a *account) push(e *Entry) { heap.Push(&a.entries, e) }

func (a *account) remove(e *Entry) { heap.Remove(&a.entries, e.index) }

// lastEvictable returns the entry that is served last among those that may be
// evicted, or nil. Entries that must finish may be evicted only if mustFinish is
// set.
func (a *account) lastEvictable(mustFinish bool) *Entry {
	var found *Entry
	for _, e := range a.entries {
		if e.MustFinish && !mustFinish {
			continue
		}
		if found == nil || found.before(e) {
			found = e
		}
	}
	return found
}

// entryHeap is a [heap.Interface] that orders entries by deadline.
type entryHeap []*Entry

// Len returns the number of entries.
func (h entryHeap) Len() int { return len(h) }

// Less reports whether entry i is served before entry j.
func (h entryHeap) Less(i, j int) bool { return h[i].before(h[j]) }

// Swap exchanges two entries and updates their indexes.
func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push appends an entry.
func (h *entryHeap) Push(x any) {
	e := x.(*Entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop removes the last entry.
func (h *entryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
