package node

import (
	"crypto/tls"
	"net"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"bergamotworks/admin"
	"bergamotworks/certs"
	"bergamotworks/conf"
	"bergamotworks/engine"
	"bergamotworks/entry"
	"bergamotworks/flow"
	"bergamotworks/ledger"
	"bergamotworks/member"
	"bergamotworks/note"
	"bergamotworks/order"
	"bergamotworks/owner"
	"bergamotworks/peer"
	"bergamotworks/pool"
	"bergamotworks/ports"
	"bergamotworks/store"
)

func (n *Node) assemble() error {
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	budget := &store.Budget{Store: n.Store, Clock: n.Clock, Metrics: n.metrics, CallsPerSecond: n.Settings.StoreCalls}
	n.monitored = &monitoredStore{Store: budget, clock: n.Clock}
	n.assemblePeers(listeners.peer)
	n.assembleState()
	n.assembleRollouts()
	n.assembleWork()
	n.assembleOrders()
	n.assembleServers(listeners)
	n.assembleRoutes(listeners.routes)
	n.registerHandlers()
	return nil
}

// listeners are the open sockets of a node.
type listeners struct {
	client, admin, peer, routes net.Listener // routes may be nil.
}

func (n *Node) listen() (listeners, error) {
	var l listeners
	var err error
	if l.client, err = n.open(n.Settings.Listen); err != nil {
		return l, err
	}
	if l.admin, err = n.open(n.Settings.Admin); err != nil {
		return l, err
	}
	if l.peer, err = n.open(n.Settings.Peer); err != nil {
		return l, err
	}
	if n.Settings.Routes == "" {
		return n.wrapTLS(l)
	}
	if l.routes, err = n.open(n.Settings.Routes); err != nil {
		return l, err
	}
	return n.wrapTLS(l)
}

func (n *Node) open(address string) (net.Listener, error) {
	l, err := ports.ListenRetrying(n.Network, address, n.Clock, n.Log)
	return l, trace.Wrap(err)
}

// wrapTLS enables TLS on the client, admin and routes listeners if a
// certificate is configured.
func (n *Node) wrapTLS(l listeners) (listeners, error) {
	if n.Settings.TLSCert == "" {
		return l, nil
	}
	loader := &certs.Loader{CertFile: n.Settings.TLSCert, KeyFile: n.Settings.TLSKey, Clock: n.Clock}
	if err := loader.Check(); err != nil {
		return l, err
	}
	l.client = tls.NewListener(l.client, loader.Config())
	l.admin = tls.NewListener(l.admin, loader.Config())
	if l.routes != nil {
		l.routes = tls.NewListener(l.routes, loader.Config())
	}
	return l, nil
}

func (n *Node) assemblePeers(listener net.Listener) {
	n.peers = &peer.Mesh{
		Self: n.Settings.VM, Listener: listener, Network: n.Network, Clock: n.Clock,
		Log: n.logger("peer"), Metrics: n.metrics, Directory: n.peerAddress,
	}
	n.members = &member.Service{
		Self: member.VM{
			ID: n.Settings.VM, Address: listener.Addr().String(), GossipAddress: n.Settings.Gossip,
			Domain: n.Settings.Domain, Region: n.Settings.Region,
		},
		Seeds: member.SeedList(n.Settings.Seeds), Network: n.Network, Clock: n.Clock, Random: n.Random,
		Log: n.logger("member"), Metrics: n.metrics, OnAnnouncement: n.receiveAnnouncement,
	}
}

func (n *Node) peerAddress(vm string) (string, bool) {
	v, ok := n.members.View().Find(vm)
	return v.Address, ok
}

func (n *Node) assembleState() {
	n.conf = &conf.Service{
		Self: n.Settings.VM, Store: n.monitored, Peers: n.peers, Members: liveMembers{n.members}, Clock: n.Clock, Random: n.Random,
		Log: n.logger("conf"), Metrics: n.metrics,
	}
	n.ledger = &ledger.Service{
		VM: n.Settings.VM, Store: n.monitored, Peers: n.peers, Assignment: shardWriters{node: n}, Clock: n.Clock, Random: n.Random,
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
		Record: n.recordOutcome, Spread: n.broadcastCrash, Rollouts: n.rollouts.gate(), Directory: n.rollouts.currentDirectory,
	}
	if n.rollouts != nil {
		n.owner.Allows = n.rollouts.allows
	}
}

func (n *Node) assembleOrders() {
	n.orders = &order.Service{
		Self: n.Settings.VM + "/" + uuid.NewString(), Store: n.monitored, Engine: order.EngineClient{Client: n.engine},
		Clock: n.Clock, Random: n.Random, Log: n.logger("order"), Metrics: n.metrics,
		Config: n.conf.Current, Owns: n.owner.OwnsTarget,
	}
}

func (n *Node) assembleServers(l listeners) {
	n.entry = &entry.Server{
		Listener: l.client, Flow: n.flow, Config: n.conf.Current, Ready: n.Ready, Accepts: n.acceptsWork,
		KeyTime: ledger.KeyTime, Clock: n.Clock, Random: n.Random, Log: n.logger("entry"), Metrics: n.metrics,
	}
	n.admin = &admin.Server{
		Listener: l.admin, Notes: n.conf, History: n.conf, Orders: n.orders, Status: n.status, Rollouts: n.rollouts, Lagging: n.lagging, Burn: n.Burn, Ledger: n.lookupRecord, Ready: n.Ready,
		Log: n.logger("admin"), Metrics: n.metrics,
	}
}

// registerHandlers registers the methods that other nodes call and subscribes
// to changes of the membership and the configuration.
func (n *Node) registerHandlers() {
	n.peers.Register(flow.MethodServe, n.flow.HandleServe)
	n.peers.Register(owner.MethodExecute, n.owner.HandleExecute)
	n.peers.Register(owner.MethodHandover, peer.TypedHandler(n.owner.HandleHandover))
	n.peers.Register(ledger.MethodCreate, peer.TypedHandler(n.ledger.HandleCreate))
	n.peers.Register(ledger.MethodComplete, peer.TypedHandler(n.ledger.HandleComplete))
	n.peers.Register(ledger.MethodWithdraw, peer.TypedHandler(n.ledger.HandleWithdraw))
	n.peers.Register(ledger.MethodLookup, peer.TypedHandler(n.ledger.HandleLookup))
	n.peers.Register(conf.MethodFetch, peer.TypedHandler(n.conf.HandleFetch))
	n.peers.Register(conf.MethodAnnounce, peer.TypedHandler(n.conf.HandleAnnounce))
	n.peers.Register(methodRevision, peer.TypedHandler(n.handleRevision))
	n.members.Subscribe(n.membersChanged)
	n.conf.Subscribe(n.configChanged)
}
