package pool

import (
	"bergamotworks/note"
	"bergamotworks/warm"
)

// Policy is an admission policy. All but [Owned] serve as baselines for
// comparison: under them, each node admits calls to every target on its own.
type Policy int

// The admission policies.
const (
	// Owned keeps exact limits at the single owner of each pool.
	Owned Policy = iota
	// RoundRobin uses the targets in turn, up to the warm limit on each node.
	RoundRobin
	// LeastOutstanding uses the target with the fewest calls in flight from this
	// node, up to the warm limit on each node.
	LeastOutstanding
	// SplitLimits divides each limit by the number of nodes.
	SplitLimits
)

// settings returns the settings of the service's targets under the policy.
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

// fifo reports whether the policy serves calls in order of arrival, without
// classes and latency estimates.
func (p Policy) fifo() bool { return p == RoundRobin || p == LeastOutstanding }
