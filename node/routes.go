package node

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"bergamotworks/admin"
	"bergamotworks/batch"
	"bergamotworks/engine"
	"bergamotworks/note"
	"bergamotworks/peer"
	"bergamotworks/place"
	"bergamotworks/relay"
	"bergamotworks/site"
	"bergamotworks/wire"
)

const (
	// routeRetrySlack is the number of retries that the fleet may make per
	// routeRetryWindow in addition to the retry ratio.
	routeRetrySlack   = 50
	routeRetryWindow  = 10 * time.Second
	drainPollInterval = 50 * time.Millisecond
	// responseTimeout is the time in which requests that are in flight at the end of a
	// planned shutdown get a response.
	responseTimeout = 200 * time.Millisecond
	// maxClassPriority is the maximum priority of a class. Since higher is more
	// urgent in a class and lower in package site, siteRoute subtracts the
	// priority of the class from it.
	maxClassPriority   = 100
	defaultMaxAttempts = 3
)

// routes serves the opaque routes of the configuration. A nil *routes serves
// none.
type routes struct {
	node      *Node
	client    *wire.Client
	server    *relay.Server
	batch     *batch.Service
	config    atomic.Pointer[site.Config]
	directory atomic.Pointer[site.Directory]
}

// assembleRoutes creates the components for opaque routes; listener may be nil.
func (n *Node) assembleRoutes(listener net.Listener) {
	if listener == nil {
		return
	}
	r := &routes{node: n}
	guard := &relay.TargetGuard{
		Admission: &place.Admission{}, Names: relay.DefaultHeaderNames(), Directory: r.currentDirectory, Clock: n.Clock, Log: n.logger("relay"), Metrics: n.metrics,
	}
	r.client = &wire.Client{Network: n.Network, Clock: n.Clock, Guard: guard}
	r.batch = &batch.Service{
		Self: n.Settings.VM, Config: r.currentConfig, Directory: r.currentDirectory, View: n.members.View,
		Runner: &engine.PieceRunner{Client: r.client, Self: n.Settings.VM}, Admission: guard.Admission, Rollouts: n.rollouts.gate(), Peers: n.peers, Clock: n.Clock, Random: n.Random, Log: n.logger("batch"), Metrics: n.metrics,
	}
	// OnTargetPace and ObservePace are not connected: nodes of pipelines do not share the pace.
	r.server = &relay.Server{
		Listener: listener, Self: n.Settings.VM, Names: relay.DefaultHeaderNames(), Domain: n.Settings.Domain, Config: r.currentConfig,
		Directory: r.currentDirectory, View: n.members.View, Stages: r.batch, Client: r.client, Guard: guard, Rollouts: n.rollouts.gate(),
		Bounds: r.bounds, OnEvidence: n.broadcastEvidence, OnTargetReport: n.broadcastTargetReport, OnTargetSpeed: n.broadcastTargetSpeed, Clock: n.Clock, Random: n.Random, Log: n.logger("relay"), Metrics: n.metrics,
	}
	r.client.Buffers.Reclaim = r.server.ReclaimBuffers
	guard.OnLeaving = r.server.ReportLeaving
	n.peers.Register(batch.MethodSubmit, peer.TypedHandler(r.batch.HandleSubmit))
	n.peers.Register(batch.MethodRelease, peer.TypedHandler(r.batch.HandleRelease))
	n.peers.Register(batch.MethodProbe, peer.TypedHandler(r.batch.HandleProbe))
	n.routes = r
}

// Run serves requests until the context ends. It must not be called on a nil
// *routes.
func (r *routes) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = r.server.Close() }) // Run returns the error.
	defer stop()
	done := make(chan error, 1)
	go r.run(ctx, done)
	err := r.server.Run(ctx)
	return trace.NewAggregate(err, <-done)
}

// run runs the batch service until the context ends and sends its error to
// done.
func (r *routes) run(ctx context.Context, done chan<- error) { done <- r.batch.Run(ctx) }

// Close aborts the requests and calls in progress and waits for them to end.
func (r *routes) Close() error {
	if r == nil {
		return nil
	}
	err := trace.NewAggregate(r.server.Close(), r.batch.Close())
	r.client.Close()
	return err
}

// heldTargets returns the targets that get no calls.
func (r *routes) heldTargets() []admin.HeldTargetStatus {
	if r == nil {
		return nil
	}
	var list []admin.HeldTargetStatus
	for _, h := range r.server.Guard.Admission.Holds(r.node.Clock.Now()) {
		list = append(list, admin.HeldTargetStatus{Target: h.Target.ID, Service: h.Target.Service, Reason: h.Hold.Reason.String(), Until: h.Hold.Until})
	}
	return list
}

// leave fails the unfinished work of the batch service, so that it is submitted
// to other nodes.
func (r *routes) leave() {
	if r != nil {
		r.batch.Leave()
	}
}

// drain closes idle connections, and the others after their current request, and
// waits until none is open. If the context ends before, the requests in flight get an
// error response.
func (r *routes) drain(ctx context.Context) error {
	if r == nil {
		return nil
	}
	r.server.Drain()
	if r.waitForClients(ctx) {
		return nil
	}
	r.server.EndRequests()
	responses, cancel := context.WithTimeout(context.WithoutCancel(ctx), responseTimeout)
	defer cancel()
	r.waitForClients(responses)
	return trace.Wrap(ctx.Err())
}

// waitForClients waits until no connection is open or the context ends, and reports
// whether none is open.
func (r *routes) waitForClients(ctx context.Context) bool {
	for {
		if connections, _ := r.server.Active(); connections == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-r.node.Clock.After(drainPollInterval):
		}
	}
}

// configChanged applies a configuration that has become active.
func (r *routes) configChanged(config note.Config) {
	if r == nil {
		return
	}
	c, d := siteConfig(config), siteDirectory(config)
	r.config.Store(&c)
	r.directory.Store(&d)
}

// bounds returns the limits that apply to the fleet as a whole.
func (r *routes) bounds() relay.Bounds {
	return relay.Bounds{
		RetryRatio: r.node.conf.Current().Limits().RetryRatio, RetrySlack: routeRetrySlack, RetryWindow: routeRetryWindow, ColdFactor: 1,
	}
}

func (r *routes) currentConfig() site.Config {
	if c := r.config.Load(); c != nil {
		return *c
	}
	return site.Config{}
}

// currentDirectory returns the directory, which is not loaded before the node may know
// which versions are rolled out.
func (r *routes) currentDirectory() site.Directory {
	if d := r.directory.Load(); d != nil && r.node.rollouts.ready() == nil {
		return *d
	}
	return site.Directory{}
}

// siteConfig converts the part of a configuration that concerns opaque routes.
func siteConfig(config note.Config) site.Config {
	s := config.Sections
	c := site.Config{Revision: config.Revision, Limits: site.Limits{BodyBytes: config.Limits().MaxBodyBytes}}
	for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
		c.Routes = append(c.Routes, siteRoute(name, s.Routes[name], s.Classes))
	}
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		c.Services = append(c.Services, siteService(name, s.Services[name]))
	}
	for _, name := range slices.Sorted(maps.Keys(s.Accounts)) {
		c.Accounts = append(c.Accounts, siteAccount(name, s.Accounts[name]))
	}
	return site.NewConfig(c)
}

func siteRoute(name string, r note.Route, classes map[string]note.Class) site.Route {
	route := site.Route{
		Name: name, Host: r.Host, Prefix: r.Prefix, Kind: r.Kind, Timeout: milliseconds(r.TimeoutMS),
		LatencyTarget: milliseconds(r.LatencyTargetMS), MaxEventGap: milliseconds(r.MaxEventGapMS), Priority: maxClassPriority - classes[r.Class].Priority,
		MaxAttempts: r.MaxAttempts, Backends: []site.Backend{{Service: r.Service, Weight: 1}},
		Resumable: r.Resumable, Affinity: r.Affinity,
	}
	if route.LatencyTarget == 0 {
		route.LatencyTarget = route.Timeout
	}
	if route.MaxAttempts == 0 {
		route.MaxAttempts = defaultMaxAttempts
	}
	for _, s := range r.Stages {
		route.Stages = append(route.Stages, site.RouteStage{Service: s.Service, After: s.After, ResultBytes: s.ResultBytes})
	}
	return route
}

func siteService(name string, s note.Service) site.Service {
	service := site.Service{Name: name}
	if b := s.Batch; b != nil {
		service.Batch = &site.BatchLimits{
			Slots: b.Slots, Size: b.Size, CallTime: milliseconds(b.CallMS), PieceTime: milliseconds(b.PieceMS),
			ResultCapacityBytes: b.ResultCapacityBytes, Retention: milliseconds(b.RetentionMS),
		}
	}
	return service
}

// siteAccount converts a client account. An account without a key hash uses its
// name as API key.
func siteAccount(name string, a note.ClientAccount) site.ClientAccount {
	if a.KeyHash == "" {
		return site.ClientAccount{Name: name, Keys: []string{name}}
	}
	return site.ClientAccount{Name: name, KeyHashes: []string{a.KeyHash}}
}

// siteDirectory converts the targets of a configuration and the failure domains
// that are not in service.
func siteDirectory(config note.Config) site.Directory {
	d := site.Directory{Position: site.Position{Revision: config.Revision}, DrainedDomains: make(map[string]bool)}
	for name, f := range config.Sections.Domains {
		if f.State != note.InService {
			d.DrainedDomains[name] = true
		}
	}
	for name, t := range config.Sections.Targets {
		d.Targets = append(d.Targets, site.Target{
			ID: name, Service: t.Service, Address: t.Address, Domain: t.Domain,
			Slots: config.Sections.Services[t.Service].WarmLimit, Draining: t.State != note.InService, Version: t.Version,
		})
	}
	return site.NewDirectory(d)
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
