package trial

import (
	"context"

	"bergamotworks/note"
)

// StoreFault is a state of the platform's store.
type StoreFault int

// The states of the store.
const (
	// StoreHealthy is the usual state.
	StoreHealthy StoreFault = iota
	// StoreDown means that no call succeeds.
	StoreDown
	// StoreSlow means that calls take long.
	StoreSlow
	// StoreLosesResponses means that calls take effect but some answers are lost.
	StoreLosesResponses
)

// System is a running system under test.
type System interface {
	// Addresses returns the addresses at which the nodes serve callers, without
	// those that are down or not ready, as a balancer would know them.
	Addresses() []string
	// Nodes returns the number of nodes, those that are down included.
	Nodes() int
	// KillNode ends a node at once.
	KillNode(index int) error
	// StopNode ends a node by a graceful shutdown and waits for it.
	StopNode(index int) error
	// RestartNode starts a node that was killed or stopped.
	RestartNode(index int) error
	// Config returns the configuration that is in force.
	Config() note.Config
	// Accept offers a release note and returns once it is accepted.
	Submit(ctx context.Context, change note.Note) error
	// SetStore changes the state of the store.
	SetStore(fault StoreFault) error
	// Close ends the system and waits for it.
	Close() error
}

// Starter starts a system for a configuration whose targets already listen.
// The policy names how targets are chosen and limited: "owned" or a baseline.
type Starter func(ctx context.Context, config note.Config, policy string) (System, error)
