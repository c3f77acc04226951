package node

import (
	"context"

	"github.com/gravitational/trace"
)

// Stop performs a planned shutdown: the node becomes unready, waits DrainDelay
// so that the load balancer notices, hands its pools over to other nodes, fails
// its batched pieces so that they are submitted to other nodes, leaves the
// membership so that other nodes become the homes of its requests (see package
// flow), and completes the requests in progress within DrainTimeout. It waits
// until the node listens if it does not yet, and returns the first error of
// these steps.
func (n *Node) Stop(ctx context.Context) error {
	n.once.Do(n.init)
	<-n.started
	n.stopping.Store(true)
	n.Log.WithField("drain_wait", n.Settings.DrainDelay.String()).Info("planned shutdown started")
	select {
	case <-n.Clock.After(n.Settings.DrainDelay):
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(ctx, n.Settings.DrainTimeout)
	defer cancel()
	n.owner.Leave()
	n.routes.leave()
	n.rollouts.leave()
	steps := []func(context.Context) error{n.members.Leave, n.entry.Drain, n.routes.drain, n.flow.Drain, n.owner.Drain, n.ledger.Flush}
	var firstErr error
	for _, s := range steps {
		if err := s(ctx); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	_ = n.members.Close()
	n.cancel()
	<-n.finished
	return trace.Wrap(firstErr)
}
