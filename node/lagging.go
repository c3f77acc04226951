package node

import (
	"context"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"
)

// methodRevision returns the active revision of a node.
const methodRevision = "node.revision"

// maxRevisionCalls is the maximum number of concurrent calls of methodRevision.
const maxRevisionCalls = 16

type revisionRequest struct{}

type revisionResponse struct {
	Revision int64 `json:"revision"`
}

func (n *Node) handleRevision(context.Context, revisionRequest) (revisionResponse, error) {
	return revisionResponse{Revision: n.conf.Current().Revision}, nil
}

// lagging returns the IDs of the live nodes on which the revision is not active
// yet. It asks only the nodes whose attributes in the membership view have an
// older revision. A node that does not respond counts as lagging.
func (n *Node) lagging(ctx context.Context, revision int64) []string {
	var mutex sync.Mutex
	var names []string
	var group errgroup.Group
	group.SetLimit(maxRevisionCalls)
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

// revisionOf returns the active revision of a node, or zero if the call fails.
func (n *Node) revisionOf(ctx context.Context, vm string) int64 {
	if vm == n.Settings.VM {
		return n.conf.Current().Revision
	}
	var response revisionResponse
	if err := n.peers.Call(ctx, vm, methodRevision, revisionRequest{}, &response); err != nil {
		return 0
	}
	return response.Revision
}
