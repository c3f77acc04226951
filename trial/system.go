package trial

import (
	"context"

	"bergamotworks/note"
)

// StoreFault is a fault of the store that a test can inject.
type StoreFault int

// Faults of the store. StoreHealthy means none.
const (
	// StoreHealthy means that calls succeed without delay.
	StoreHealthy StoreFault = iota // store_healthy
	// StoreDown means that all calls fail.
	StoreDown // store_down
	// StoreSlow means that calls are delayed.
	StoreSlow // store_slow
	// StoreLosesResponses means that calls take effect but some responses are
	// lost.
	StoreLosesResponses // store_loses_answers
)

// System is a running system under test.
type System interface {
	// Addresses returns the addresses at which nodes serve clients. Nodes that
	// are down or not ready are left out, as a load balancer would do.
	Addresses() []string
	// Nodes returns the number of nodes, including those that are down.
	Nodes() int
	// KillNode terminates a node without a shutdown.
	KillNode(index int) error
	// StopNode shuts a node down gracefully and waits until it has ended.
	StopNode(index int) error
	// RestartNode starts a node that was killed or stopped.
	RestartNode(index int) error
	// Config returns the active configuration.
	Config() note.Config
	// Submit submits a release note and returns nil once it is accepted.
	Submit(ctx context.Context, change note.Note) error
	// SetStore replaces the fault of the store; StoreHealthy ends it.
	SetStore(fault StoreFault) error
	// Close stops the system and waits until it has ended.
	Close() error
}

// Starter starts a system for a configuration whose targets already listen. The
// policy names the method of selecting and limiting targets: "owned" for that
// of the system, or the name of a baseline to compare it with.
type Starter func(ctx context.Context, config note.Config, policy string) (System, error)
