package node

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"bergamotworks/admin"
	"bergamotworks/burn"
	"bergamotworks/conf"
	"bergamotworks/engine"
	"bergamotworks/entry"
	"bergamotworks/fault"
	"bergamotworks/flow"
	"bergamotworks/ledger"
	"bergamotworks/member"
	"bergamotworks/note"
	"bergamotworks/order"
	"bergamotworks/owner"
	"bergamotworks/peer"
	"bergamotworks/ports"
)

// Node is one process of the system. The exported fields are set before
// [Node.Run]. Package serve has a smaller node, for opaque routes only.
type Node struct {
	Settings Settings
	Store    ports.Store
	Network  ports.Network
	Clock    ports.Clock
	Random   ports.Random
	Log      *logrus.Entry

	once      sync.Once
	started   chan struct{} // Closed once the node listens.
	monitored *monitoredStore
	metrics   *metrics.Set
	peers     *peer.Mesh
	members   *member.Service
	conf      *conf.Service
	ledger    *ledger.Service
	engine    *engine.Client
	owner     *owner.Service
	flow      *flow.Service
	orders    *order.Service
	burns     burn.Recorder
	changes   changeLog
	entry     *entry.Server
	admin     *admin.Server
	routes    *routes   // Nil if the node serves no opaque routes.
	rollouts  *rollouts // Nil if the settings allow none.
	stopping  atomic.Bool
	cancel    context.CancelFunc
	finished  chan struct{}
}

const attributesInterval = 100 * time.Millisecond

func (n *Node) init() {
	n.started = make(chan struct{})
	n.finished = make(chan struct{})
	n.metrics = metrics.NewSet()
}

// Run runs the node until the context ends, which stops it immediately, or
// until [Node.Stop] has completed a planned shutdown.
func (n *Node) Run(ctx context.Context) error {
	n.once.Do(n.init)
	defer close(n.finished)
	if err := n.Settings.Check(); err != nil {
		return err
	}
	ctx, n.cancel = context.WithCancel(ctx)
	defer n.cancel()
	if err := n.assemble(); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	components := []interface {
		Run(ctx context.Context) error
	}{
		n.peers, n.members, n.conf, n.ledger, n.owner, n.flow, n.orders, n.entry, n.admin,
	}
	if n.routes != nil {
		components = append(components, n.routes)
	}
	if n.rollouts != nil {
		components = append(components, n.rollouts)
	}
	for _, c := range components {
		group.Go(func() error { return c.Run(ctx) })
	}
	group.Go(func() error { return n.loop(ctx) })
	close(n.started)
	n.Log.WithFields(logrus.Fields{"listen": n.Address(), "admin": n.AdminAddress()}).Info("node started")
	err := group.Wait()
	n.closeComponents()
	return trace.Wrap(err)
}

// closeComponents closes the components and waits for their goroutines.
func (n *Node) closeComponents() {
	_ = n.entry.Close()
	_ = n.routes.Close()
	_ = n.rollouts.Close()
	_ = n.flow.Close()
	_ = n.orders.Close()
	_ = n.peers.Close()
	_ = n.owner.Close()
	_ = n.engine.Close()
	_ = n.ledger.Close()
	_ = n.conf.Close()
	_ = n.members.Close()
	_ = n.admin.Close()
}

// Started returns a channel that is closed once the node listens. It stays open if
// [Node.Run] fails before that.
func (n *Node) Started() <-chan struct{} {
	n.once.Do(n.init)
	return n.started
}

// Address returns the address of the client listener. It must not be called before
// [Node.Started] is closed.
func (n *Node) Address() string { return n.entry.Listener.Addr().String() }

// RoutesAddress returns the address of the listener for opaque routes, or an
// empty string if there is none. It must not be called before [Node.Started] is
// closed.
func (n *Node) RoutesAddress() string {
	if n.routes == nil {
		return ""
	}
	return n.routes.server.Listener.Addr().String()
}

// AdminAddress returns the address of the admin listener. It must not be called
// before [Node.Started] is closed.
func (n *Node) AdminAddress() string { return n.admin.Listener.Addr().String() }

// Metrics returns the node's metrics. It is nil before [Node.Run] or
// [Node.Started] is called.
func (n *Node) Metrics() *metrics.Set { return n.metrics }

// Configuration returns the configuration service, which accepts release notes.
// It must not be called before [Node.Started] is closed.
func (n *Node) Configuration() *conf.Service { return n.conf }

// Close stops the node immediately and waits for Run to return. Requests in
// progress are aborted.
func (n *Node) Close() error {
	n.once.Do(n.init)
	n.stopping.Store(true)
	if n.cancel != nil {
		n.cancel()
		<-n.finished
	}
	return nil
}

// Stopping reports whether [Node.Stop] or [Node.Close] has been called.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// Ready returns nil if load balancers should send requests to the node, else an
// error with the reason.
func (n *Node) Ready() error {
	if n.stopping.Load() {
		return errNotReady("the node is stopping")
	}
	return n.acceptsWork()
}

// acceptsWork returns nil if new work may start. Unlike [Node.Ready] it remains
// nil while a planned shutdown waits for the load balancer to stop sending
// requests.
func (n *Node) acceptsWork() error {
	if !n.conf.Ready() {
		return errNotReady("no configuration is in force")
	}
	if err := n.rollouts.ready(); err != nil {
		return err
	}
	if n.members.View().Isolated {
		return errNotReady("the node reaches neither the store nor any other node")
	}
	domain, known := n.conf.Current().Sections.Domains[n.Settings.Domain]
	if known && domain.State != note.InService {
		return errNotReady("failure domain " + n.Settings.Domain + " is out of service")
	}
	return nil
}

// loop periodically updates the attributes that the node sends to other members,
// reports newer revisions to the configuration service and probes the store.
func (n *Node) loop(ctx context.Context) error {
	for {
		n.members.SetAttributes(n.attributes())
		n.reportRevisions()
		if n.shouldProbeStore() {
			n.monitored.probe(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-n.Clock.After(attributesInterval):
		}
	}
}

// maxProbers is the number of nodes that probe the store on behalf of the
// fleet.
const maxProbers = 3

// shouldProbeStore reports whether this node probes the store. A few nodes do
// so for the fleet, and also every node that has no other node in its membership
// view, is unconfirmed or is isolated.
func (n *Node) shouldProbeStore() bool {
	view := n.members.View()
	ranked := view.Rank("store/probe", maxProbers)
	if len(ranked) < 2 || view.Unconfirmed || view.Isolated {
		return true
	}
	return slices.ContainsFunc(ranked, func(m member.VM) bool { return m.ID == n.Settings.VM })
}

func (n *Node) attributes() member.Attributes {
	return member.Attributes{
		Revision:       n.conf.Current().Revision,
		Ready:          n.acceptsWork() == nil,
		StoreReachable: n.monitored.reachable(),
	}
}

// shardWriters determines the writer of each ledger shard.
type shardWriters struct{ node *Node }

// Writer returns the VM that should write a shard, and whether it is this one.
func (w shardWriters) Writer(shard int) (string, bool) {
	vm, ok := w.node.members.View().Owner("ledger/" + strconv.Itoa(shard))
	if !ok || vm.ID == w.node.Settings.VM {
		return w.node.Settings.VM, true
	}
	return vm.ID, false
}

// lookupRecord returns the ledger record of a stage, for the admin API.
func (n *Node) lookupRecord(ctx context.Context, account, key, stage string) (any, error) {
	claim, err := n.ledger.Lookup(ctx, ledger.Key{Account: account, ID: key, Stage: stage})
	if err != nil {
		return nil, fault.From(err)
	}
	return admin.LedgerRecord{
		Account: account, Key: key, Stage: stage, State: claim.State.String(), Token: claim.Token,
		Fingerprint: claim.Fingerprint, CreatedMS: claim.CreatedMS, Result: claim.Result,
	}, nil
}

func (n *Node) logger(component string) *logrus.Entry {
	return n.Log.WithFields(logrus.Fields{"vm": n.Settings.VM, "part": component})
}

// Joined reports whether the node is ready and confirmed and its membership view
// has at least the given number of ready members, itself included.
func (n *Node) Joined(members int) bool {
	view := n.members.View()
	if n.Ready() != nil || view.Unconfirmed {
		return false
	}
	ready := 0
	for _, m := range view.Live() {
		if m.Attributes.Ready {
			ready++
		}
	}
	return ready >= members
}
