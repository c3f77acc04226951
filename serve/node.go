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
	"bergamotworks/canary"
	"bergamotworks/member"
	"bergamotworks/news"
	"bergamotworks/peer"
	"bergamotworks/place"
	"bergamotworks/poison"
	"bergamotworks/ports"
	"bergamotworks/relay"
	"bergamotworks/wire"
)

const (
	// attributesInterval is the time between two updates of the node's
	// attributes in the membership.
	attributesInterval = 200 * time.Millisecond
	// isolationTimeout is the time without a read of the store after which the
	// store counts as unreachable. A node that is also isolated from all other
	// nodes is then not ready.
	isolationTimeout = 6 * time.Second
	// outdatedTimeout is how long the node may lack a configuration that another
	// VM is known to have and still be ready.
	outdatedTimeout = 2 * time.Second
	// closeReserve is the part of the shutdown timeout that is reserved for
	// closing connections.
	closeReserve = 500 * time.Millisecond
	// responseReserve is the part of it in which requests that are still in flight get
	// a response.
	responseReserve = 200 * time.Millisecond
	pollInterval    = 50 * time.Millisecond // Between two checks for open connections.
)

// Node serves opaque routes. The exported fields are set before [Node.Run].
type Node struct {
	Settings Settings
	Source   news.Source
	States   canary.StateStore // Records the states of rollouts; unused without rollouts.
	Seeds    member.Seeds
	Runner   batch.Runner
	Mover    relay.Mover // Used only if the settings allow it; may be nil.
	Client   *wire.Client
	Names    relay.HeaderNames
	Network  ports.Network
	Clock    ports.Clock
	Random   ports.Random
	Log      *logrus.Entry
	Metrics  *metrics.Set

	members       *member.Service
	peers         *peer.Mesh
	news          *news.Service
	batch         *batch.Service
	relay         *relay.Server
	rollouts      *canary.Service // Nil if there are no rollouts.
	ready         *readiness
	once          sync.Once
	assembleError error
	stopping      atomic.Bool
	reloaded      atomic.Pointer[Settings] // Nil before the first reload.
	context       context.Context
	cancel        context.CancelFunc
}

// Run serves until the context is canceled or [Node.Stop] has completed. It
// returns an error if the node cannot listen on one of its addresses or if one
// of its components fails.
func (n *Node) Run(ctx context.Context) error {
	n.once.Do(func() { n.assembleError = n.assemble() })
	if n.assembleError != nil {
		return n.assembleError
	}
	n.Log.WithFields(logrus.Fields{"domain": n.Settings.Domain, "listen": n.Settings.Listen, "peer": n.Settings.PeerListen}).Info("node starting")
	defer context.AfterFunc(ctx, n.cancel)()
	group, ctx := errgroup.WithContext(n.context)
	group.Go(func() error { return n.members.Run(ctx) })
	group.Go(func() error { return n.peers.Run(ctx) })
	group.Go(func() error { return n.news.Run(ctx) })
	group.Go(func() error { return n.batch.Run(ctx) })
	group.Go(func() error { return n.relay.Run(ctx) })
	if n.rollouts != nil {
		group.Go(func() error { return n.rollouts.Run(ctx) })
	}
	group.Go(func() error { return n.ready.run(ctx) })
	group.Go(func() error { return n.loopAttributes(ctx) })
	err := group.Wait()
	if n.stopping.Load() {
		return nil
	}
	return err
}

// Stop performs a planned shutdown: the node reports that it is not ready, leaves
// the membership, fails the work that it batches so that it is submitted to other
// nodes, waits until DrainDelay has passed since the call so that the load
// balancer notices, and finishes the requests in flight. Requests that are still in
// flight shortly before the end of ShutdownTimeout get an error response, and then all
// connections are closed.
func (n *Node) Stop(ctx context.Context) error {
	n.once.Do(func() { n.assembleError = n.assemble() })
	if n.assembleError != nil {
		return n.assembleError
	}
	started := n.Clock.Now()
	n.stopping.Store(true)
	n.Log.Info("planned shutdown started")
	if err := n.members.Leave(ctx); err != nil {
		n.Log.WithField("error", err.Error()).Warn("failed to announce leaving the membership")
	}
	n.batch.Leave()
	if n.rollouts != nil {
		n.rollouts.Leave()
	}
	n.sleep(ctx, started.Add(n.currentSettings().DrainDelay).Sub(n.Clock.Now()))
	n.relay.Drain()
	limit := started.Add(n.currentSettings().ShutdownTimeout - closeReserve)
	n.waitForClients(ctx, limit)
	n.relay.EndRequests()
	n.waitForClients(ctx, limit.Add(responseReserve))
	return n.close()
}

// Reload applies the settings that may change while the node runs, and logs the
// names of the others that differ, as far as [Settings.WithReloadable] returns
// them.
func (n *Node) Reload(settings Settings) {
	next, fixed := n.currentSettings().WithReloadable(settings)
	n.reloaded.Store(&next)
	n.Log.WithFields(logrus.Fields{
		"stop_time": next.ShutdownTimeout.String(), "balancer_wait": next.DrainDelay.String(), "retry_share": next.Bounds.RetryRatio,
		"retry_slack": next.Bounds.RetrySlack, "retry_window": next.Bounds.RetryWindow.String(), "cold_factor": next.Bounds.ColdFactor,
		"only_at_start": fixed,
	}).Info("settings reloaded")
}

// currentSettings returns the settings as last reloaded.
func (n *Node) currentSettings() Settings {
	if s := n.reloaded.Load(); s != nil {
		return *s
	}
	return n.Settings
}

// waitForClients waits until all client connections are closed, but not longer
// than until the given time.
func (n *Node) waitForClients(ctx context.Context, until time.Time) {
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

// close ends Run and closes all components and connections.
func (n *Node) close() error {
	connections, requests := n.relay.Active()
	n.cancel()
	err := trace.NewAggregate(n.relay.Close(), n.ready.Close(), n.batch.Close(), n.closeRollouts(), n.peers.Close(), n.members.Close())
	n.Client.Close()
	n.Log.WithFields(logrus.Fields{"connections_cut": connections, "requests_cut": requests}).Info("node stopped")
	return err
}

func (n *Node) closeRollouts() error {
	if n.rollouts == nil {
		return nil
	}
	return n.rollouts.Close()
}

// LiveMembers returns the number of live nodes in the membership, including
// this one.
func (n *Node) LiveMembers() int { return len(n.members.View().Live()) }

// Ready reports whether the load balancer should send new clients to the node,
// and the reason if it should not.
func (n *Node) Ready() (bool, string) {
	switch {
	case n.stopping.Load():
		return false, "stopping"
	case !n.news.Config().Loaded():
		return false, "no configuration"
	case !n.news.Directory().Loaded():
		return false, "no directory of targets"
	case n.news.OutdatedFor() > outdatedTimeout:
		return false, "a newer configuration could not be fetched"
	case n.isolated():
		return false, "neither the store nor another node answers"
	}
	return true, ""
}

// isolated reports whether the node has contact neither with the store nor with
// any other node.
func (n *Node) isolated() bool {
	return n.news.TimeSinceStoreRead() > isolationTimeout && n.members.View().Isolated
}

// loopAttributes keeps the node's attributes in the membership up to date.
func (n *Node) loopAttributes(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.Clock.After(attributesInterval):
		}
		loaded := n.news.Config().Loaded() && n.news.Directory().Loaded()
		n.members.SetAttributes(member.Attributes{
			Revision: n.news.Config().Revision, Ready: loaded && !n.stopping.Load(),
			StoreReachable: n.news.TimeSinceStoreRead() < isolationTimeout,
		})
	}
}

// assemble opens the listeners and creates the components.
func (n *Node) assemble() error {
	n.context, n.cancel = context.WithCancel(context.Background())
	clients, err := n.listen(n.Settings.Listen)
	if err != nil {
		return err
	}
	ready, err := n.listen(n.Settings.ReadyListen)
	if err != nil {
		return err
	}
	peers, err := n.listen(n.Settings.PeerListen)
	if err != nil {
		return err
	}
	n.assembleMembership(peers)
	n.assembleRollouts()
	n.assembleServing(clients)
	n.ready = &readiness{node: n, listener: ready}
	n.peers.Register(batch.MethodSubmit, peer.TypedHandler(n.batch.HandleSubmit))
	n.peers.Register(batch.MethodRelease, peer.TypedHandler(n.batch.HandleRelease))
	n.peers.Register(batch.MethodProbe, peer.TypedHandler(n.batch.HandleProbe))
	n.peers.Register(news.MethodFetch, peer.TypedHandler(n.news.HandleFetch))
	n.peers.Register(news.MethodFetchDirectory, peer.TypedHandler(n.news.HandleFetchDirectory))
	n.peers.Register(news.MethodFetchConfig, peer.TypedHandler(n.news.HandleFetchConfig))
	if n.rollouts != nil {
		n.peers.Register(canary.MethodReport, peer.TypedHandler(n.rollouts.HandleReport))
	}
	return nil
}

func (n *Node) listen(address string) (net.Listener, error) {
	l, err := ports.ListenRetrying(n.Network, address, n.Clock, n.Log)
	return l, trace.Wrap(err)
}

func (n *Node) assembleMembership(listener net.Listener) {
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
		Log: n.logger("member"), Metrics: n.Metrics, OnAnnouncement: n.receiveAnnouncement,
		OnNewerRevision: n.observeRevision,
	}
	n.news = &news.Service{
		Self: n.Settings.VM, Source: n.Source, Peers: n.peers, View: n.members.View, Clock: n.Clock, Random: n.Random,
		Log: n.logger("news"), Metrics: n.Metrics,
	}
}

// assembleRollouts creates the component for rollouts if the settings allow them.
func (n *Node) assembleRollouts() {
	if n.Settings.Canary.Share <= 0 || n.States == nil {
		return
	}
	n.rollouts = &canary.Service{
		Self: n.Settings.VM, Settings: n.Settings.Canary,
		Gate:   &canary.Gate{Settings: n.Settings.Canary, VM: n.Settings.VM, Domain: n.Settings.Domain, Started: n.Clock.Now()},
		Orders: n.news.Rollouts, AsOf: n.news.AsOf, Directory: n.news.Directory, View: n.members.View, States: n.States, Peers: n.peers,
		Broadcast: n.members.Broadcast, Clock: n.Clock, Log: n.logger("canary"), Metrics: n.Metrics,
	}
}

func (n *Node) assembleServing(clients net.Listener) {
	guard := &relay.TargetGuard{
		Admission: &place.Admission{}, Names: n.Names, Directory: n.news.Directory, Clock: n.Clock, Log: n.logger("relay"), Metrics: n.Metrics,
	}
	n.Client.Guard = guard
	l := n.Settings.Limits
	var held, requests *wire.BufferBudget // Nil budgets have no limit.
	if l.HeldBytes > 0 {
		held = &wire.BufferBudget{Limit: l.HeldBytes}
		requests = &wire.BufferBudget{Limit: l.RequestBytes, Parent: held}
		n.Metrics.NewGauge("relay_held_bytes", func() float64 { return float64(held.Used()) })
	}
	n.Client.Buffers.Limit, n.Client.Buffers.Parent = l.ResponseBytes, held
	n.batch = &batch.Service{
		Self: n.Settings.VM, Config: n.news.Config, Directory: n.news.Directory, View: n.members.View,
		Runner: n.Runner, Admission: guard.Admission, Rollouts: n.rollouts, LearnSpeeds: n.Settings.PriorityAdmission, PriorityAdmission: n.Settings.PriorityAdmission, Peers: n.peers, Clock: n.Clock, Random: n.Random, Log: n.logger("batch"), Metrics: n.Metrics,
	}
	n.relay = &relay.Server{
		Listener: clients, Self: n.Settings.VM, Names: n.Names, Domain: n.Settings.Domain, Config: n.news.Config,
		Directory: n.news.Directory, View: n.members.View, Stages: n.batch, Client: n.Client, Guard: guard, Rollouts: n.rollouts,
		Bounds: n.bounds, Clock: n.Clock, Random: n.Random, Log: n.logger("relay"), Metrics: n.Metrics,
		RequestBodies:     wire.BufferBudget{Limit: l.RequestBodyBytes, Parent: requests},
		Requests:          requests,
		MaxConnections:    l.Connections,
		SocketBytes:       l.SocketBytes,
		PriorityAdmission: n.Settings.PriorityAdmission,
		ExpectedTime:      n.Settings.ExpectedTime,
		Levels:            n.batch.Levels,
		Outdated:          n.news.Outdated, OnEvidence: n.broadcastEvidence, OnTargetReport: n.broadcastTargetReport,
		OnTargetSpeed: n.broadcastTargetSpeed, OnTargetPace: n.members.Broadcast,
	}
	if n.Settings.MoveRuns {
		n.relay.Mover, n.relay.Replacer = n.Mover, n.rollouts
	}
	n.Client.Buffers.Reclaim = n.relay.ReclaimBuffers
	guard.OnLeaving = n.relay.ReportLeaving
}

func (n *Node) broadcastEvidence(e poison.Evidence) {
	n.members.Broadcast(relay.EvidenceAnnouncement(e))
}

func (n *Node) broadcastTargetReport(r relay.TargetReport) { n.members.Broadcast(r.Announcement()) }

func (n *Node) broadcastTargetSpeed(s relay.TargetSpeed) { n.members.Broadcast(s.Announcement()) }

func (n *Node) receiveAnnouncement(a member.Announcement) {
	if r, ok := relay.TargetReportFromAnnouncement(a); ok {
		n.relay.ObserveTargetReport(r)
	}
	if s, ok := relay.TargetSpeedFromAnnouncement(a); ok {
		n.relay.ObserveTargetSpeed(s)
	}
	if u, ok := relay.PaceFromAnnouncement(a); ok {
		n.relay.ObservePace(u)
	}
	if e, ok := relay.EvidenceFromAnnouncement(a); ok {
		n.relay.ObserveEvidence(e)
	}
	if order, phase, ok := canary.VerdictFromAnnouncement(a); ok {
		n.rollouts.ObserveVerdict(order, phase)
	}
}

func (n *Node) observeRevision(from member.VM, revision int64) {
	n.news.ObserveRevision(from.ID, revision)
}

// bounds returns the current limits on the total of all nodes of the fleet.
func (n *Node) bounds() relay.Bounds { return n.currentSettings().Bounds }

// peerAddress returns the address for peer calls to a VM, and false if the
// membership does not list the VM.
func (n *Node) peerAddress(vm string) (string, bool) {
	v, ok := n.members.View().Find(vm)
	return v.Address, ok
}

func (n *Node) logger(part string) *logrus.Entry { return n.Log.WithField("part", part) }
