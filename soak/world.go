package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
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

	workService  = "work"
	pieceService = "pieces"
	perService   = 3 // Targets, one in each failure domain.
	piecesAsked  = 5
	roomBytes    = 64 << 20
	deadlineMS   = 1500
)

func domains() []string { return []string{"north", "south", "east"} }

// node is one process of the product with the proxies before it.
type node struct {
	process
	id     string
	admin  string
	router *proxy // Between callers and the node's opaque routes.
	store  *proxy // Between the node and the store.
}

// backEnd is a target with the proxy before it.
type backEnd struct {
	target *target
	link   *proxy
	domain string
}

// world is everything that a soak runs.
type world struct {
	binary  string
	dir     string // For logs.
	network string // First two numbers of the loopback addresses, with a dot.
	witness *witness
	store   *process
	nodes   []*node
	targets []*backEnd
	closers []func()
}

func (w *world) at(host, port int) string {
	return net.JoinHostPort(w.network+strconv.Itoa(host), strconv.Itoa(port))
}

// start starts the store, the targets and the nodes and brings the routes into
// force.
func (w *world) start(nodes int) error {
	w.store = &process{
		binary: w.binary, log: filepath.Join(w.dir, "store.log"),
		args: []string{"standin", "store", "-listen", w.at(1, 2379)},
	}
	if err := w.store.start(); err != nil {
		return err
	}
	for i := range 2 * perService {
		if err := w.addTarget(i); err != nil {
			return err
		}
	}
	for i := range nodes {
		if err := w.addNode(i, nodes); err != nil {
			return err
		}
	}
	return w.offer()
}

func (w *world) addTarget(index int) error {
	service := []string{workService, pieceService}[index/perService]
	real, known := w.at(100+index, 9000), w.at(100+index, 9001)
	b := &backEnd{
		target: &target{id: fmt.Sprintf("%s-%d", service, index%perService+1), address: real, known: known, witness: w.witness},
		link:   &proxy{address: known, target: real},
		domain: domains()[index%perService],
	}
	if err := b.target.start(); err != nil {
		return trace.Wrap(err)
	}
	w.closers = append(w.closers, b.target.close)
	w.targets = append(w.targets, b)
	return w.addProxy(b.link)
}

func (w *world) addProxy(p *proxy) error {
	if err := p.start(); err != nil {
		return trace.Wrap(err)
	}
	w.closers = append(w.closers, p.close)
	return nil
}

func (w *world) addNode(index, count int) error {
	host := 10 + index
	n := &node{
		id: fmt.Sprintf("vm-%d", index+1), admin: w.at(host, 7070),
		router: &proxy{address: w.at(host, 9080), target: w.at(host, 8080)},
		store:  &proxy{address: w.at(host, 2379), target: w.at(1, 2379)},
	}
	var seeds []string
	for i := range count {
		seeds = append(seeds, w.at(10+i, 7072))
	}
	n.binary, n.log = w.binary, filepath.Join(w.dir, n.id+".log")
	n.args = []string{
		"serve", "-log-format", "json", "-vm", n.id, "-domain", domains()[index%len(domains())], "-store", n.store.address,
		"-listen", w.at(host, 8081), "-routes-listen", w.at(host, 8080), "-admin-listen", n.admin,
		"-peer-listen", w.at(host, 7071), "-gossip-listen", w.at(host, 7072), "-seeds", strings.Join(seeds, ","),
		"-drain-wait", "300ms", "-drain-limit", "5s",
	}
	for _, p := range []*proxy{n.router, n.store} {
		if err := w.addProxy(p); err != nil {
			return err
		}
	}
	w.nodes = append(w.nodes, n)
	return n.start()
}

// offer brings the first release note into force.
func (w *world) offer() error {
	text, err := json.Marshal(w.firstNote())
	if err != nil {
		return trace.Wrap(err)
	}
	file := filepath.Join(w.dir, "note.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return trace.Wrap(err)
	}
	for _, n := range w.nodes {
		awaitReady(n.admin)
	}
	return w.operate("note", "offer", "-wait", file)
}

// operate runs an operators' command.
func (w *world) operate(args ...string) error {
	var admins []string
	for _, n := range w.nodes {
		admins = append(admins, n.admin)
	}
	command := args[:len(args):len(args)]
	at := len(command)
	for i, a := range command {
		if strings.HasPrefix(a, "-") {
			at = i
			break
		}
	}
	command = append(append(command[:at:at], "-admin", strings.Join(admins, ",")), command[at:]...)
	out, err := exec.Command(w.binary, command...).CombinedOutput() //nolint:gosec // The soak's own program.
	if err != nil {
		return trace.Wrap(err, "%s: %s", strings.Join(args, " "), out)
	}
	return nil
}

// firstNote returns the release note with all routes and targets.
func (w *world) firstNote() note.Note {
	n := note.Note{ID: "soak", Added: note.Sections{
		Domains: make(map[string]note.FailureDomain), Targets: make(map[string]note.Target),
		Services: map[string]note.Service{
			workService: {Kind: note.Plain, ColdLimit: 32, WarmLimit: 32, TypicalMS: 15},
			pieceService: {Kind: note.Plain, ColdLimit: 4, WarmLimit: 4, TypicalMS: 15, Batch: &note.BatchLimits{
				Slots: 2, Size: 8, CallMS: 15, ResultCapacityBytes: roomBytes, RetentionMS: 4000,
			}},
		},
		Classes:  map[string]note.Class{"all": {Priority: 50, Share: 0.5}},
		Accounts: map[string]note.ClientAccount{account: {Weight: 1}},
		Routes: map[string]note.Route{
			"order": w.route(orderPrefix, site.NonIdempotent),
			"read":  w.route(readPrefix, site.Idempotent),
			"stage": w.route(stagePrefix, site.Idempotent, note.RouteStage{Service: pieceService, ResultBytes: 1 << 10}),
		},
	}}
	for _, d := range domains() {
		n.Added.Domains[d] = note.FailureDomain{Region: "here", State: note.InService}
	}
	for _, b := range w.targets {
		service, _, _ := strings.Cut(b.target.id, "-")
		n.Added.Targets[b.target.id] = note.Target{Service: service, Domain: b.domain, Address: b.target.known, State: note.InService}
	}
	return n
}

func (w *world) route(prefix string, kind site.Kind, stages ...note.RouteStage) note.Route {
	return note.Route{
		Host: routeHost, Prefix: prefix, Service: workService, Kind: kind, Class: "all", DeadlineMS: deadlineMS, Stages: stages,
	}
}

// close ends the proxies and targets.
func (w *world) close() {
	for _, c := range w.closers {
		c()
	}
}
