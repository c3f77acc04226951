package pool

import (
	"bergamotworks/note"
	"bergamotworks/warm"
)

// Policy says how calls are admitted. All but [Owned] are baselines for
// comparison, in which each node admits work to every target by itself.
type Policy int

// The policies.
const (
	// Owned keeps exact limits at one owner.
	Owned Policy = iota
	// RoundRobin takes the targets in turn, up to the warm limit on each node.
	RoundRobin
	// LeastOutstanding takes the target with the fewest own calls in flight, up
	// to the warm limit on each node.
	LeastOutstanding
	// SplitLimits divides each limit by the number of nodes.
	SplitLimits
)

// settings returns the bounds of the service's targets under the policy.
func (p Policy) settings(service note.Service, nodes int) warm.Settings {
	s := warm.SettingsOf(service)
	switch p {
	case RoundRobin, LeastOutstanding:
		return s.WithoutWarmUp()
	case SplitLimits:
		return s.WithSplit(nodes)
	case Owned:
	}
	return s
}

// plain reports whether the policy is one without classes and estimates.
func (p Policy) plain() bool { return p == RoundRobin || p == LeastOutstanding }
