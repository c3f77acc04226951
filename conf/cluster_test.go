package conf

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/ports"
	"bergamotworks/store"
)

const (
	peerDelay      = time.Millisecond
	reportInterval = 500 * time.Millisecond
)

// cluster is a set of nodes that share one store. Faults are injected for each
// node separately.
type cluster struct {
	t      testing.TB
	memory *store.Memory
	seed   uint64

	mutex           sync.Mutex
	nodes           map[string]*node
	disconnected    map[[2]string]bool // By the VMs of the caller and the called node.
	bytes           atomic.Int64
	reportsDisabled atomic.Bool // Nodes do not report their revisions.
	faults          map[string]*store.FaultInjector
	tasks           sync.WaitGroup
}

type node struct {
	*Service
	vm              string
	cluster         *cluster
	ctx             context.Context
	cancel          context.CancelFunc
	activeRevisions []int64 // Revisions in the order in which they became active.
}

func newCluster(t testing.TB) *cluster {
	return &cluster{
		t:            t,
		memory:       &store.Memory{},
		nodes:        map[string]*node{},
		disconnected: map[[2]string]bool{},
		faults:       map[string]*store.FaultInjector{},
	}
}

// faultsOf returns the faults injected between a VM and the store.
func (c *cluster) faultsOf(vm string) *store.FaultInjector {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.faults[vm] == nil {
		c.faults[vm] = &store.FaultInjector{Store: c.memory, Random: ports.NewSeededRandom(1)}
	}
	return c.faults[vm]
}

// newNode returns a node that is not running yet.
func newNode(c *cluster, vm string) *node {
	faults := c.faultsOf(vm)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.seed++
	n := &node{vm: vm, cluster: c}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.Service = &Service{
		Self:    vm,
		Store:   faults,
		Peers:   n,
		Members: n,
		Clock:   ports.SystemClock{},
		Random:  ports.NewSeededRandom(c.seed),
		Log:     discardLog(),
		Metrics: metrics.NewSet(),
	}
	return n
}

func (c *cluster) start(vm string) {
	n := newNode(c, vm)
	n.Subscribe(func(config note.Config) { n.activeRevisions = append(n.activeRevisions, config.Revision) })
	c.mutex.Lock()
	c.nodes[vm] = n
	c.mutex.Unlock()
	c.tasks.Go(n.run)
	c.tasks.Go(n.reportRevisions)
}

func (n *node) run() {
	if err := n.Run(n.ctx); err != nil {
		n.cluster.t.Error(err)
	}
}

// reportRevisions reports the active revision to all reachable peers, as the
// membership attributes do.
func (n *node) reportRevisions() {
	for n.ctx.Err() == nil {
		for _, vm := range n.Live() {
			if peer := n.cluster.reachable(n.vm, vm); peer != nil && !n.cluster.reportsDisabled.Load() {
				peer.ObserveRevision(n.vm, n.Current().Revision)
			}
		}
		select {
		case <-time.After(reportInterval):
		case <-n.ctx.Done():
		}
	}
}

func (c *cluster) stop(vm string) {
	c.mutex.Lock()
	n := c.nodes[vm]
	delete(c.nodes, vm)
	c.mutex.Unlock()
	n.cancel()
	if err := n.Close(); err != nil {
		c.t.Error(err)
	}
}

func (c *cluster) close() {
	for _, vm := range c.names() {
		c.stop(vm)
	}
	c.tasks.Wait()
}

func (c *cluster) names() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Sorted(maps.Keys(c.nodes))
}

// Live returns all VMs, including this one and isolated ones, like a stale
// membership view.
func (n *node) Live() []string { return n.cluster.names() }

func (c *cluster) reachable(from, to string) *node {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.disconnected[[2]string{from, to}] {
		return nil
	}
	return c.nodes[to]
}

// Call calls a method of a peer. A call over a disconnected link, or to a VM
// without a node, blocks until the context ends.
func (n *node) Call(ctx context.Context, vm, method string, params, result any) error {
	time.Sleep(peerDelay)
	if vm == n.vm {
		n.cluster.t.Errorf("%s calls itself", vm)
	}
	peer := n.cluster.reachable(n.vm, vm)
	if peer == nil {
		<-ctx.Done()
		return fault.From(ctx.Err())
	}
	request := encode(params)
	response, err := peer.serve(ctx, method, request)
	if err != nil {
		return err
	}
	n.cluster.bytes.Add(int64(len(request) + len(response)))
	time.Sleep(peerDelay)
	return json.Unmarshal(response, result)
}

func (n *node) serve(ctx context.Context, method string, request []byte) ([]byte, error) {
	switch method {
	case MethodFetch:
		return serveMethod(ctx, request, n.HandleFetch)
	case MethodAnnounce:
		return serveMethod(ctx, request, n.HandleAnnounce)
	}
	return nil, fmt.Errorf("unknown method %s", method)
}

func serveMethod[P, R any](ctx context.Context, request []byte, handle func(context.Context, P) (R, error)) ([]byte, error) {
	var params P
	if err := json.Unmarshal(request, &params); err != nil {
		return nil, err
	}
	result, err := handle(ctx, params)
	if err != nil {
		return nil, err
	}
	return encode(result), nil
}

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}
