package queue

import "slices"

const (
	minimumShare = 0.02 // Share of a class that configures none.
	maxAccounts  = 4096 // Accounts remembered in one class.
)

// class holds the waiting entries of one class.
type class struct {
	name     string
	priority int
	share    float64
	virtual  float64
	served   float64 // Recent cost served, fading with all that is served.
	waiting  int
	accounts map[string]*account
	active   []*account // Accounts with entries, sorted by name.
}

func (c *class) account(name string, weight float64) *account {
	a := c.accounts[name]
	if a == nil {
		c.forget()
		a = &account{name: name, virtual: c.virtual}
		c.accounts[name] = a
	}
	a.weight = weight
	return a
}

// forget drops idle accounts that the class's virtual time has passed, and all
// idle ones once the table is full.
func (c *class) forget() {
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

// next returns the account that is served first.
func (c *class) next() *account {
	var found *account
	for _, a := range c.active {
		if found == nil || a.virtual < found.virtual {
			found = a
		}
	}
	return found
}

// charge counts the cost of an entry that is served.
func (c *class) charge(a *account, cost float64) {
	c.virtual = max(c.virtual, a.virtual)
	a.virtual += cost / a.weight
	c.served += cost
}

// longest returns the account with the most waiting entries for its weight.
func (c *class) longest() *account {
	var found *account
	for _, a := range c.active {
		if found == nil || a.load() > found.load() {
			found = a
		}
	}
	return found
}

func (a *account) load() float64 { return float64(len(a.entries)) / a.weight }

// weights returns the sum of the weights of the accounts with entries.
func (c *class) weights() float64 {
	total := 0.0
	for _, a := range c.active {
		total += a.weight
	}
	return total
}
