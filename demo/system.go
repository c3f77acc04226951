package demo

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"bergamotworks/emul"
	"bergamotworks/fault"
	"bergamotworks/node"
	"bergamotworks/note"
	"bergamotworks/pool"
	"bergamotworks/ports"
	"bergamotworks/store"
)

// System is a deployment in one process. The exported fields are set before
// [System.Start].
type System struct {
	Deployment string // Name of a shipped release note.
	Nodes      int
	Policy     pool.Policy
	// Listen and Admin are the first node's addresses; empty takes free ports.
	Listen string
	Admin  string
	// Placed is a configuration whose targets already listen. If it is set, no
	// stand-ins are started and Deployment is not used.
	Placed *note.Config
	// Warm says that targets start warm.
	Warm bool
	Log  *logrus.Logger

	config  note.Config
	memory  *store.Memory
	faults  *store.Faults
	server  *store.Server
	address string // Of the store.
	targets *emul.Fleet
	seeds   []string
	running sync.WaitGroup
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
	readyLimit    = 20 * time.Second
	readyInterval = 20 * time.Millisecond
	drainLimit    = 20 * time.Second
	storeCalls    = 100 // Calls per second of one node.
)

// Start starts the store, the targets and the nodes, and brings the shipped
// release note into force with the addresses of the stand-ins.
func (s *System) Start(ctx context.Context) error {
	first, err := s.first()
	if err != nil {
		return err
	}
	if err := s.startStore(); err != nil {
		return err
	}
	if err := s.startNodes(ctx); err != nil {
		return err
	}
	if _, err := s.Node(0).Notes().Offer(ctx, first); err != nil {
		return err
	}
	return s.awaitReady(ctx)
}

// first returns the first release note. Its targets listen.
func (s *System) first() (note.Note, error) {
	if s.Placed != nil {
		s.config = *s.Placed
		return note.Note{ID: "placed-1", Added: s.config.Sections}, nil
	}
	shipped, err := note.Shipped(s.Deployment)
	if err != nil {
		return note.Note{}, err
	}
	return shipped, s.startTargets(&shipped)
}

func (s *System) startStore() error {
	s.memory = &store.Memory{Clock: ports.SystemClock{}}
	s.faults = &store.Faults{Store: s.memory, Clock: ports.SystemClock{}, Random: ports.SystemRandom{}}
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

func (s *System) startTargets(shipped *note.Note) error {
	config, err := note.Apply(note.Config{}, *shipped)
	if err != nil {
		return err
	}
	s.targets = &emul.Fleet{Config: config, Network: ports.SystemNetwork{}, Clock: ports.SystemClock{}, Warm: s.Warm}
	s.config, err = s.targets.Start()
	if err != nil {
		return trace.Wrap(err)
	}
	shipped.Added.Targets = s.config.Sections.Targets
	return nil
}

func (s *System) startNodes(ctx context.Context) error {
	seeds, err := freeDatagramAddresses(s.Nodes)
	if err != nil {
		return err
	}
	s.seeds = seeds
	s.nodes = make([]*nodeSlot, s.Nodes)
	for i := range s.Nodes {
		if err := s.startNode(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// startNode starts a node in the place of the one with the index.
func (s *System) startNode(ctx context.Context, index int) error {
	r := &nodeSlot{cut: &cut{Network: ports.SystemNetwork{}}, ended: make(chan error, 1)}
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
		Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Peer: "127.0.0.1:0", Gossip: s.seeds[index],
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
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for !s.ready() {
		select {
		case <-ctx.Done():
			return fault.New(fault.Unavailable, fault.NotRun, "the nodes did not become ready within %s", readyLimit)
		case <-time.After(readyInterval):
		}
	}
	return nil
}

func (s *System) ready() bool {
	for i := range s.Nodes {
		if !s.Node(i).Joined(s.Nodes) {
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

// Config returns the configuration that the system started with.
func (s *System) Config() note.Config { return s.config }

// Targets returns the stand-ins of the targets.
func (s *System) Targets() *emul.Fleet { return s.targets }

// Store returns the faults of the store.
func (s *System) Store() *store.Faults { return s.faults }

// StoreCounts returns the calls that the store has received, by kind.
func (s *System) StoreCounts() map[store.Call]int64 { return s.memory.Counts() }

// Addresses returns the callers' addresses of all nodes.
func (s *System) Addresses() []string {
	addresses := make([]string, s.Nodes)
	for i := range addresses {
		addresses[i] = s.Node(i).Address()
	}
	return addresses
}

// AdminAddresses returns the operators' addresses of all nodes.
func (s *System) AdminAddresses() []string {
	addresses := make([]string, s.Nodes)
	for i := range addresses {
		addresses[i] = s.Node(i).AdminAddress()
	}
	return addresses
}

// KillNode ends a node at once: its sockets close and nothing is said.
func (s *System) KillNode(index int) {
	s.mutex.Lock()
	r := s.nodes[index]
	s.mutex.Unlock()
	r.cut.closeAll()
	_ = r.node.Close()
}

// StopNode stops a node in order.
func (s *System) StopNode(ctx context.Context, index int) error {
	return s.Node(index).Stop(ctx)
}

// RestartNode starts a new node in the place of one that has ended.
func (s *System) RestartNode(ctx context.Context, index int) error {
	return s.startNode(ctx, index)
}

// SetDomain offers a release note that sets the state of a failure domain. It
// goes to the first node that accepts it.
func (s *System) SetDomain(ctx context.Context, name string, state note.State) error {
	var err error
	for i := range s.Nodes {
		if err = s.setDomain(ctx, s.Node(i), name, state); err == nil {
			return nil
		}
	}
	return err
}

func (s *System) setDomain(ctx context.Context, n *node.Node, name string, state note.State) error {
	config := n.Notes().Current()
	domain, ok := config.Sections.Domains[name]
	if !ok {
		return fault.BadField("domain", "no failure domain %q", name)
	}
	domain.State = state
	_, err := n.Notes().Offer(ctx, note.Note{
		ID:           fmt.Sprintf("domain-%s-%s", name, uuid.NewString()),
		BaseRevision: config.Revision,
		Changed:      note.Sections{Domains: map[string]note.FailureDomain{name: domain}},
	})
	return err
}

// Close ends everything and waits for it.
func (s *System) Close() error {
	for _, r := range s.nodes {
		if r != nil {
			_ = r.node.Close()
		}
	}
	if s.targets != nil {
		_ = s.targets.Close()
	}
	if s.server != nil {
		_ = s.server.Close()
	}
	s.running.Wait()
	return nil
}

// freeDatagramAddresses returns loopback addresses that were free a moment ago.
func freeDatagramAddresses(count int) ([]string, error) {
	addresses := make([]string, count)
	for i := range addresses {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return nil, trace.Wrap(err)
		}
		defer func() { _ = conn.Close() }()
		addresses[i] = conn.LocalAddr().String()
	}
	return addresses, nil
}
