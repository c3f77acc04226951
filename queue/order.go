package queue

import (
	"cmp"
	"slices"
	"time"
)

const minCostSeconds = 0.001 // Minimum cost charged for one entry.

// class returns the class with a name and creates it if it does not exist.
func (q *Queue) class(name string) *class {
	for _, c := range q.classes {
		if c.name == name {
			return c
		}
	}
	c := &class{name: name, accounts: make(map[string]*account)}
	c.priority, c.share = q.classSettings(name)
	q.classes = append(q.classes, c)
	q.sort()
	return c
}

// classSettings returns the configured priority and share of a class. The share is
// at least minShare.
func (q *Queue) classSettings(name string) (priority int, share float64) {
	c := q.Classes[name]
	return c.Priority, max(minShare, c.Share)
}

// weight returns the configured weight of an account; the default is 1.
func (q *Queue) weight(account string) float64 {
	if w := q.Accounts[account].Weight; w > 0 {
		return w
	}
	return 1
}

func (q *Queue) sort() {
	slices.SortFunc(q.classes, func(a, b *class) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.name, b.name))
	})
}

// next returns the class that is served next: the one furthest below its
// guaranteed share, or else the one with the highest priority. It returns nil if
// the queue is empty.
func (q *Queue) next() *class {
	total := 0.0
	for _, c := range q.classes {
		total += c.served
	}
	var first, underserved *class
	lowest := 1.0
	for _, c := range q.classes {
		if c.waiting == 0 {
			continue
		}
		if first == nil {
			first = c
		}
		if total == 0 {
			continue
		}
		if ratio := c.served / total / c.share; ratio < lowest {
			lowest = ratio
			underserved = c
		}
	}
	if underserved != nil {
		return underserved
	}
	return first
}

// victim returns the entry that is evicted for a new one: from the class of the
// lowest priority that occupies more than its share of the queue, and there from
// the account with the largest backlog. If there is none, it returns the new
// entry.
func (q *Queue) victim(added *Entry) *Entry {
	for i := len(q.classes) - 1; i >= 0; i-- {
		c := q.classes[i]
		if float64(c.waiting) <= c.share*float64(q.capacity()) {
			continue
		}
		own := c.name == added.Class
		if e := c.largestBacklog().lastEvictable(own); e != nil {
			return e
		}
	}
	return added
}

// Wait returns the expected time until a new entry is served, if each entry takes
// cost and concurrency entries run at once. It is zero if the queue is empty or the
// concurrency is not positive.
func (q *Queue) Wait(class, account string, deadline time.Time, cost time.Duration, concurrency float64) time.Duration {
	if len(q.entries) == 0 || concurrency <= 0 {
		return 0
	}
	rate := concurrency * q.expectedShare(class)
	ahead := 1
	for _, c := range q.classes {
		if c.name != class {
			continue
		}
		weight := q.weight(account)
		total := c.totalWeight()
		if a := c.accounts[account]; a != nil && len(a.entries) > 0 {
			ahead += a.ahead(deadline)
		} else {
			total += weight
		}
		rate *= weight / total
	}
	return time.Duration(float64(ahead) * float64(cost) / rate)
}

// expectedShare returns the share of the capacity that a class gets at least while
// the same other classes have waiting entries as now: its guaranteed share, or all
// that is not guaranteed to the others if its priority is above theirs and that is
// more.
func (q *Queue) expectedShare(name string) float64 {
	own, share := q.classSettings(name)
	others := 0.0
	first := true
	for _, c := range q.classes {
		if c.name == name || c.waiting == 0 {
			continue
		}
		others += c.share
		first = first && c.priority < own
	}
	if first {
		return max(share, 1-others)
	}
	return share
}

// ahead returns the number of entries of the account that are served before a new
// one with the given deadline.
func (a *account) ahead(deadline time.Time) int {
	return a.entries.ahead(0, deadline)
}

// ahead counts the entries with no later deadline in the subtree of index i. It
// skips the subtree of an entry with a later deadline, where all are later.
func (h entryHeap) ahead(i int, deadline time.Time) int {
	if i >= len(h) || h[i].Deadline.After(deadline) {
		return 0
	}
	return 1 + h.ahead(2*i+1, deadline) + h.ahead(2*i+2, deadline)
}
