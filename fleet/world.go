package fleet

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bergamotworks/platform"
	"bergamotworks/site"
)

const (
	storeIP      = "10.9.9.9"
	storeAddress = storeIP + ":2000"
	routeHost    = "app.example"
	clientKey    = "key-1"
	domainCount  = 3
	services     = 2 // svc-0 and svc-1.
)

// World is the fleet of one day with all that it works with.
type World struct {
	day     Day
	network *Network
	store   *platform.StoreServer
	server  *http.Server
	nodes   []*node
	logTo   io.Writer
	starts  atomic.Uint64 // Of processes.
	random  *rand.Rand
	until   time.Time // The end of the day, after which no client begins a request.

	mutex           sync.Mutex
	targets         map[string]*target // Those whose process runs.
	lastTarget      int
	requests        []*Request
	runs            []Run
	notices         []Notice
	arrivals        []arrival
	crashes         []crash
	drained         []drainedDomain
	departures      map[string]time.Time // When the store acknowledged that a target leaves.
	serviceOfTarget map[string]string
	domainOfTarget  map[string]string
	configs         []configChange
	violations      []Violation
	background      sync.WaitGroup
}

// crash is the end of a target by a request.
type crash struct {
	target string
	body   string
	at     time.Time
}

// arrival is a request that a target gets, whether it runs it or not.
type arrival struct {
	target, node string
	at           time.Time
}

// drainedDomain is the time in which a failure domain must get no requests.
type drainedDomain struct {
	domain   string
	from, to time.Time // Acknowledged by the store.
}

// configChange is a version of the configuration and the moment at which the store has
// acknowledged it.
type configChange struct {
	at       time.Time
	services map[string]string // By path.
	key      bool              // The key of the clients is valid.
}

// Violation is a rule that was broken.
type Violation struct {
	Rule string
	Text string
}

func (w *World) report(rule, format string, args ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.violations = append(w.violations, Violation{Rule: rule, Text: fmt.Sprintf(format, args...)})
}

func (w *World) recordRequest(q *Request) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.requests = append(w.requests, q)
}

func (w *World) recordNotice(n Notice) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.notices = append(w.notices, n)
}

func (w *World) recordArrival(target, node string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.arrivals = append(w.arrivals, arrival{target: target, node: node, at: time.Now()})
}

func (w *World) recordRun(r Run) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.runs = append(w.runs, r)
}

// recordCrash ends a target. Its entry is removed by the platform after a while, and
// another one takes its place.
func (w *World) recordCrash(t *target, body string) {
	w.mutex.Lock()
	w.crashes = append(w.crashes, crash{target: t.id, body: body, at: time.Now()})
	w.mutex.Unlock()
	t.end()
	w.dropTarget(t)
	w.after(crashNoticed, func() { w.store.RemoveTarget(t.id) })
	w.after(crashReplaced, func() { w.addTarget(t.service, "") })
}

const (
	crashNoticed  = 2 * time.Second
	crashReplaced = 1 * time.Second
)

// after runs a function later, as part of the day.
func (w *World) after(d time.Duration, f func()) {
	w.background.Add(1)
	go later{world: w, wait: d, act: f}.run()
}

type later struct {
	world *World
	wait  time.Duration
	act   func()
}

func (l later) run() {
	defer l.world.background.Done()
	time.Sleep(l.wait)
	l.act()
}

// newWorld builds the fleet of a day and starts it.
func newWorld(d Day, logTo io.Writer) *World {
	w := &World{
		day: d, network: NewNetwork(), store: platform.NewStoreServer(), targets: make(map[string]*target), departures: make(map[string]time.Time), serviceOfTarget: make(map[string]string), domainOfTarget: make(map[string]string),
		logTo: logTo, random: rand.New(rand.NewPCG(d.Seed, 2)),
	}
	w.server = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	l, err := w.network.Host(storeIP).Listen(storeAddress)
	if err != nil {
		panic(err) // Nothing else listens there.
	}
	w.background.Add(1)
	go w.runStore(l.(*listener))
	w.setConfig(map[string]string{idempotentPath: "svc-0", orderPath: "svc-0", streamPath: "svc-1"}, true)
	for s := range services {
		for range d.Targets {
			w.addTarget(fmt.Sprintf("svc-%d", s), "")
		}
	}
	for i := range d.Nodes {
		w.nodes = append(w.nodes, &node{world: w, number: i, ip: fmt.Sprintf("10.0.%d.%d", i/200, 1+i%200)})
	}
	for _, n := range w.nodes {
		n.start()
	}
	return w
}

func (w *World) runStore(l *listener) {
	defer w.background.Done()
	_ = w.server.Serve(l) // It ends when it is closed.
}

// gossipAddresses returns the membership addresses of the first nodes.
func (w *World) gossipAddresses() []string {
	var list []string
	for i := range min(3, w.day.Nodes) {
		list = append(list, fmt.Sprintf("10.0.%d.%d:%d", i/200, 1+i%200, peerPort))
	}
	return list
}

// pickNode returns a random node to which the balancer sends requests, nil if there is
// none.
func (w *World) pickNode() *node {
	var ready []*node
	for _, n := range w.nodes {
		if n.ready() {
			ready = append(ready, n)
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(ready) == 0 {
		return nil
	}
	return ready[w.random.IntN(len(ready))]
}

// addTarget starts a target and registers it; an empty address stands for a new one.
func (w *World) addTarget(service, address string) {
	w.mutex.Lock()
	w.lastTarget++
	number := w.lastTarget
	ip := fmt.Sprintf("10.1.%d.%d", number/200, 1+number%200)
	if address == "" {
		address = ip + ":80"
	}
	t := &target{
		world: w, id: fmt.Sprintf("t%03d", number), service: service, domain: fmt.Sprintf("z%d", number%domainCount),
		address: address, host: w.network.Host(hostOf(address)),
	}
	w.targets[t.id] = t
	w.serviceOfTarget[t.id], w.domainOfTarget[t.id] = service, t.domain
	w.mutex.Unlock()
	if err := t.start(); err != nil {
		panic(err) // The generator reuses only free addresses.
	}
	w.store.PutTarget(t.entry(false), 1)
}

func (w *World) dropTarget(t *target) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.targets, t.id)
}

// anyTarget returns a target of a service by number, nil if it has too few for one to
// go.
func (w *World) anyTarget(service string, number int) *target {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var list []*target
	for i := 1; i <= w.lastTarget; i++ {
		t := w.targets[fmt.Sprintf("t%03d", i)]
		if t != nil && t.service == service && w.departures[t.id].IsZero() {
			list = append(list, t)
		}
	}
	if len(list) < 2 {
		return nil
	}
	return list[number%len(list)]
}

func (w *World) recordDeparture(t *target, at time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.departures[t.id] = at
}

// setConfig writes a version of the configuration.
func (w *World) setConfig(byPath map[string]string, key bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	kinds := map[string]site.Kind{idempotentPath: site.Idempotent, orderPath: site.NonIdempotent, streamPath: site.Stream}
	c := site.Config{
		Revision: int64(len(w.configs) + 1),
		Limits:   site.Limits{HeaderBytes: 16384, BodyBytes: 100000, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Accounts: []site.ClientAccount{{Name: "acme", Keys: []string{"key-of-another"}}},
	}
	for path, service := range byPath {
		c.Routes = append(c.Routes, site.Route{
			Name: "r" + path, Host: routeHost, Prefix: path, Kind: kinds[path], Timeout: routeTimeout, LatencyTarget: latencyTarget,
			Priority: 1, Backends: []site.Backend{{Service: service, Weight: 1}}, MaxAttempts: 3, Resumable: path == streamPath,
		})
	}
	for s := range services {
		c.Services = append(c.Services, site.Service{Name: fmt.Sprintf("svc-%d", s)})
	}
	if key {
		c.Accounts[0].Keys = append(c.Accounts[0].Keys, clientKey)
	}
	at := w.store.PutConfig(c)
	w.configs = append(w.configs, configChange{at: at, services: byPath, key: key})
}

// The timeout and the latency target of all routes.
const (
	routeTimeout  = 2 * time.Second
	latencyTarget = 300 * time.Millisecond
)

// end ends everything.
func (w *World) end() {
	var stops sync.WaitGroup
	for _, n := range w.nodes {
		stops.Add(1)
		go nodeEnd{node: n, done: &stops}.run()
	}
	stops.Wait()
	time.Sleep(2 * targetWork) // Until the targets have ended what they run.
	_ = w.server.Close()       // Nothing is left to answer.
	w.background.Wait()        // What follows from events may start further targets.
	for _, t := range w.targets {
		t.end()
		t.running.Wait()
	}
	w.network.Reset("", "")
	time.Sleep(idleServerTime)
}

// idleServerTime is how long goroutines of the servers of closed nodes still sleep.
const idleServerTime = 15 * time.Second

type nodeEnd struct {
	node *node
	done *sync.WaitGroup
}

func (e nodeEnd) run() {
	defer e.done.Done()
	e.node.kill()
}
