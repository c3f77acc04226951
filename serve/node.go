package serve

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"bergamotworks/batch"
	"bergamotworks/member"
	"bergamotworks/news"
	"bergamotworks/peer"
	"bergamotworks/ports"
	"bergamotworks/relay"
	"bergamotworks/wire"
)

const (
	// attributesInterval is the time between two updates of what the node
	// tells about itself.
	attributesInterval = 200 * time.Millisecond
	// cutOffAfter is the silence of the store and of all other nodes after
	// which a node takes no new callers.
	cutOffAfter = 6 * time.Second
	// endReserve is the part of the time for a planned stop that is left for
	// closing connections.
	endReserve   = 500 * time.Millisecond
	pollInterval = 50 * time.Millisecond
)

// Node serves opaque routes. The exported fields are set before [Node.Run].
type Node struct {
	Settings Settings
	Source   news.Source
	Seeds    member.Seeds
	Runner   batch.Runner
	Client   *wire.Client
	Names    relay.HeaderNames
	Network  ports.Network
	Clock    ports.Clock
	Random   ports.Random
	Log      *logrus.Entry
	Metrics  *metrics.Set

	members  *member.Service
	peers    *peer.Mesh
	news     *news.Service
	batch    *batch.Service
	relay    *relay.Server
	ready    *readiness
	once     sync.Once
	built    error
	stopping atomic.Bool
	reloaded atomic.Pointer[Settings] // Nil before the first reload.
	context  context.Context
	end      context.CancelFunc
}

// Run serves until the context ends or [Node.Stop] is done.
func (n *Node) Run(ctx context.Context) error {
	n.once.Do(func() { n.built = n.assemble() })
	if n.built != nil {
		return n.built
	}
	n.Log.WithFields(logrus.Fields{"domain": n.Settings.Domain, "listen": n.Settings.Listen, "peer": n.Settings.PeerListen}).Info("node starts")
	defer context.AfterFunc(ctx, n.end)()
	group, ctx := errgroup.WithContext(n.context)
	group.Go(func() error { return n.members.Run(ctx) })
	group.Go(func() error { return n.peers.Run(ctx) })
	group.Go(func() error { return n.news.Run(ctx) })
	group.Go(func() error { return n.batch.Run(ctx) })
	group.Go(func() error { return n.relay.Run(ctx) })
	group.Go(func() error { return n.ready.run(ctx) })
	group.Go(func() error { return n.loopAttributes(ctx) })
	err := group.Wait()
	if n.stopping.Load() {
		return nil
	}
	return err
}

// Stop ends the node in order: it takes no new callers, waits until the
// balancer has noticed, finishes what is under way and leaves the membership.
func (n *Node) Stop(ctx context.Context) error {
	n.once.Do(func() { n.built = n.assemble() })
	if n.built != nil {
		return n.built
	}
	begun := n.Clock.Now()
	n.stopping.Store(true)
	n.Log.Info("planned stop begins")
	if err := n.members.Leave(ctx); err != nil {
		n.Log.WithField("error", err.Error()).Warn("leaving not announced")
	}
	n.batch.Leave()
	n.sleep(ctx, begun.Add(n.current().DrainDelay).Sub(n.Clock.Now()))
	n.relay.Drain()
	n.finish(ctx, begun.Add(n.current().ShutdownTimeout-endReserve))
	return n.close()
}

// Reload takes over the settings that may change while the node runs, and logs
// the others that differ.
func (n *Node) Reload(settings Settings) {
	next, fixed := n.current().WithReloadable(settings)
	n.reloaded.Store(&next)
	n.Log.WithFields(logrus.Fields{
		"stop_time": next.ShutdownTimeout.String(), "balancer_wait": next.DrainDelay.String(), "retry_share": next.Bounds.RetryRatio,
		"retry_slack": next.Bounds.RetrySlack, "retry_window": next.Bounds.RetryWindow.String(), "cold_factor": next.Bounds.ColdFactor,
		"only_at_start": fixed,
	}).Info("settings read again")
}

// current returns the settings in use.
func (n *Node) current() Settings {
	if s := n.reloaded.Load(); s != nil {
		return *s
	}
	return n.Settings
}

// finish waits until no request is under way.
func (n *Node) finish(ctx context.Context, until time.Time) {
	for n.Clock.Now().Before(until) && ctx.Err() == nil {
		if connections, _ := n.relay.Active(); connections == 0 {
			return
		}
		n.sleep(ctx, pollInterval)
	}
}

func (n *Node) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-n.Clock.After(d):
	}
}

func (n *Node) close() error {
	connections, requests := n.relay.Active()
	n.end()
	err := trace.NewAggregate(n.relay.Close(), n.ready.Close(), n.batch.Close(), n.peers.Close(), n.members.Close())
	n.Client.Close()
	n.Log.WithFields(logrus.Fields{"connections_cut": connections, "requests_cut": requests}).Info("node stops")
	return err
}

// LiveMembers returns the number of live nodes that this one knows, itself included.
func (n *Node) LiveMembers() int { return len(n.members.View().Live()) }

// Ready reports whether the node takes new callers, and the reason if not.
func (n *Node) Ready() (bool, string) {
	switch {
	case n.stopping.Load():
		return false, "stopping"
	case !n.news.Config().Loaded():
		return false, "no configuration"
	case !n.news.Directory().Loaded():
		return false, "no directory of targets"
	case n.cutOff():
		return false, "neither the store nor another node answers"
	}
	return true, ""
}

// cutOff reports whether the node hears neither the store nor any other node.
func (n *Node) cutOff() bool {
	return n.news.TimeSinceStoreRead() > cutOffAfter && n.members.View().Isolated
}

// loopAttributes keeps what the node tells about itself up to date.
func (n *Node) loopAttributes(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.Clock.After(attributesInterval):
		}
		known := n.news.Config().Loaded() && n.news.Directory().Loaded()
		n.members.SetAttributes(member.Attributes{
			Revision: n.news.Config().Version, Ready: known && !n.stopping.Load(),
			StoreReachable: n.news.TimeSinceStoreRead() < cutOffAfter,
		})
	}
}

func (n *Node) assemble() error {
	n.context, n.end = context.WithCancel(context.Background())
	callers, err := n.Network.Listen(n.Settings.Listen)
	if err != nil {
		return trace.Wrap(err)
	}
	ready, err := n.Network.Listen(n.Settings.ReadyListen)
	if err != nil {
		return trace.Wrap(err)
	}
	peers, err := n.Network.Listen(n.Settings.PeerListen)
	if err != nil {
		return trace.Wrap(err)
	}
	n.assembleFleet(peers)
	n.assembleWork(callers)
	n.ready = &readiness{node: n, listener: ready}
	n.peers.Register(batch.MethodSubmit, peer.TypedHandler(n.batch.HandleSubmit))
	n.peers.Register(batch.MethodRelease, peer.TypedHandler(n.batch.HandleRelease))
	n.peers.Register(news.MethodFetch, peer.TypedHandler(n.news.HandleFetch))
	return nil
}

func (n *Node) assembleFleet(listener net.Listener) {
	n.peers = &peer.Mesh{
		Self: n.Settings.VM, Listener: listener, Network: n.Network, Clock: n.Clock,
		Log: n.logger("peer"), Metrics: n.Metrics, Directory: n.peerAddress,
	}
	n.members = &member.Service{
		Self: member.VM{
			ID: n.Settings.VM, Address: n.Settings.PeerListen, GossipAddress: n.Settings.GossipListen,
			Domain: n.Settings.Domain, Region: n.Settings.Region, Millicores: n.Settings.millicores(),
		},
		Seeds: n.Seeds, Network: n.Network, Clock: n.Clock, Random: n.Random,
		Log: n.logger("member"), Metrics: n.Metrics, OnAnnouncement: n.receiveRumor,
	}
	n.news = &news.Service{
		Self: n.Settings.VM, Source: n.Source, Peers: n.peers, View: n.members.View, Clock: n.Clock, Random: n.Random,
		Log: n.logger("news"), Metrics: n.Metrics,
	}
}

func (n *Node) assembleWork(callers net.Listener) {
	n.batch = &batch.Service{
		Self: n.Settings.VM, Config: n.news.Config, Directory: n.news.Directory, View: n.members.View,
		Runner: n.Runner, Peers: n.peers, Clock: n.Clock, Log: n.logger("batch"), Metrics: n.Metrics,
	}
	n.relay = &relay.Server{
		Listener: callers, Self: n.Settings.VM, Names: n.Names, Domain: n.Settings.Domain, Config: n.news.Config,
		Directory: n.news.Directory, View: n.members.View, Stages: n.batch, Client: n.Client,
		Bounds: n.bounds, Clock: n.Clock, Random: n.Random, Log: n.logger("relay"), Metrics: n.Metrics,
		OnCrash: n.spreadCrash,
	}
}

func (n *Node) spreadCrash(c relay.Crash) { n.members.Broadcast(c.Announcement()) }

func (n *Node) receiveRumor(r member.Announcement) {
	if c, ok := relay.CrashFromAnnouncement(r); ok {
		n.relay.ObserveCrash(c)
	}
}

// bounds returns the limits that all nodes keep together.
func (n *Node) bounds() relay.Bounds { return n.current().Bounds }

func (n *Node) peerAddress(vm string) (string, bool) {
	v, ok := n.members.View().Find(vm)
	return v.Address, ok
}

func (n *Node) logger(part string) *logrus.Entry { return n.Log.WithField("part", part) }
