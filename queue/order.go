package queue

import (
	"cmp"
	"slices"
	"time"
)

const minimumCost = 0.001 // Seconds charged at least for one call.

// class returns the class of a name and creates it where it is missing.
func (q *Queue) class(name string) *class {
	for _, c := range q.classes {
		if c.name == name {
			return c
		}
	}
	c := &class{name: name, accounts: make(map[string]*account)}
	c.priority, c.share = q.bounds(name)
	q.classes = append(q.classes, c)
	q.sort()
	return c
}

func (q *Queue) bounds(name string) (priority int, share float64) {
	c := q.Classes[name]
	return c.Priority, max(minimumShare, c.Share)
}

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
// guaranteed share, or else the first by priority.
func (q *Queue) next() *class {
	total := 0.0
	for _, c := range q.classes {
		total += c.served
	}
	var first, owed *class
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
		if part := c.served / total / c.share; part < lowest {
			lowest = part
			owed = c
		}
	}
	if owed != nil {
		return owed
	}
	return first
}

// victim returns the entry that gives way to a new one: of the lowest class
// that holds more places than its share, from the account with the most.
func (q *Queue) victim(newcomer *Entry) *Entry {
	for i := len(q.classes) - 1; i >= 0; i-- {
		c := q.classes[i]
		if float64(c.waiting) <= c.share*float64(q.capacity()) {
			continue
		}
		own := c.name == newcomer.Class
		if e := c.longest().last(own); e != nil {
			return e
		}
	}
	return newcomer
}

// Wait returns the time until a new entry would be served, if the queue is
// served with the given cost in each unit of time.
func (q *Queue) Wait(class, account string, deadline time.Time, cost time.Duration, speed float64) time.Duration {
	if len(q.entries) == 0 || speed <= 0 {
		return 0
	}
	rate := speed * q.part(class)
	ahead := 1
	for _, c := range q.classes {
		if c.name != class {
			continue
		}
		weight := q.weight(account)
		total := c.weights()
		if a := c.accounts[account]; a != nil && len(a.entries) > 0 {
			ahead += a.ahead(deadline)
		} else {
			total += weight
		}
		rate *= weight / total
	}
	return time.Duration(float64(ahead) * float64(cost) / rate)
}

// part returns the share of the service that a class can count on while the
// other classes wait as they do now.
func (q *Queue) part(name string) float64 {
	own, share := q.bounds(name)
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

// ahead returns how many entries of the account go before a new one. Below an
// entry of the heap that goes later there is none that goes before.
func (a *account) ahead(deadline time.Time) int {
	return a.entries.ahead(0, deadline)
}

func (h entryHeap) ahead(i int, deadline time.Time) int {
	if i >= len(h) || h[i].Deadline.After(deadline) {
		return 0
	}
	return 1 + h.ahead(2*i+1, deadline) + h.ahead(2*i+2, deadline)
}
