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

// System is a deployment in one process. The exported fields are set before
// [System.Start].
type System struct {
	Note   note.Note // The first release note.
	Size   int       // Number of nodes.
	Policy pool.Policy
	// Listen and Admin are the first node's addresses; empty takes free ports.
	Listen string
	Admin  string
	// ReadyLimit bounds the wait for the nodes at the start; zero means 20 s.
	ReadyTimeout time.Duration
	Log          *logrus.Logger

	config  note.Config
	memory  *store.Memory
	faults  *store.FaultInjector
	server  *store.Server
	address string // Of the store.
	seeds   []string
	network ports.ReservedNetwork
	running sync.WaitGroup
	offers  atomic.Int64
	mutex   sync.Mutex // Guards nodes.
	nodes   []*nodeSlot
}

// nodeSlot is a node and its network.
type nodeSlot struct {
	node  *node.Node
	cut   *cut
	ended chan error
}

const (
	defaultReady  = 20 * time.Second
	readyInterval = 20 * time.Millisecond
	drainLimit    = 20 * time.Second
	storeCalls    = 100 // Calls per second of one node.
)

// Start starts the store and the nodes, and brings the note into force.
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
	s.memory = &store.Memory{Clock: ports.SystemClock{}}
	s.faults = &store.FaultInjector{Store: s.memory, Clock: ports.SystemClock{}, Random: ports.SystemRandom{}}
	s.server = &store.Server{Store: s.faults, Network: ports.SystemNetwork{}, Address: "127.0.0.1:0"}
	address, err := s.server.Listen()
	if err != nil {
		return err
	}
	s.address = address
	s.running.Add(1)
	go s.runStore()
	return nil
}

func (s *System) runStore() {
	defer s.running.Done()
	if err := s.server.Run(context.Background()); err != nil {
		s.Log.WithError(err).Warn("store stand-in ended")
	}
}

func (s *System) startNodes(ctx context.Context) error {
	if err := s.reserveSeeds(); err != nil {
		return err
	}
	s.nodes = make([]*nodeSlot, s.Size)
	for i := range s.Size {
		if err := s.startNode(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// startNode starts a node in the place of the one with the index.
func (s *System) startNode(ctx context.Context, index int) error {
	r := &nodeSlot{cut: &cut{Network: &s.network}, ended: make(chan error, 1)}
	r.node = &node.Node{
		Settings: s.settings(index),
		Store:    &store.Client{Network: r.cut, Addresses: []string{s.address}},
		Network:  r.cut,
		Clock:    ports.SystemClock{},
		Random:   ports.SystemRandom{},
		Log:      logrus.NewEntry(s.Log),
	}
	s.running.Add(1)
	go r.run(&s.running)
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
func (r *nodeSlot) run(done *sync.WaitGroup) {
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
		Seeds: s.seeds, DrainLimit: drainLimit, Policy: s.Policy, StoreCalls: storeCalls,
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

// awaitReady waits until every node takes work and knows all others.
func (s *System) awaitReady(ctx context.Context) error {
	limit := cmp.Or(s.ReadyTimeout, defaultReady)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !s.ready() {
		select {
		case <-ctx.Done():
			return fault.New(fault.Unavailable, fault.NotRun, "the nodes did not become ready within %s", limit)
		case <-time.After(readyInterval):
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

// Node returns the node with the index.
func (s *System) Node(index int) *node.Node {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.nodes[index].node
}

// Nodes returns the number of nodes, those that are down included.
func (s *System) Nodes() int { return s.Size }

// Config returns the newest configuration in force on any node.
func (s *System) Config() note.Config {
	newest := s.config
	for i := range s.Size {
		if c := s.Node(i).Notes().Current(); c.Revision > newest.Revision {
			newest = c
		}
	}
	return newest
}

// StoreCounts returns the calls that the store has received, by kind.
func (s *System) StoreCounts() map[store.Call]int64 { return s.memory.Counts() }

// Addresses returns the callers' addresses of the nodes that are ready.
func (s *System) Addresses() []string {
	var addresses []string
	for i := range s.Size {
		if n := s.Node(i); n.Ready() == nil {
			addresses = append(addresses, n.Address())
		}
	}
	return addresses
}

// RouteAddresses returns the nodes' addresses for opaque routes.
func (s *System) RouteAddresses() []string {
	var addresses []string
	for i := range s.Size {
		addresses = append(addresses, s.Node(i).RoutesAddress())
	}
	return addresses
}

// AdminAddresses returns the operators' addresses of all nodes.
func (s *System) AdminAddresses() []string {
	addresses := make([]string, s.Size)
	for i := range addresses {
		addresses[i] = s.Node(i).AdminAddress()
	}
	return addresses
}

// KillNode ends a node at once: its sockets close and nothing is said.
func (s *System) KillNode(index int) error {
	s.mutex.Lock()
	r := s.nodes[index]
	s.mutex.Unlock()
	r.cut.closeAll()
	return r.node.Close()
}

// StopNode stops a node in order and waits for its end.
func (s *System) StopNode(index int) error {
	return s.Node(index).Stop(context.Background())
}

// RestartNode starts a new node in the place of one that has ended.
func (s *System) RestartNode(index int) error {
	return s.startNode(context.Background(), index)
}

// Submit offers a release note to the nodes that run, each offer beginning at
// another one, until one of them decides.
func (s *System) Submit(ctx context.Context, change note.Note) error {
	turn := int(s.offers.Add(1))
	err := error(fault.New(fault.Unavailable, fault.NotRun, "no node runs"))
	for i := range s.Size {
		n := s.Node((turn + i) % s.Size)
		if n.Stopping() {
			continue
		}
		_, err = n.Notes().Submit(ctx, change)
		if err == nil || fault.From(err).Kind == fault.Conflict {
			return err
		}
	}
	return err
}

const (
	slowStoreMS     = 200 // Delay of a call to a slow store.
	lostAnswerShare = 0.3
)

// SetStore changes the state of the store.
func (s *System) SetStore(state trial.StoreFault) error {
	s.faults.Clear()
	switch state {
	case trial.StoreDown:
		s.faults.Add(store.Fault{Kind: store.FaultDown})
	case trial.StoreSlow:
		s.faults.Add(store.Fault{Kind: store.FaultSlow, DelayMS: slowStoreMS})
	case trial.StoreLosesResponses:
		s.faults.Add(store.Fault{Kind: store.FaultResponseLost, Probability: lostAnswerShare})
	case trial.StoreHealthy:
	}
	return nil
}

// ReportedCost returns the target-seconds and tokens that the running nodes have
// accounted for. What a killed node had counted is lost.
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

// Close ends everything and waits for it.
func (s *System) Close() error {
	for _, r := range s.nodes {
		if r != nil {
			_ = r.node.Close()
		}
	}
	if s.server != nil {
		_ = s.server.Close()
	}
	s.running.Wait()
	return trace.Wrap(s.network.Close())
}

// reserveSeeds chooses the nodes' membership addresses.
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
