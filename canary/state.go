package canary

import (
	"context"

	"bergamotworks/site"
)

// StateStore records the states of rollouts.
type StateStore interface {
	// Record records the state of an order unless a final state is recorded, and returns
	// what is recorded then. It fails with fault.NotFound if the order has been removed
	// or replaced, and with fault.Conflict if the order or its state has changed
	// meanwhile. After any other error it is not known whether the state is recorded.
	Record(ctx context.Context, order site.Rollout, state site.RolloutState) (site.RolloutState, error)
}
