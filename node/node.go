package node

import (
	"context"
	"crypto/tls"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"bergamotworks/admin"
	"bergamotworks/burn"
	"bergamotworks/certs"
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
	"bergamotworks/poison"
	"bergamotworks/pool"
	"bergamotworks/ports"
	"bergamotworks/store"
)

// Node is one process of the system. The exported fields are set before
// [Node.Run].
type Node struct {
	Settings Settings
	Store    ports.Store
	Network  ports.Network
	Clock    ports.Clock
	Random   ports.Random
	Log      *logrus.Entry

	once     sync.Once
	started  chan struct{} // Closed once the node listens.
	reach    *reach
	metrics  *metrics.Set
	peers    *peer.Mesh
	members  *member.Service
	conf     *conf.Service
	ledger   *ledger.Service
	engine   *engine.Client
	owner    *owner.Service
	flow     *flow.Service
	orders   *order.Service
	burns    burn.Recorder
	changes  changeLog
	entry    *entry.Server
	admin    *admin.Server
	stopping atomic.Bool
	cancel   context.CancelFunc
	finished chan struct{}
}

const attributesInterval = 100 * time.Millisecond

func (n *Node) init() {
	n.started = make(chan struct{})
	n.finished = make(chan struct{})
	n.metrics = metrics.NewSet()
}

// Run runs the node until the context ends, which stops it at once, or until
// [Node.Stop] has stopped it in order.
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
	parts := []interface {
		Run(ctx context.Context) error
	}{
		n.peers, n.members, n.conf, n.ledger, n.owner, n.flow, n.orders, n.entry, n.admin,
	}
	for _, p := range parts {
		group.Go(func() error { return p.Run(ctx) })
	}
	group.Go(func() error { return n.loop(ctx) })
	close(n.started)
	n.Log.WithFields(logrus.Fields{"listen": n.Address(), "admin": n.AdminAddress()}).Info("node started")
	err := group.Wait()
	n.closeParts()
	return trace.Wrap(err)
}

// closeParts waits for what the parts have started.
func (n *Node) closeParts() {
	_ = n.entry.Close()
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

// Started is closed once the node listens.
func (n *Node) Started() <-chan struct{} {
	n.once.Do(n.init)
	return n.started
}

// Address returns the callers' address.
func (n *Node) Address() string { return n.entry.Listener.Addr().String() }

// AdminAddress returns the operators' address.
func (n *Node) AdminAddress() string { return n.admin.Listener.Addr().String() }

// Metrics returns the node's metrics.
func (n *Node) Metrics() *metrics.Set { return n.metrics }

// Notes returns the part that accepts release notes.
func (n *Node) Notes() *conf.Service { return n.conf }

// Close stops the node at once and waits for its end. Requests are cut.
func (n *Node) Close() error {
	n.once.Do(n.init)
	n.stopping.Store(true)
	if n.cancel != nil {
		n.cancel()
		<-n.finished
	}
	return nil
}

// Ended reports whether the node has been told to stop.
func (n *Node) Ended() bool { return n.stopping.Load() }

// Ready returns nil if the node takes new work, else the reason why not.
func (n *Node) Ready() error {
	if n.stopping.Load() {
		return errNotReady("the node is stopping")
	}
	return n.accepts()
}

// accepts returns nil if new work may start. Unlike [Node.Ready] it stays nil
// while a planned stop waits for the balancer.
func (n *Node) accepts() error {
	if !n.conf.Ready() {
		return errNotReady("no configuration is in force")
	}
	if n.members.View().CutOff {
		return errNotReady("the node reaches neither the store nor any other node")
	}
	domain, known := n.conf.Current().Sections.Domains[n.Settings.Domain]
	if known && domain.State != note.InService {
		return errNotReady("failure domain " + n.Settings.Domain + " is out of service")
	}
	return nil
}

// loop tells the other members about this node and probes the store.
func (n *Node) loop(ctx context.Context) error {
	for {
		n.members.SetAttributes(n.attributes())
		n.learn()
		n.reach.probe(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-n.Clock.After(attributesInterval):
		}
	}
}

func (n *Node) attributes() member.Attributes {
	return member.Attributes{
		Revision:       n.conf.Current().Revision,
		Ready:          n.accepts() == nil,
		StoreReachable: n.reach.reachable(),
	}
}

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
	steps := []func(context.Context) error{n.members.Leave, n.entry.Drain, n.flow.Drain, n.owner.Drain, n.ledger.Flush}
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

func (n *Node) assemble() error {
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	budget := &store.Budget{Store: n.Store, Clock: n.Clock, Metrics: n.metrics, CallsPerSecond: n.Settings.StoreCalls}
	n.reach = &reach{Store: budget, clock: n.Clock}
	n.assemblePeers(listeners.peer)
	n.assembleState()
	n.assembleWork()
	n.assembleOrders()
	n.assembleServers(listeners)
	n.connect()
	return nil
}

// listeners are the open sockets of a node.
type listeners struct {
	callers, admin, peer net.Listener
}

func (n *Node) listen() (listeners, error) {
	var l listeners
	var err error
	if l.callers, err = n.Network.Listen(n.Settings.Listen); err != nil {
		return l, trace.Wrap(err)
	}
	if l.admin, err = n.Network.Listen(n.Settings.Admin); err != nil {
		return l, trace.Wrap(err)
	}
	if l.peer, err = n.Network.Listen(n.Settings.Peer); err != nil {
		return l, trace.Wrap(err)
	}
	return n.protect(l)
}

// protect puts TLS before the callers' and operators' sides if it is set.
func (n *Node) protect(l listeners) (listeners, error) {
	if n.Settings.TLSCert == "" {
		return l, nil
	}
	loader := &certs.Loader{CertFile: n.Settings.TLSCert, KeyFile: n.Settings.TLSKey, Clock: n.Clock}
	if err := loader.Check(); err != nil {
		return l, err
	}
	l.callers = tls.NewListener(l.callers, loader.Config())
	l.admin = tls.NewListener(l.admin, loader.Config())
	return l, nil
}

func (n *Node) assemblePeers(listener net.Listener) {
	n.peers = &peer.Mesh{
		Self: n.Settings.VM, Listener: listener, Network: n.Network, Clock: n.Clock,
		Log: n.logger("peer"), Metrics: n.metrics, Directory: n.peerAddress,
	}
	n.members = &member.Service{
		Self: member.VM{
			ID: n.Settings.VM, Address: listener.Addr().String(), Gossip: n.Settings.Gossip,
			Domain: n.Settings.Domain, Region: n.Settings.Region,
		},
		Seeds: member.SeedList(n.Settings.Seeds), Network: n.Network, Clock: n.Clock, Random: n.Random,
		Log: n.logger("member"), Metrics: n.metrics, Rumors: n.hearRumor,
	}
}

func (n *Node) peerAddress(vm string) (string, bool) {
	v, ok := n.members.View().Find(vm)
	return v.Address, ok
}

func (n *Node) assembleState() {
	n.conf = &conf.Service{
		Self: n.Settings.VM, Store: n.reach, Peers: n.peers, Members: liveMembers{n.members}, Clock: n.Clock, Random: n.Random,
		Log: n.logger("conf"), Metrics: n.metrics,
	}
	n.ledger = &ledger.Service{
		VM: n.Settings.VM, Store: n.reach, Peers: n.peers, Owners: writers{node: n}, Clock: n.Clock, Random: n.Random,
		Log: n.logger("ledger"), Metrics: n.metrics, Limits: func() note.Limits { return n.conf.Current().Limits() },
	}
}

func (n *Node) assembleWork() {
	n.engine = &engine.Client{Network: n.Network, Clock: n.Clock, Log: n.logger("engine"), Metrics: n.metrics}
	n.owner = &owner.Service{
		Self: n.Settings.VM, Config: n.conf.Current, View: n.members.View, Engine: n.engine, Peers: n.peers,
		Policy: n.Settings.Policy, Clock: n.Clock, Log: n.logger("owner"), Metrics: n.metrics,
	}
	n.flow = &flow.Service{
		Self: n.Settings.VM, Config: n.conf.Current, View: n.members.View, Peers: n.peers, Owner: n.owner,
		Ledger: n.ledger, LocalPools: n.Settings.Policy != pool.Owned, Domain: n.Settings.Domain,
		Clock: n.Clock, Random: n.Random, Log: n.logger("flow"), Metrics: n.metrics,
		Record: n.record, Spread: n.spreadCrash,
	}
}

func (n *Node) assembleOrders() {
	n.orders = &order.Service{
		Self: n.Settings.VM + "/" + uuid.NewString(), Store: n.reach, Engine: order.EngineClient{Client: n.engine},
		Clock: n.Clock, Random: n.Random, Log: n.logger("order"), Metrics: n.metrics,
		Config: n.conf.Current, Owns: n.owner.OwnsTarget,
	}
}

func (n *Node) assembleServers(l listeners) {
	n.entry = &entry.Server{
		Listener: l.callers, Flow: n.flow, Config: n.conf.Current, Ready: n.Ready, Accepts: n.accepts,
		KeyTime: ledger.KeyTime, Clock: n.Clock, Random: n.Random, Log: n.logger("entry"), Metrics: n.metrics,
	}
	n.admin = &admin.Server{
		Listener: l.admin, Notes: n.conf, History: n.conf, Orders: n.orders, Status: n.status, Lagging: n.lagging, Burn: n.Burn, Ledger: n.lookup, Ready: n.Ready,
		Log: n.logger("admin"), Metrics: n.metrics,
	}
}

// connect joins the parts: messages between nodes, and changes of membership
// and configuration.
func (n *Node) connect() {
	n.peers.Register(flow.MethodServe, n.flow.HandleServe)
	n.peers.Register(owner.MethodExecute, n.owner.HandleExecute)
	n.peers.Register(owner.MethodHandover, peer.Typed(n.owner.HandleHandover))
	n.peers.Register(ledger.MethodCreate, peer.Typed(n.ledger.HandleCreate))
	n.peers.Register(ledger.MethodComplete, peer.Typed(n.ledger.HandleComplete))
	n.peers.Register(ledger.MethodWithdraw, peer.Typed(n.ledger.HandleWithdraw))
	n.peers.Register(ledger.MethodLookup, peer.Typed(n.ledger.HandleLookup))
	n.peers.Register(conf.MethodFetch, peer.Typed(n.conf.HandleFetch))
	n.peers.Register(conf.MethodAnnounce, peer.Typed(n.conf.HandleAnnounce))
	n.peers.Register(methodRevision, peer.Typed(n.handleRevision))
	n.members.Subscribe(n.membersChanged)
	n.conf.Subscribe(n.configChanged)
}

func (n *Node) membersChanged(member.View) {
	n.owner.Changed()
}

// learn tells the configuration which members have a newer revision in force.
func (n *Node) learn() {
	own := n.conf.Current().Revision
	for _, m := range n.members.View().Members() {
		if m.Attributes.Revision > own && m.State.Live() {
			n.conf.Learn(m.ID, m.Attributes.Revision)
		}
	}
}

// liveMembers names the live members for the configuration.
type liveMembers struct{ members *member.Service }

// Live returns the identifiers of the live VMs.
func (l liveMembers) Live() []string {
	var names []string
	for _, m := range l.members.View().Live() {
		names = append(names, m.ID)
	}
	return names
}

func (n *Node) configChanged(config note.Config) {
	n.flow.Configured(config)
	n.burns.Configure(config.Sections.Objectives)
	n.changes.add(n.Clock.Now(), config)
	n.owner.Changed()
	n.members.SetAttributes(n.attributes())
}

// rumorCrash is the kind of rumour that tells of crashes by a fingerprint.
const rumorCrash = "crash"

func (n *Node) spreadCrash(rumour poison.Rumour) {
	n.members.Broadcast(member.Rumor{
		Kind: rumorCrash, Key: rumour.Fingerprint, Value: int64(len(rumour.Crashes) - len(rumour.Cleared)), Until: rumour.Until,
	})
}

func (n *Node) hearRumor(rumor member.Rumor) {
	if rumor.Kind == rumorCrash {
		n.flow.ObserveCrashes(rumor.Key, int(rumor.Value), rumor.Until)
	}
}

// writers names the writer of each ledger shard.
type writers struct{ node *Node }

// Writer returns the VM that should write a shard, and whether it is this one.
func (w writers) Writer(shard int) (string, bool) {
	vm, ok := w.node.members.View().Owner("ledger/" + strconv.Itoa(shard))
	if !ok || vm.ID == w.node.Settings.VM {
		return w.node.Settings.VM, true
	}
	return vm.ID, false
}

func (n *Node) lookup(ctx context.Context, account, key, stage string) (any, error) {
	claim, err := n.ledger.Lookup(ctx, ledger.Key{Account: account, ID: key, Stage: stage})
	if err != nil {
		return nil, fault.From(err)
	}
	return admin.Record{
		Account: account, Key: key, Stage: stage, State: claim.State.String(), Token: claim.Token,
		Fingerprint: claim.Fingerprint, CreatedMS: claim.CreatedMS, Result: claim.Result,
	}, nil
}

func (n *Node) logger(part string) *logrus.Entry {
	return n.Log.WithFields(logrus.Fields{"vm": n.Settings.VM, "part": part})
}

// Joined reports whether the node is ready and knows as many ready members.
func (n *Node) Joined(members int) bool {
	view := n.members.View()
	if n.Ready() != nil || view.Doubt {
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
