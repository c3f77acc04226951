package queue

import "slices"

const (
	minShare    = 0.02 // Least guaranteed share of a class, also of one without configuration.
	maxAccounts = 4096 // Maximum accounts kept for one class, unless more have entries.
)

// class holds the waiting entries of one class.
type class struct {
	name     string
	priority int
	share    float64
	virtual  float64 // Highest virtual time at which an account was served.
	served   float64 // Recently served cost in seconds, decaying with each entry served in the queue.
	waiting  int
	accounts map[string]*account
	active   []*account // Accounts with entries, sorted by name.
}

func (c *class) account(name string, weight float64) *account {
	a := c.accounts[name]
	if a == nil {
		c.evictIdle()
		a = &account{name: name, virtual: c.virtual}
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
		a.virtual = max(a.virtual, c.virtual)
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
		if found == nil || a.virtual < found.virtual {
			found = a
		}
	}
	return found
}

// charge adds the cost of a served entry, in seconds, to an account.
func (c *class) charge(a *account, cost float64) {
	c.virtual = max(c.virtual, a.virtual)
	a.virtual += cost / a.weight
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
