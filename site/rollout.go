package site

import (
	"slices"
	"time"
)

// RolloutState says how far the rollout of a service's version has come. Complete and
// RolledBack are final.
type RolloutState int

// The states of a rollout.
const (
	// RolloutRunning means that it is not decided whether the version is good.
	RolloutRunning RolloutState = iota
	// RolloutComplete means that the service's requests go to the new version.
	RolloutComplete
	// RolloutRolledBack means that the version is bad and gets no requests.
	RolloutRolledBack
)

// Final reports whether the state never changes again.
func (s RolloutState) Final() bool { return s == RolloutComplete || s == RolloutRolledBack }

// Rollout is the order of an operator to move a service's requests to the targets of
// another version.
type Rollout struct {
	Service string        `json:"service"`
	Version string        `json:"version"` // Of the targets that are to get the requests.
	Span    time.Duration `json:"span_ns"` // From the order to its deadline.
	// Revision is that of the store at which the order was written, and Epoch that in
	// which it was read. An order that replaces another one in an epoch has a higher
	// revision.
	Revision int64        `json:"revision"`
	Epoch    int64        `json:"epoch,omitempty"`
	State    RolloutState `json:"state"` // As recorded in the store; running if nothing is.
	// StateRevision is the revision of the store at which the state was written; zero
	// if no state is recorded.
	StateRevision int64 `json:"state_revision,omitempty"`
}

// epochShift is the number of the lowest bits of an identifier that hold the revision.
const epochShift = 40

// ID identifies the order as it was read in an epoch of the store; later orders have greater
// identifiers. It is the revision until the store is restored from a copy for the first time.
func (r Rollout) ID() int64 { return max(0, r.Epoch-1)<<epochShift | r.Revision }

// Continues reports whether the order is the given one, read in a later epoch: the store has
// kept it, or the operator has written it again.
func (r Rollout) Continues(before Rollout) bool {
	same := r.Service == before.Service && r.Version == before.Version && r.Span == before.Span
	return same && r.Epoch > before.Epoch
}

// Keeps reports whether the store keeps the recorded state when the given one is to be
// recorded: a final state never changes, and the same one is not written again. A state
// that is older than the order does not count.
func (r Rollout) Keeps(state RolloutState) bool {
	return r.StateRevision > r.Revision && (r.State.Final() || r.State == state)
}

// FindRollout returns the order for a service, and whether there is one.
func FindRollout(orders []Rollout, service string) (Rollout, bool) {
	at := slices.IndexFunc(orders, func(r Rollout) bool { return r.Service == service })
	if at < 0 {
		return Rollout{}, false
	}
	return orders[at], true
}
