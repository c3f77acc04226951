package admit

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// reservedShare is the share of a class that is least urgent, in relation to
	// that of all work. It keeps evidence of its demand; the nodes raise it for
	// classes that have been served too little.
	reservedShare = 0.08
	// maxLevelAccounts limits the accounts that a level names, and with it the
	// size of the messages that carry levels.
	maxLevelAccounts = 16
	// maxAccountBytes limits the length of the name of an account in a level.
	maxAccountBytes = 64
)

// Class is what work has in common that is admitted by the same share.
type Class struct {
	Priority int    // Lower is more urgent.
	Account  string // Empty if the request belongs to none.
}

// Level says which share of the requests of each class a service can serve. More
// urgent classes than Priority are served in full. It is sent between nodes as JSON.
type Level struct {
	Priority int `json:"priority"` // The priority at which the capacity ends.
	// Share is that of accounts at Priority that are not listed.
	Share    float64        `json:"share"`
	Reserved float64        `json:"reserved"` // Share of less urgent classes.
	Accounts []AccountShare `json:"accounts,omitempty"`
}

// AccountShare is the share of the requests of one account that are served.
type AccountShare struct {
	Account string  `json:"account"`
	Share   float64 `json:"share"`
}

// Unlimited reports whether all classes are served in full. The zero value, which
// stands for no level, is unlimited, too.
func (l Level) Unlimited() bool {
	return l.Reserved >= 1 || l.Reserved == 0 && l.Share == 0 && len(l.Accounts) == 0
}

// ShareOf returns the share of the requests of a class that are served, from 0 to 1.
func (l Level) ShareOf(c Class) float64 {
	switch {
	case l.Unlimited() || c.Priority < l.Priority:
		return 1
	case c.Priority > l.Priority:
		return l.Reserved
	}
	for _, a := range l.Accounts {
		if a.Account == c.Account {
			return a.Share
		}
	}
	return l.Share
}

// Valid reports whether a level that another node has sent is within its bounds.
func (l Level) Valid() bool {
	valid := func(share float64) bool { return share >= 0 && share <= 1 }
	if !valid(l.Share) || !valid(l.Reserved) || len(l.Accounts) > maxLevelAccounts {
		return false
	}
	return !slices.ContainsFunc(l.Accounts, func(a AccountShare) bool { return !valid(a.Share) || len(a.Account) > maxAccountBytes })
}

// Allocate returns the level at which work that arrives at the given rates by class
// fits the capacity. Capacity returns the rate that is admitted of a priority and all more
// urgent ones together, in the same unit. Every class gets the reserved share first. The
// rest goes to classes by priority and, at the priority at which it ends, to accounts so
// that the rates that they get are as equal as possible.
func Allocate(rates map[Class]float64, capacity func(priority int) float64) Level {
	total := 0.0
	byPriority := make(map[int]float64)
	for _, c := range sortedClasses(rates) {
		total += rates[c]
		byPriority[c.Priority] += rates[c]
	}
	if total <= 0 {
		return Level{}
	}
	before := 0.0 // Rate of more urgent classes.
	for _, p := range slices.Sorted(maps.Keys(byPriority)) {
		most := max(0, capacity(p))
		reserved := reservedShare * min(1, most/total)
		left := max(0, most-before-reserved*(total-before-byPriority[p]))
		if byPriority[p] <= left {
			before += byPriority[p]
			continue
		}
		l := Level{Priority: p, Reserved: max(reserved, minShare)}
		l.setAccounts(rates, reserved, left)
		return l
	}
	return Level{}
}

// sortedClasses returns the classes by priority and account. Sums of fractions are
// made in this order, so that the same rates always make the same level.
func sortedClasses(rates map[Class]float64) []Class {
	return slices.SortedFunc(maps.Keys(rates), func(a, b Class) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Account, b.Account))
	})
}

// accountRate is the rate at which work of an account arrives.
type accountRate struct {
	account string
	rate    float64
}

// setAccounts divides the capacity between the accounts at the level's priority. It
// lists those that are limited; if there are too many, those with the highest rates.
func (l *Level) setAccounts(rates map[Class]float64, reserved, capacity float64) {
	var list []accountRate
	for c, r := range rates {
		if c.Priority == l.Priority {
			list = append(list, accountRate{account: c.Account, rate: r})
		}
	}
	slices.SortFunc(list, func(a, b accountRate) int {
		return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.account, b.account))
	})
	limit := accountLimit(list, reserved, capacity)
	l.Share = 1
	restRate, restServed := 0.0, 0.0
	for _, a := range list {
		if a.rate <= limit {
			continue
		}
		served := max(limit, reserved*a.rate)
		if len(l.Accounts) < maxLevelAccounts && len(a.account) <= maxAccountBytes {
			l.Accounts = append(l.Accounts, AccountShare{Account: a.account, Share: served / a.rate})
			continue
		}
		restRate += a.rate
		restServed += served
	}
	if restRate > 0 {
		l.Share = restServed / restRate
	}
}

// accountLimit returns the rate up to which each account is served, so that they get
// the capacity together. Above it an account gets the reserved share at least.
func accountLimit(list []accountRate, reserved, capacity float64) float64 {
	served := func(limit float64) float64 {
		sum := 0.0
		for _, a := range list {
			sum += max(reserved*a.rate, min(a.rate, limit))
		}
		return sum
	}
	low, high := 0.0, 0.0
	for _, a := range list {
		high = max(high, a.rate)
	}
	const bisections = 24
	for range bisections {
		if middle := (low + high) / 2; served(middle) < capacity {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}
