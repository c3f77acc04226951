package queue

import "slices"

const (
	minShare    = 0.02 // Minimum guaranteed share of a class, and the share of a class without configuration.
	maxAccounts = 4096 // Number of accounts of a class at which those without entries are removed.
)

// class holds the waiting entries of one class.
type class struct {
	name        string
	priority    int     // Higher is served first.
	share       float64 // Guaranteed share of the capacity, between 0 and 1.
	virtualTime float64 // Highest virtual time at which an account was served.
	served      float64 // Recently served cost in seconds, decaying with each entry served in the queue.
	waiting     int
	accounts    map[string]*account
	active      []*account // Accounts with entries, sorted by name.
}

// account returns the account with a name and creates it if it does not exist.
func (c *class) account(name string, weight float64) *account {
	a := c.accounts[name]
	if a == nil {
		c.evictIdle()
		a = &account{name: name, virtualTime: c.virtualTime}
		c.accounts[name] = a
	}
	a.weight = weight
	return a
}

// evictIdle removes all accounts without entries if the table of accounts is full.
func (c *class) evictIdle() {
	if len(c.accounts) < maxAccounts {
		return
	}
	for n, a := range c.accounts {
		if len(a.entries) == 0 {
			delete(c.accounts, n)
		}
	}
}

func (c *class) push(a *account, e *Entry) {
	if len(a.entries) == 0 {
		a.virtualTime = max(a.virtualTime, c.virtualTime)
		i, _ := slices.BinarySearchFunc(c.active, a.name, compareAccount)
		c.active = slices.Insert(c.active, i, a)
	}
	a.push(e)
	c.waiting++
}

func (c *class) remove(e *Entry) {
	a := c.accounts[e.Account]
	a.remove(e)
	c.waiting--
	if len(a.entries) > 0 {
		return
	}
	i, found := slices.BinarySearchFunc(c.active, a.name, compareAccount)
	if found {
		c.active = slices.Delete(c.active, i, i+1)
	}
}

func compareAccount(a *account, name string) int {
	switch {
	case a.name < name:
		return -1
	case a.name > name:
		return 1
	}
	return 0
}

// next returns the account that is served next: the one with the lowest virtual
// time.
func (c *class) next() *account {
	var found *account
	for _, a := range c.active {
		if found == nil || a.virtualTime < found.virtualTime {
			found = a
		}
	}
	return found
}

// charge adds the cost of a served entry, in seconds, to an account.
func (c *class) charge(a *account, cost float64) {
	c.virtualTime = max(c.virtualTime, a.virtualTime)
	a.virtualTime += cost / a.weight
	c.served += cost
}

// largestBacklog returns the account with the most waiting entries relative to its
// weight.
func (c *class) largestBacklog() *account {
	var found *account
	for _, a := range c.active {
		if found == nil || a.backlog() > found.backlog() {
			found = a
		}
	}
	return found
}

func (a *account) backlog() float64 { return float64(len(a.entries)) / a.weight }

// totalWeight returns the sum of the weights of the accounts with entries.
func (c *class) totalWeight() float64 {
	total := 0.0
	for _, a := range c.active {
		total += a.weight
	}
	return total
}
