package fleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"bergamotworks/platform"
	"bergamotworks/ports"
	"bergamotworks/relay"
	"bergamotworks/serve"
	"bergamotworks/wire"
)

// The ports of each node.
const (
	clientPort = 8080
	readyPort  = 8081
	peerPort   = 7071
)

// seedsPerDay keeps the seeds of the processes of different days apart.
const seedsPerDay = 1000

const (
	nodeStopTime   = 4 * time.Second
	nodeDrainDelay = 500 * time.Millisecond
)

// node is one machine, whose process may end and start again.
type node struct {
	world  *World
	number int
	ip     string

	mutex   sync.Mutex
	process *process // Nil while none runs.
	// accepting means that the balancer sends new requests to the node.
	accepting bool
}

// process is one run of a node's program.
type process struct {
	node    *node
	host    *Host
	serve   *serve.Node
	seeds   *platform.Seeds
	context context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
	ending  bool // It was told to end, or killed.
	err     error
}

func (n *node) clientAddress() string { return n.address(clientPort) }

func (n *node) address(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

func (n *node) domain() string { return fmt.Sprintf("z%d", n.number%domainCount) }

// start starts the program of the node.
func (n *node) start() {
	w := n.world
	log := logrus.New()
	log.SetOutput(io.Discard)
	if w.logTo != nil {
		log.SetOutput(w.logTo)
		log.SetLevel(logrus.InfoLevel)
	}
	entry := logrus.NewEntry(log).WithField("vm", n.name())
	p := &process{node: n, host: w.network.Host(n.ip)}
	p.context, p.cancel = context.WithCancel(context.Background())
	client := &wire.Client{Network: p.host, Clock: ports.SystemClock{}}
	store := &platform.Store{Client: client, Address: storeAddress}
	p.seeds = &platform.Seeds{
		Store: store, VM: n.name(), GossipAddress: n.address(peerPort), Configured: w.gossipAddresses(), Clock: ports.SystemClock{}, Log: entry,
	}
	p.serve = &serve.Node{
		Settings: serve.Settings{
			VM: n.name(), Domain: n.domain(), Region: "r", Listen: n.address(clientPort), ReadyListen: n.address(readyPort),
			PeerListen: n.address(peerPort), GossipListen: n.address(peerPort), ShutdownTimeout: nodeStopTime, DrainDelay: nodeDrainDelay,
			Bounds: relay.Bounds{RetryRatio: 0.2, RetrySlack: 40, RetryWindow: 10 * time.Second, ColdFactor: 1},
		},
		Source: &platform.Source{Store: store, Clock: ports.SystemClock{}, Log: entry},
		Seeds:  p.seeds, Runner: &platform.Runner{Client: client}, Client: client, Names: platform.HeaderNames(),
		Network: p.host, Clock: ports.SystemClock{}, Random: ports.NewSeededRandom(w.day.Seed*seedsPerDay + w.starts.Add(1)),
		Log: entry, Metrics: metrics.NewSet(),
	}
	n.mutex.Lock()
	n.process = p
	n.mutex.Unlock()
	p.done.Add(3)
	go p.run()
	go p.runSeeds()
	go p.runBalancer()
}

func (n *node) name() string { return fmt.Sprintf("vm-%03d", n.number) }

func (p *process) run() {
	defer p.done.Done()
	err := p.serve.Run(p.context)
	p.node.mutex.Lock()
	defer p.node.mutex.Unlock()
	p.err = err
	if !p.ending {
		p.node.world.report("process_ended", "%s ended by itself: %v", p.node.name(), err)
	}
}

func (p *process) runSeeds() {
	defer p.done.Done()
	_ = p.seeds.Run(p.context) // It returns nil.
}

// take returns the process of the node, which is told to end, nil if none runs.
func (n *node) take() *process {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	p := n.process
	if p == nil || p.ending {
		return nil
	}
	p.ending = true
	return p
}

// kill ends the process of the node at once.
func (n *node) kill() {
	p := n.take()
	if p == nil {
		return
	}
	p.host.End()
	p.cancel()
	_ = p.serve.Stop(p.context) // It closes what the ended process has left.
	p.done.Wait()
	n.ended()
}

// stop shuts the node down as planned.
func (n *node) stop() {
	p := n.take()
	if p == nil {
		return
	}
	if err := p.serve.Stop(context.Background()); err != nil {
		n.world.report("process_ended", "%s stops with an error: %s", n.name(), err)
	}
	p.cancel()
	p.done.Wait()
	p.host.End()
	n.ended()
}

func (n *node) ended() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.process, n.accepting = nil, false
}

// runBalancer asks the process whether it is ready, as a balancer does, until it ends.
func (p *process) runBalancer() {
	defer p.done.Done()
	balancer := p.node.world.network.Host(balancerIP)
	for p.context.Err() == nil {
		ready := p.askReady(balancer)
		p.node.mutex.Lock()
		p.node.accepting = ready && p.node.process == p
		p.node.mutex.Unlock()
		time.Sleep(balancerInterval)
	}
}

const (
	balancerIP       = "10.3.0.1"
	balancerInterval = 400 * time.Millisecond
	balancerTimeout  = 1 * time.Second
)

// askReady reports whether the node says that it is ready.
func (p *process) askReady(balancer *Host) bool {
	ctx, cancel := context.WithTimeout(p.context, balancerTimeout)
	defer cancel()
	c, err := balancer.Dial(ctx, p.node.address(readyPort))
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }() // It never fails.
	_ = c.SetDeadline(time.Now().Add(balancerTimeout))
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n"); err != nil {
		return false
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	return r.Body.Close() == nil && r.StatusCode == http.StatusOK
}

// ready reports whether the balancer sends requests to the node.
func (n *node) ready() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.process != nil && n.accepting
}
