package node

import (
	"context"
	"slices"
	"sync/atomic"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"bergamotworks/canary"
	"bergamotworks/fault"
	"bergamotworks/launch"
	"bergamotworks/member"
	"bergamotworks/note"
	"bergamotworks/peer"
	"bergamotworks/site"
)

// rollouts are the components for rollouts of versions of services. A nil *rollouts has
// none.
type rollouts struct {
	orders    *launch.Service
	canary    *canary.Service
	directory atomic.Pointer[site.Directory]
}

// assembleRollouts creates the components for rollouts if the settings allow them. A node
// without opaque routes has them, too, since it may own an order.
func (n *Node) assembleRollouts() {
	settings := n.Settings.Canary
	if settings.Share <= 0 {
		return
	}
	r := &rollouts{orders: &launch.Service{
		Self: n.Settings.VM, Store: n.monitored, Peers: n.peers, View: n.members.View, Broadcast: n.members.Broadcast,
		Config: n.conf.Current, Clock: n.Clock, Log: n.logger("launch"), Metrics: n.metrics,
	}}
	r.canary = &canary.Service{
		Self: n.Settings.VM, Settings: settings,
		Gate:   &canary.Gate{Settings: settings, VM: n.Settings.VM, Domain: n.Settings.Domain, Started: n.Clock.Now()},
		Orders: r.orders.Rollouts, AsOf: r.orders.AsOf, Directory: r.currentDirectory, View: n.members.View, States: r.orders,
		Peers: n.peers, Broadcast: n.members.Broadcast, Clock: n.Clock, Log: n.logger("canary"), Metrics: n.metrics,
	}
	n.conf.CheckChange = r.orders.CheckChange
	n.peers.Register(launch.MethodFetch, peer.TypedHandler(r.orders.HandleFetch))
	n.peers.Register(canary.MethodReport, peer.TypedHandler(r.canary.HandleReport))
	n.rollouts = r
}

// Run runs the components until the context ends. It must not be called on a nil
// *rollouts.
func (r *rollouts) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.orders.Run(ctx) })
	group.Go(func() error { return r.canary.Run(ctx) })
	return trace.Wrap(group.Wait())
}

// Close waits for the reports and writes in flight.
func (r *rollouts) Close() error {
	if r == nil {
		return nil
	}
	return r.canary.Close()
}

// leave ends the ownership of orders.
func (r *rollouts) leave() {
	if r != nil {
		r.canary.Leave()
	}
}

// gate returns the component that limits what a version gets, nil if there are no rollouts.
func (r *rollouts) gate() *canary.Service {
	if r == nil {
		return nil
	}
	return r.canary
}

// ready returns nil if the node knows the orders or does not wait for them any more.
func (r *rollouts) ready() error {
	if r == nil || r.orders.Ready() {
		return nil
	}
	return errNotReady("the orders of rollouts have not been read")
}

// configChanged must be called before the pools and routes use a configuration.
func (r *rollouts) configChanged(config note.Config) {
	if r == nil {
		return
	}
	r.orders.ConfigChanged(config)
	d := siteDirectory(config)
	r.directory.Store(&d)
}

// allows reports whether the version of a target may get a call now. A call of a pipeline
// may have waited in a pool since its version was chosen. A target that the directory does
// not list has left since then, and only calls to an ordered version are limited.
func (r *rollouts) allows(service, target string) bool {
	d := r.currentDirectory()
	t, ok := d.Find(target)
	if !ok {
		return true
	}
	regular, canaries := r.canary.Split(r.canary.Clock.Now(), service, d.Usable(service))
	same := func(o site.Target) bool { return o.Version == t.Version }
	return slices.ContainsFunc(regular, same) || slices.ContainsFunc(canaries, same) || !slices.ContainsFunc(d.Usable(service), same)
}

func (r *rollouts) currentDirectory() site.Directory {
	if d := r.directory.Load(); d != nil {
		return *d
	}
	return site.Directory{}
}

// receiveAnnouncement handles an announcement of another node about rollouts.
func (r *rollouts) receiveAnnouncement(a member.Announcement) {
	if r == nil {
		return
	}
	r.orders.ObserveAnnouncement(a)
	if order, phase, ok := canary.VerdictFromAnnouncement(a); ok {
		r.canary.ObserveVerdict(order, phase)
	}
}

// Start implements [admin.Rollouts].
func (r *rollouts) Start(ctx context.Context, order site.Rollout) (site.Rollout, error) {
	if r == nil {
		return site.Rollout{}, errNoRollouts()
	}
	return r.orders.Start(ctx, order)
}

// Withdraw implements [admin.Rollouts].
func (r *rollouts) Withdraw(ctx context.Context, service string) (site.Rollout, error) {
	if r == nil {
		return site.Rollout{}, errNoRollouts()
	}
	return r.orders.Withdraw(ctx, service)
}

// Statuses implements [admin.Rollouts].
func (r *rollouts) Statuses() []canary.Status {
	return append([]canary.Status{}, r.gate().Statuses()...)
}

func errNoRollouts() error {
	return fault.New(fault.Conflict, fault.NotRun, "the node has no rollouts: its setting canary-share is zero")
}
