package demo

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/node"
	"bergamotworks/note"
	"bergamotworks/pool"
	"bergamotworks/ports"
	"bergamotworks/store"
	"bergamotworks/trial"
)

// System is a deployment in one process. Exported fields must be set before
// [System.Start].
type System struct {
	Note   note.Note // Initial release note.
	Size   int       // Number of nodes.
	Policy pool.Policy
	// Listen and Admin are the first node's addresses; empty means free ports.
	Listen string
	Admin  string
	// ReadyTimeout bounds the wait for the nodes at startup; zero means 20 s.
	ReadyTimeout time.Duration
	Log          *logrus.Logger

	config       note.Config
	memoryStore  *store.Memory
	faults       *store.FaultInjector
	server       *store.Server
	storeAddress string // Of the store stand-in.
	seeds        []string
	network      ports.ReservedNetwork
	goroutines   sync.WaitGroup
	submissions  atomic.Int64
	mutex        sync.Mutex // Guards nodes.
	nodes        []*nodeRun
}

// nodeRun is a running node with its network.
type nodeRun struct {
	node    *node.Node
	network *nodeNetwork
	ended   chan error
}

const (
	defaultReadyTimeout = 20 * time.Second
	readyPollInterval   = 20 * time.Millisecond
	drainTimeout        = 20 * time.Second
	storeCallRate       = 100 // Calls per second of one node.
)

// Start starts the store and the nodes, submits the release note and waits until
// the nodes are ready.
func (s *System) Start(ctx context.Context) error {
	config, err := note.Apply(note.Config{}, s.Note)
	if err != nil {
		return err
	}
	s.config = config
	if err := s.startStore(); err != nil {
		return err
	}
	if err := s.startNodes(ctx); err != nil {
		return err
	}
	if err := s.Submit(ctx, s.Note); err != nil {
		return err
	}
	return s.awaitReady(ctx)
}

func (s *System) startStore() error {
	s.memoryStore = &store.Memory{Clock: ports.SystemClock{}}
	s.faults = &store.FaultInjector{Store: s.memoryStore, Clock: ports.SystemClock{}, Random: ports.SystemRandom{}}
	s.server = &store.Server{Store: s.faults, Network: ports.SystemNetwork{}, Address: "127.0.0.1:0"}
	address, err := s.server.Listen()
	if err != nil {
		return err
	}
	s.storeAddress = address
	s.goroutines.Add(1)
	go s.runStore()
	return nil
}

func (s *System) runStore() {
	defer s.goroutines.Done()
	if err := s.server.Run(context.Background()); err != nil {
		s.Log.WithError(err).Warn("store stand-in stopped")
	}
}

func (s *System) startNodes(ctx context.Context) error {
	if err := s.reserveSeeds(); err != nil {
		return err
	}
	s.nodes = make([]*nodeRun, s.Size)
	for i := range s.Size {
		if err := s.startNode(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// startNode starts a new node at the given index and waits until it has started.
func (s *System) startNode(ctx context.Context, index int) error {
	r := &nodeRun{network: &nodeNetwork{Network: &s.network}, ended: make(chan error, 1)}
	r.node = &node.Node{
		Settings: s.settings(index),
		Store:    &store.Client{Network: r.network, Addresses: []string{s.storeAddress}},
		Network:  r.network,
		Clock:    ports.SystemClock{},
		Random:   ports.SystemRandom{},
		Log:      logrus.NewEntry(s.Log),
	}
	s.goroutines.Add(1)
	go r.run(&s.goroutines)
	select {
	case <-r.node.Started():
	case err := <-r.ended:
		return trace.Wrap(err)
	case <-ctx.Done():
		return ctx.Err()
	}
	s.mutex.Lock()
	s.nodes[index] = r
	s.mutex.Unlock()
	return nil
}

// run runs the node until it is stopped.
func (r *nodeRun) run(done *sync.WaitGroup) {
	defer done.Done()
	r.ended <- r.node.Run(context.Background())
}

func (s *System) settings(index int) node.Settings {
	domains := s.domains()
	domain := domains[index%len(domains)]
	settings := node.Settings{
		VM:     "vm-" + strconv.Itoa(index+1),
		Domain: domain,
		Region: s.config.Sections.Domains[domain].Region,
		Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Peer: "127.0.0.1:0", Gossip: s.seeds[index], Routes: "127.0.0.1:0",
		Seeds: s.seeds, DrainTimeout: drainTimeout, Policy: s.Policy, StoreCalls: storeCallRate,
	}
	if settings.Region == "" {
		settings.Region = "default"
	}
	if index == 0 && s.Listen != "" {
		settings.Listen = s.Listen
	}
	if index == 0 && s.Admin != "" {
		settings.Admin = s.Admin
	}
	return settings
}

func (s *System) domains() []string {
	var names []string
	for n := range s.config.Sections.Domains {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// awaitReady waits until every node is ready and has all others as ready members.
func (s *System) awaitReady(ctx context.Context) error {
	timeout := cmp.Or(s.ReadyTimeout, defaultReadyTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !s.ready() {
		select {
		case <-ctx.Done():
			return fault.New(fault.Unavailable, fault.NotRun, "the nodes did not become ready within %s", timeout)
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

func (s *System) ready() bool {
	for i := range s.Size {
		if !s.Node(i).Joined(s.Size) {
			return false
		}
	}
	return true
}

// Node returns the node at the index.
func (s *System) Node(index int) *node.Node {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.nodes[index].node
}

// Nodes returns the number of nodes, including those that are down.
func (s *System) Nodes() int { return s.Size }

// Config returns the newest configuration that is active on any node.
func (s *System) Config() note.Config {
	newest := s.config
	for i := range s.Size {
		if c := s.Node(i).Configuration().Current(); c.Revision > newest.Revision {
			newest = c
		}
	}
	return newest
}

// StoreCounts returns the number of calls that the store has received, by kind.
func (s *System) StoreCounts() map[store.CallKind]int64 { return s.memoryStore.Counts() }

// Addresses returns the client addresses of the nodes that are ready.
func (s *System) Addresses() []string {
	var addresses []string
	for i := range s.Size {
		if n := s.Node(i); n.Ready() == nil {
			addresses = append(addresses, n.Address())
		}
	}
	return addresses
}

// RouteAddresses returns the client addresses of all nodes for opaque routes.
func (s *System) RouteAddresses() []string {
	var addresses []string
	for i := range s.Size {
		addresses = append(addresses, s.Node(i).RoutesAddress())
	}
	return addresses
}

// AdminAddresses returns the admin addresses of all nodes.
func (s *System) AdminAddresses() []string {
	addresses := make([]string, s.Size)
	for i := range addresses {
		addresses[i] = s.Node(i).AdminAddress()
	}
	return addresses
}

// KillNode ends a node as a crash of its VM would: it closes the node's sockets at
// once, so that the node cannot announce its end.
func (s *System) KillNode(index int) error {
	s.mutex.Lock()
	r := s.nodes[index]
	s.mutex.Unlock()
	r.network.closeAll()
	return r.node.Close()
}

// StopNode shuts a node down gracefully and waits for its end.
func (s *System) StopNode(index int) error {
	return s.Node(index).Stop(context.Background())
}

// RestartNode starts a new node in place of one that has ended. The settings are
// the same, but a port that the system assigns may change.
func (s *System) RestartNode(index int) error {
	return s.startNode(context.Background(), index)
}

// Submit submits a release note to the running nodes, one after the other, until
// one accepts it or rejects it with a conflict. Each call starts with the next node.
func (s *System) Submit(ctx context.Context, change note.Note) error {
	first := int(s.submissions.Add(1))
	err := error(fault.New(fault.Unavailable, fault.NotRun, "no node runs"))
	for i := range s.Size {
		n := s.Node((first + i) % s.Size)
		if n.Stopping() {
			continue
		}
		_, err = n.Configuration().Submit(ctx, change)
		if err == nil || fault.From(err).Kind == fault.Conflict {
			return err
		}
	}
	return err
}

const (
	slowStoreDelayMS        = 200 // Delay of each call to a slow store.
	lostResponseProbability = 0.3
)

// SetStore replaces the injected fault of the store; trial.StoreHealthy ends it.
func (s *System) SetStore(state trial.StoreFault) error {
	s.faults.Clear()
	switch state {
	case trial.StoreDown:
		s.faults.Add(store.Fault{Kind: store.FaultDown})
	case trial.StoreSlow:
		s.faults.Add(store.Fault{Kind: store.FaultSlow, DelayMS: slowStoreDelayMS})
	case trial.StoreLosesResponses:
		s.faults.Add(store.Fault{Kind: store.FaultResponseLost, Probability: lostResponseProbability})
	case trial.StoreHealthy:
	}
	return nil
}

// ReportedCost returns the target-seconds and tokens that the nodes have
// accounted for. The counts of a node are lost when RestartNode replaces it.
func (s *System) ReportedCost() (targetSeconds float64, tokens int, err error) {
	for i := range s.Size {
		state, err := s.Node(i).Burn()
		if err != nil {
			return 0, 0, err
		}
		for _, c := range state.Snapshot.Costs {
			targetSeconds += c.TargetSeconds
			tokens += int(c.Tokens)
		}
	}
	return targetSeconds, tokens, nil
}

// Close stops the nodes and the store and waits for their goroutines.
func (s *System) Close() error {
	for _, r := range s.nodes {
		if r != nil {
			_ = r.node.Close()
		}
	}
	if s.server != nil {
		_ = s.server.Close()
	}
	s.goroutines.Wait()
	return trace.Wrap(s.network.Close())
}

// reserveSeeds reserves the membership addresses of the nodes.
func (s *System) reserveSeeds() error {
	s.seeds = make([]string, s.Size)
	for i := range s.seeds {
		address, err := s.network.ReservePacket()
		if err != nil {
			return err
		}
		s.seeds[i] = address
	}
	return nil
}
