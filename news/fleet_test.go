package news

import (
	"cmp"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/member"
	"bergamotworks/ports"
	"bergamotworks/site"
)

// Capacities of the two sizes of VMs.
const (
	smallMillicores = 200
	largeMillicores = 800
)

// readersEnv holds the fake store and the nodes.
type readersEnv struct {
	mutex         sync.Mutex
	started       time.Time
	nodes         map[string]*readersNode
	view          member.View
	revision      int64
	changed       time.Time
	pendingChange bool            // Some node has not applied the last change.
	rejected      map[string]bool // VMs whose calls the store rejects.
	startCalls    int             // Calls in the first five seconds.
	recentCalls   int             // Calls in the last five seconds of the case.
	recentFrom    time.Time
	configs       []time.Time   // Time of each change of the configuration, the first one included.
	configChanged chan struct{} // Closed and replaced at each change of the configuration.
	names         []string      // Of the nodes.
	random        ports.Random
	readers       []member.VM
	routes        int
	targets       int
	// linkBytesPerSecond is the bandwidth of each node's link; zero means that
	// transfers take no time.
	linkBytesPerSecond int
	impaired           map[string]string // Kind of impairment by VM.
	// unlisted are the targets whose entries the store does not hold now.
	unlisted     map[string]bool
	entryChanges int64 // Number of entries removed and registered again.
}

type readersNode struct {
	env     *readersEnv
	service *Service
	context context.Context
	cancel  context.CancelFunc
	done    chan struct{}
	dead    atomic.Bool
	// linkFree is the time at which all that was sent to the node has arrived.
	linkFree time.Time
}

func newReadersEnv(c readersCase, seed uint64) *readersEnv {
	e := &readersEnv{
		started: time.Now(), nodes: make(map[string]*readersNode), revision: 1, rejected: make(map[string]bool),
		routes: c.Routes, targets: c.Targets, linkBytesPerSecond: c.LinkBytesPerSecond, configs: []time.Time{time.Now()}, configChanged: make(chan struct{}), impaired: make(map[string]string), unlisted: make(map[string]bool),
	}
	e.recentFrom = e.started.Add(time.Duration(c.Seconds-5) * time.Second)
	var vms []member.VM
	for i := range c.Nodes {
		vm := member.VM{ID: fmt.Sprintf("vm-%02d", i), Millicores: smallMillicores, Attributes: member.Attributes{Ready: true}}
		if i < c.Large {
			vm.Millicores = largeMillicores
		}
		vms = append(vms, vm)
	}
	e.view = member.NewView(vms[0], vms[1:]...)
	e.readers = e.view.RankReady(readerRankKey, readerCount)
	e.random = ports.NewSeededRandom(seed)
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i, v := range vms {
		n := &readersNode{env: e, done: make(chan struct{})}
		n.context, n.cancel = context.WithCancel(context.Background())
		n.service = &Service{
			Self: v.ID, Source: n, Peers: n, View: e.currentView, Clock: ports.SystemClock{},
			Random: ports.NewSeededRandom(1 + seed*uint64(len(vms)) + uint64(i)), Log: logrus.NewEntry(log), Metrics: metrics.NewSet(),
		}
		e.nodes[v.ID] = n
		e.names = append(e.names, v.ID)
	}
	return e
}

// stop stops all nodes and waits for them.
func (e *readersEnv) stop() {
	for _, n := range e.nodes {
		n.cancel()
		<-n.done
	}
}

func (e *readersEnv) currentView() member.View {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.view
}

// applyEvents applies the events of the case that are due at ms.
func (e *readersEnv) applyEvents(c readersCase, ms int) {
	for _, at := range c.ChangesMS {
		if at == ms {
			e.mutex.Lock()
			e.revision++
			e.changed, e.pendingChange = time.Now(), true
			e.mutex.Unlock()
		}
	}
	e.applyConfigEvents(c, ms)
	vms := e.view.RankReady(readerRankKey, readerCount)
	if c.KillReadersMS == ms && ms > 0 {
		for _, r := range vms {
			e.nodes[r.ID].dead.Store(true)
			e.nodes[r.ID].cancel()
		}
	}
	if c.RejectAllMS == ms && ms > 0 {
		vms = e.view.Members()
	}
	if c.RecoverMS == ms && ms > 0 {
		e.mutex.Lock()
		e.rejected = make(map[string]bool)
		e.changed = time.Now() // Nodes can see a change only from now on.
		e.mutex.Unlock()
	}
	if ms > 0 && (c.RejectReadersMS == ms || c.RejectAllMS == ms) {
		e.mutex.Lock()
		for _, r := range vms {
			e.rejected[r.ID] = true
		}
		e.mutex.Unlock()
	}
}

// applyConfigEvents changes the configuration and impairs store readers.
func (e *readersEnv) applyConfigEvents(c readersCase, ms int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if slices.Contains(c.ConfigChangesMS, ms) {
		e.configs = append(e.configs, time.Now())
		close(e.configChanged)
		e.configChanged = make(chan struct{})
	}
	first := 0
	for _, i := range c.Impairments {
		if i.AtMS == ms {
			for _, r := range e.readers[first : first+i.Count] {
				e.impaired[r.ID] = i.Kind
			}
		}
		first += i.Count
	}
	if c.ForgetMS > 0 && ms == c.ForgetMS {
		members := slices.DeleteFunc(slices.Clone(e.view.Members()), func(m member.VM) bool { return e.impaired[m.ID] != "" })
		e.view = member.NewView(members[0], members[1:]...)
	}
}

// heartbeatMS is the time between two heartbeats that a node receives.
const heartbeatMS = 250

// reportRevisions delivers a heartbeat of a random node to each node.
func (e *readersEnv) reportRevisions() {
	for _, n := range e.nodes {
		from := e.nodes[e.names[e.random.Uint64()%uint64(len(e.names))]]
		if n.impairment() != frozen && from.impairment() != frozen {
			n.service.ObserveRevision(from.service.Self, from.service.Config().Revision)
		}
	}
}

// checkConfigLag checks that every running node has the configurations that
// changed more than MaxConfigLagMS ago.
func (e *readersEnv) checkConfigLag(t *testing.T, c readersCase) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	due := int64(0)
	for _, at := range e.configs {
		if time.Since(at) > time.Duration(c.MaxConfigLagMS)*time.Millisecond {
			due++
		}
	}
	if c.MaxConfigLagMS == 0 {
		return
	}
	for _, n := range e.nodes {
		if got := n.service.Config().Revision; got < due && e.impaired[n.service.Self] != frozen {
			t.Fatalf("%s has configuration %d at %s, which was replaced more than %d ms before", n.service.Self, got, time.Since(e.started), c.MaxConfigLagMS)
		}
	}
}

// checkLag checks how long it takes until every node has applied a change.
func (e *readersEnv) checkLag(t *testing.T, c readersCase) {
	e.mutex.Lock()
	allRejected := len(e.rejected) == len(e.nodes)
	e.mutex.Unlock()
	if !e.pendingChange || allRejected {
		return
	}
	for _, n := range e.nodes {
		if _, stale := n.service.Directory().Find("old"); stale && !n.dead.Load() && e.impaired[n.service.Self] != frozen {
			if lag := time.Since(e.changed); lag > time.Duration(c.MaxLagMS)*time.Millisecond {
				t.Fatalf("%s has not applied a change after %s", n.service.Self, lag)
			}
			return
		}
	}
	e.pendingChange = false
}

// run runs the node's service.
func (n *readersNode) run() {
	defer close(n.done)
	_ = n.service.Run(n.context) // It ends with its context.
}

// callStore counts a call to the store and returns an error if the store
// rejects it.
func (n *readersNode) callStore() error {
	n.env.mutex.Lock()
	defer n.env.mutex.Unlock()
	if time.Now().After(n.env.recentFrom) {
		n.env.recentCalls++
	}
	if time.Since(n.env.started) < 5*time.Second {
		n.env.startCalls++
	}
	if n.env.rejected[n.service.Self] || n.env.impaired[n.service.Self] == refused {
		return fault.New(fault.Unavailable, fault.NotRun, "rejected by the store")
	}
	return nil
}

// Directory returns the targets. The target "old" is removed by the first
// change.
func (n *readersNode) Directory(ctx context.Context) (site.Directory, error) {
	if err := cmp.Or(n.callStore(), n.awaitStore(ctx)); err != nil {
		return site.Directory{}, err
	}
	d := n.env.directory()
	text, err := json.Marshal(d)
	if err != nil {
		return site.Directory{}, err
	}
	return d, n.receive(ctx, base64.StdEncoding.EncodedLen(len(text)))
}

// directory returns the directory that the store holds.
func (e *readersEnv) directory() site.Directory {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	d := site.Directory{Position: site.Position{Revision: e.directoryRevision()}, Targets: []site.Target{{ID: "one", Address: "1"}}}
	for i := range e.targets {
		d.Targets = append(d.Targets, site.Target{
			ID: fmt.Sprintf("target-%d", i), Service: "service", Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250), Domain: "north", Version: "1", Slots: 4,
		})
	}
	if e.revision == 1 {
		d.Targets = append(d.Targets, site.Target{ID: "old", Address: "2"})
	}
	d.Targets = slices.DeleteFunc(d.Targets, func(t site.Target) bool { return e.unlisted[t.ID] })
	return site.NewDirectory(d)
}

// directoryRevision returns the revision of the store, which increases with time
// even if no target changes. The mutex is held.
func (e *readersEnv) directoryRevision() int64 {
	return 1000*e.revision + 100*e.entryChanges + int64(time.Since(e.started)/time.Second)
}

// impairment returns the impairment of the node, if any.
func (n *readersNode) impairment() string {
	n.env.mutex.Lock()
	defer n.env.mutex.Unlock()
	return n.env.impaired[n.service.Self]
}

// awaitStore fails after readTimeout, or when the context ends, if the store does
// not respond to the node.
func (n *readersNode) awaitStore(ctx context.Context) error {
	if i := n.impairment(); i != frozen && i != cutFromStore {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	<-ctx.Done()
	return fault.From(ctx.Err())
}

// OperatorState returns a configuration whose revision is that of the store.
func (n *readersNode) OperatorState(ctx context.Context) (OperatorState, error) {
	if err := cmp.Or(n.callStore(), n.awaitStore(ctx)); err != nil {
		return OperatorState{}, err
	}
	if n.impairment() == operatorReadsFail {
		return OperatorState{}, fault.New(fault.Unavailable, fault.NotRun, "rejected by the store")
	}
	revision, _ := n.configRevision()
	o := OperatorState{Config: n.env.config(revision), Position: site.Position{Revision: revision}}
	text, err := json.Marshal(o.Config)
	if err != nil {
		return OperatorState{}, err
	}
	return o, n.receive(ctx, base64.StdEncoding.EncodedLen(len(text)))
}

// config returns the configuration of a revision.
func (e *readersEnv) config(revision int64) site.Config {
	c := site.Config{Revision: revision}
	for i := range e.routes {
		c.Routes = append(c.Routes, site.Route{
			Name: fmt.Sprintf("route-%d", i), Host: "app.example", Prefix: fmt.Sprintf("/%x/", i*i), Kind: site.Idempotent,
			Timeout: 3 * time.Second, MaxAttempts: 2, Backends: []site.Backend{{Service: "service", Weight: 1}},
		})
	}
	return site.NewConfig(c)
}

// configRevision returns the revision of the configuration, and a channel that
// is closed when it changes.
func (n *readersNode) configRevision() (int64, chan struct{}) {
	n.env.mutex.Lock()
	defer n.env.mutex.Unlock()
	return int64(len(n.env.configs)), n.env.configChanged
}

// WaitForChange waits until the configuration changes after a revision.
func (n *readersNode) WaitForChange(ctx context.Context, after site.Position, wait time.Duration) (bool, error) {
	revision := after.Revision
	if err := n.callStore(); err != nil {
		return false, err
	}
	timeout := time.After(wait)
	for {
		current, changed := n.configRevision()
		switch i := n.impairment(); {
		case i == operatorReadsFail:
			return false, fault.New(fault.Unavailable, fault.NotRun, "rejected by the store")
		case i == watchMissesChanges:
			revision = current
		case i != "":
			<-ctx.Done()
			return false, fault.From(ctx.Err())
		case current > revision:
			return true, nil
		}
		select {
		case <-ctx.Done():
			return false, fault.From(ctx.Err())
		case <-timeout:
			return false, nil
		case <-changed:
		}
	}
}

// Call calls a method of another node after a delay of 2 ms. The result takes its
// time on the link of the caller.
func (n *readersNode) Call(ctx context.Context, vm, method string, params, result any) error {
	time.Sleep(2 * time.Millisecond)
	other := n.env.nodes[vm]
	if n.impairment() == frozen || other.impairment() == frozen {
		<-ctx.Done()
		return fault.From(ctx.Err())
	}
	if other.dead.Load() {
		return fault.New(fault.Unavailable, fault.NotRun, "no connection to %s", vm)
	}
	text, err := handlePeerCall(ctx, other.service, method, params)
	if err != nil {
		return err
	}
	if err := n.receive(ctx, len(text)); err != nil {
		return err
	}
	return json.Unmarshal(text, result)
}

// handlePeerCall passes a call of another node to a service, and returns the encoded result.
func handlePeerCall(ctx context.Context, s *Service, method string, params any) ([]byte, error) {
	var result any
	var err error
	switch method {
	case MethodFetchConfig:
		result, err = s.HandleFetchConfig(ctx, params.(configRequest))
	case MethodFetchDirectory:
		result, err = s.HandleFetchDirectory(ctx, params.(directoryRequest))
	default:
		result, err = s.HandleFetch(ctx, params.(revisions))
	}
	if err != nil {
		return nil, err
	}
	return json.Marshal(result)
}

// receive waits until a number of bytes has arrived on the node's link, behind all
// that was sent to it before.
func (n *readersNode) receive(ctx context.Context, size int) error {
	rate := n.env.linkBytesPerSecond
	if rate == 0 {
		return nil
	}
	if slices.ContainsFunc(n.env.readers, n.service.isSelf) {
		rate *= 20
	}
	n.env.mutex.Lock()
	if now := time.Now(); n.linkFree.Before(now) {
		n.linkFree = now
	}
	n.linkFree = n.linkFree.Add(time.Duration(size) * time.Second / time.Duration(rate))
	wait := time.Until(n.linkFree)
	n.env.mutex.Unlock()
	select {
	case <-ctx.Done():
		return fault.From(ctx.Err())
	case <-time.After(wait):
		return nil
	}
}
