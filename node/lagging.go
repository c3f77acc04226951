package node

import (
	"context"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"
)

// methodRevision asks a node for the revision that it has in force.
const methodRevision = "node.revision"

// maxAsked bounds the nodes that are asked for their revision at once.
const maxAsked = 16

type revisionRequest struct{}

type revisionAnswer struct {
	Revision int64 `json:"revision"`
}

func (n *Node) handleRevision(context.Context, revisionRequest) (revisionAnswer, error) {
	return revisionAnswer{Revision: n.conf.Current().Revision}, nil
}

// lagging names the live nodes on which a revision is not in force. Nodes whose
// last heartbeat showed an older one are asked.
func (n *Node) lagging(ctx context.Context, revision int64) []string {
	var mutex sync.Mutex
	var names []string
	var group errgroup.Group
	group.SetLimit(maxAsked)
	for _, m := range n.members.View().Live() {
		if m.Attributes.Revision >= revision {
			continue
		}
		group.Go(func() error {
			if n.revisionOf(ctx, m.ID) < revision {
				mutex.Lock()
				defer mutex.Unlock()
				names = append(names, m.ID)
			}
			return nil
		})
	}
	_ = group.Wait()
	slices.Sort(names)
	return names
}

// revisionOf returns the revision in force on a node, zero if it does not answer.
func (n *Node) revisionOf(ctx context.Context, vm string) int64 {
	if vm == n.Settings.VM {
		return n.conf.Current().Revision
	}
	var answer revisionAnswer
	if err := n.peers.Call(ctx, vm, methodRevision, revisionRequest{}, &answer); err != nil {
		return 0
	}
	return answer.Revision
}
