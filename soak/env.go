package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"bergamotworks/note"
	"bergamotworks/site"
)

const (
	routeHost   = "soak.example"
	orderPrefix = "/order/"
	readPrefix  = "/read/"
	stagePrefix = "/stage/"
	account     = "caller"

	workService         = "work"
	pieceService        = "pieces"
	targetsPerService   = 3                     // Targets, one in each failure domain.
	guestIndex          = 2 * targetsPerService // Index of the target that says at times that it leaves.
	piecesPerRequest    = 5
	resultCapacityBytes = 64 << 20
	deadlineMS          = 1500
)

func domains() []string { return []string{"north", "south", "east"} }

// node is one node process with the proxies for its links.
type node struct {
	process
	id          string
	admin       string
	routesProxy *proxy // Between clients and the node's address for opaque routes.
	storeProxy  *proxy // Between the node and the store.
}

// backend is a target with the proxy in front of it.
type backend struct {
	target *target
	proxy  *proxy
	domain string
}

// env holds everything that a run has started.
type env struct {
	binary  string
	dir     string // For log files.
	network string // First three numbers of the loopback addresses, with the final dot.
	runs    *runCounter
	store   *process
	nodes   []*node
	targets []*backend
	closers []func()
}

// storePort is the port of the store, and of the proxy through which a node
// reaches it.
const storePort = 2379

func (e *env) address(host, port int) string {
	return net.JoinHostPort(e.network+strconv.Itoa(host), strconv.Itoa(port))
}

// start starts the store, the targets and the nodes, and submits the release note
// with the routes.
func (e *env) start(nodes int) error {
	e.store = &process{
		binary: e.binary, log: filepath.Join(e.dir, "store.log"),
		args: []string{"standin", "store", "-listen", e.address(1, storePort)},
	}
	if err := e.store.start(); err != nil {
		return err
	}
	if err := awaitListening(e.address(1, storePort)); err != nil {
		return err
	}
	for i := range 2 * targetsPerService {
		if err := e.addTarget(i); err != nil {
			return err
		}
	}
	if err := e.addTarget(guestIndex); err != nil {
		return err
	}
	for i := range nodes {
		if err := e.addNode(i, nodes); err != nil {
			return err
		}
	}
	return e.submitNote()
}

func (e *env) addTarget(index int) error {
	service := []string{workService, pieceService, workService}[index/targetsPerService]
	real, proxied := e.address(100+index, 9000), e.address(100+index, 9001)
	b := &backend{
		target: &target{id: fmt.Sprintf("%s-%d", service, index+1), address: real, proxyAddress: proxied, runs: e.runs},
		proxy:  &proxy{address: proxied, destination: real},
		domain: domains()[index%targetsPerService],
	}
	if err := b.target.start(); err != nil {
		return trace.Wrap(err)
	}
	e.closers = append(e.closers, b.target.close)
	e.targets = append(e.targets, b)
	return e.addProxy(b.proxy)
}

// guest returns the target that says at times that it leaves. The others of its service
// stay.
func (e *env) guest() *backend { return e.targets[guestIndex] }

func (e *env) addProxy(p *proxy) error {
	if err := p.start(); err != nil {
		return trace.Wrap(err)
	}
	e.closers = append(e.closers, p.close)
	return nil
}

func (e *env) addNode(index, count int) error {
	host := 10 + index
	n := &node{
		id: fmt.Sprintf("vm-%d", index+1), admin: e.address(host, 7070),
		routesProxy: &proxy{address: e.address(host, 9080), destination: e.address(host, 8080)},
		storeProxy:  &proxy{address: e.address(host, storePort), destination: e.address(1, storePort)},
	}
	var seeds []string
	for i := range count {
		seeds = append(seeds, e.address(10+i, 7072))
	}
	n.binary, n.log = e.binary, filepath.Join(e.dir, n.id+".log")
	n.args = []string{
		"serve", "-log-format", "json", "-vm", n.id, "-domain", domains()[index%len(domains())], "-store", n.storeProxy.address,
		"-listen", e.address(host, 8081), "-routes-listen", e.address(host, 8080), "-admin-listen", n.admin,
		"-peer-listen", e.address(host, 7071), "-gossip-listen", e.address(host, 7072), "-seeds", strings.Join(seeds, ","),
		"-drain-wait", "300ms", "-drain-limit", "5s",
	}
	for _, p := range []*proxy{n.routesProxy, n.storeProxy} {
		if err := e.addProxy(p); err != nil {
			return err
		}
	}
	e.nodes = append(e.nodes, n)
	return n.start()
}

// submitNote submits the initial release note and waits until it is active.
func (e *env) submitNote() error {
	text, err := json.Marshal(e.initialNote())
	if err != nil {
		return trace.Wrap(err)
	}
	file := filepath.Join(e.dir, "note.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return trace.Wrap(err)
	}
	for _, n := range e.nodes {
		awaitReady(n.admin)
	}
	return e.runCommand("note", "offer", "-wait", file)
}

// runCommand runs an operator command with the admin addresses of all nodes, of
// which it uses the first that responds. The flag -admin is inserted before the
// first flag in args, of which there must be one.
func (e *env) runCommand(args ...string) error {
	var admins []string
	for _, n := range e.nodes {
		admins = append(admins, n.admin)
	}
	flagIndex := slices.IndexFunc(args, func(a string) bool { return strings.HasPrefix(a, "-") })
	command := slices.Insert(slices.Clone(args), flagIndex, "-admin", strings.Join(admins, ","))
	out, err := exec.Command(e.binary, command...).CombinedOutput() //nolint:gosec // The binary under test.
	if err != nil {
		return trace.Wrap(err, "%s: %s", strings.Join(args, " "), out)
	}
	return nil
}

// initialNote returns the release note with all routes and targets.
func (e *env) initialNote() note.Note {
	n := note.Note{ID: "soak", Added: note.Sections{
		Domains: make(map[string]note.FailureDomain), Targets: make(map[string]note.Target),
		Services: map[string]note.Service{
			workService: {Kind: note.Plain, ColdLimit: 32, WarmLimit: 32, TypicalMS: 15},
			pieceService: {Kind: note.Plain, ColdLimit: 4, WarmLimit: 4, TypicalMS: 15, Batch: &note.BatchLimits{
				Slots: 2, Size: 8, CallMS: 15, ResultCapacityBytes: resultCapacityBytes, RetentionMS: 4000,
			}},
		},
		Classes:  map[string]note.Class{"all": {Priority: 50, Share: 0.5}},
		Accounts: map[string]note.ClientAccount{account: {Weight: 1}},
		Routes: map[string]note.Route{
			"order": e.route(orderPrefix, site.NonIdempotent),
			"read":  e.route(readPrefix, site.Idempotent),
			"stage": e.route(stagePrefix, site.Idempotent, note.RouteStage{Service: pieceService, ResultBytes: 1 << 10}),
		},
	}}
	for _, d := range domains() {
		n.Added.Domains[d] = note.FailureDomain{Region: "here", State: note.InService}
	}
	for _, b := range e.targets {
		service, _, _ := strings.Cut(b.target.id, "-")
		n.Added.Targets[b.target.id] = note.Target{Service: service, Domain: b.domain, Address: b.target.proxyAddress, State: note.InService}
	}
	return n
}

func (e *env) route(prefix string, kind site.Kind, stages ...note.RouteStage) note.Route {
	return note.Route{
		Host: routeHost, Prefix: prefix, Service: workService, Kind: kind, Class: "all", TimeoutMS: deadlineMS, Stages: stages,
	}
}

// close closes the proxies and targets.
func (e *env) close() {
	for _, c := range e.closers {
		c()
	}
}
