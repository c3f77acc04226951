package node

import (
	"context"

	"github.com/gravitational/trace"
)

// Stop stops the node in order: readiness ends, the balancer has time to see
// it, pools and homes move to other nodes, and running requests finish.
func (n *Node) Stop(ctx context.Context) error {
	n.once.Do(n.init)
	<-n.started
	n.stopping.Store(true)
	n.Log.WithField("drain_wait", n.Settings.DrainWait.String()).Info("planned stop")
	select {
	case <-n.Clock.After(n.Settings.DrainWait):
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(ctx, n.Settings.DrainLimit)
	defer cancel()
	n.owner.Leave()
	n.routes.leave()
	steps := []func(context.Context) error{n.members.Leave, n.entry.Drain, n.routes.drain, n.flow.Drain, n.owner.Drain, n.ledger.Flush}
	var failure error
	for _, s := range steps {
		if err := s(ctx); err != nil && failure == nil {
			failure = err
		}
	}
	_ = n.members.Close()
	n.cancel()
	<-n.finished
	return trace.Wrap(failure)
}
