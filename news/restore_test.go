package news

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/member"
	"bergamotworks/ports"
	"bergamotworks/script"
	"bergamotworks/site"
)

const (
	// changeBound is the time from the confirmation of a change to its effect on all nodes
	// in touch.
	changeBound = 2 * time.Second
	// restoreLook is the time between two looks at the nodes.
	restoreLook = 50 * time.Millisecond
	callDelay   = 2 * time.Millisecond
)

// restoreCase is a fleet that follows a store which is restored from copies.
type restoreCase struct {
	Nodes    int           `json:"nodes"`
	Targets  int           `json:"targets"`
	Seconds  int           `json:"seconds"`
	Changes  []storeChange `json:"changes"`
	Restores []restore     `json:"restores"`
	Troubles []trouble     `json:"troubles"` // Store readers come first.
}

// storeChange is a permanent change that an operator or a target makes.
type storeChange struct {
	AtMS int    `json:"at_ms"`
	Kind string `json:"kind"`
	Name string `json:"name"` // Of a target or failure domain.
}

// The kinds of storeChange.
const (
	nextConfig   = "config"
	joinTarget   = "join"
	leaveTarget  = "leave" // Its entry is removed.
	drainTarget  = "drain"
	drainsDomain = "drain_domain"
)

// restore brings the store back with what it held at CopyMS. It answers no calls from AtMS
// to BackMS; what is lost is written again at AgainMS.
type restore struct {
	CopyMS  int `json:"copy_ms"`
	AtMS    int `json:"at_ms"`
	BackMS  int `json:"back_ms"`
	AgainMS int `json:"again_ms"`
}

// The kinds of trouble beside frozen and cutFromStore.
const (
	cutOff    = "cut_off"   // Neither the store nor another node reaches it.
	restarted = "restarted" // Its process does not run.
)

// TestRestores guards against nodes that go back to what they had, or do not follow changes
// in time, after the store has lost some changes, while other nodes learn of it at other
// times.
func TestRestores(t *testing.T) {
	script.Run(t, "testdata/restores/*.json", func(t *testing.T, c restoreCase) {
		synctest.Test(t, func(t *testing.T) { testRestores(t, c) })
	})
}

func testRestores(t *testing.T, c restoreCase) {
	f := newRestoreFleet(c)
	defer f.stop()
	for ms := 0; ms < c.Seconds*1000 && !t.Failed(); ms += int(restoreLook.Milliseconds()) {
		f.apply(ms)
		time.Sleep(restoreLook)
		f.check(t, ms+int(restoreLook.Milliseconds()))
	}
}

// storeHolds is what a store holds.
type storeHolds struct {
	revision  int64
	operators int64 // Revision of the last change by an operator.
	version   int64 // Of the configuration.
	targets   map[string]site.Target
	drained   []string
}

func (h storeHolds) clone() storeHolds {
	h.targets, h.drained = maps.Clone(h.targets), slices.Clone(h.drained)
	return h
}

// write applies a change unless it is there already.
func (h *storeHolds) write(c storeChange, version int64) {
	h.revision++
	switch c.Kind {
	case nextConfig:
		h.version, h.operators = max(h.version, version), h.revision
	case joinTarget:
		h.targets[c.Name] = restoreTarget(c.Name)
	case leaveTarget:
		delete(h.targets, c.Name)
	case drainTarget:
		t := restoreTarget(c.Name)
		t.Draining = true
		h.targets[c.Name] = t
	case drainsDomain:
		if !slices.Contains(h.drained, c.Name) {
			h.drained = append(h.drained, c.Name)
		}
		h.operators = h.revision
	}
}

// restoreTarget returns a target whose failure domain is the first letter of its name.
func restoreTarget(name string) site.Target {
	return site.Target{ID: name, Service: "svc", Address: name, Domain: name[:1], Incarnation: 1}
}

// restoreFleet is a store with the nodes that follow it.
type restoreFleet struct {
	restoreCase
	mutex   sync.Mutex
	epoch   int64
	holds   storeHolds
	copies  map[int]storeHolds // By the index of the restore.
	away    bool
	changed chan struct{} // Closed and replaced at each change.
	nodes   map[string]*restoreNode
	order   []string // Store readers first.
	view    member.View
	random  ports.Random
	// demandedMS is the time in milliseconds from which each change must have taken
	// effect, by its index.
	demandedMS map[int]int
	kinds      map[string]string // Troubles by node.
}

// restoreNode is a VM; its service is replaced when its process starts again.
type restoreNode struct {
	fleet   *restoreFleet
	id      string
	mutex   sync.Mutex
	service *Service
	cancel  context.CancelFunc
	done    chan struct{}
	version int64 // Of the latest configuration that its process has had.
}

func newRestoreFleet(c restoreCase) *restoreFleet {
	f := &restoreFleet{
		restoreCase: c, epoch: 1, copies: make(map[int]storeHolds), changed: make(chan struct{}), nodes: make(map[string]*restoreNode),
		random: ports.NewSeededRandom(1), demandedMS: make(map[int]int), kinds: make(map[string]string),
		holds: storeHolds{revision: 100, operators: 100, version: 1, targets: make(map[string]site.Target)},
	}
	for i := range c.Targets {
		name := fmt.Sprintf("%c%d", 'a'+i%3, i)
		f.holds.targets[name] = restoreTarget(name)
	}
	var vms []member.VM
	for i := range c.Nodes {
		vms = append(vms, member.VM{ID: fmt.Sprintf("vm-%03d", i), Millicores: smallMillicores, Attributes: member.Attributes{Ready: true}})
	}
	f.view = member.NewView(vms[0], vms[1:]...)
	for _, m := range f.view.RankReady(readerRankKey, len(vms)) {
		f.order = append(f.order, m.ID)
		f.nodes[m.ID] = &restoreNode{fleet: f, id: m.ID}
	}
	for _, n := range f.nodes {
		n.start()
	}
	return f
}

func (f *restoreFleet) stop() {
	for _, n := range f.nodes {
		n.kill()
	}
}

// start starts the process of the node.
func (n *restoreNode) start() {
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cancel, n.done, n.version = cancel, make(chan struct{}), 0
	n.service = &Service{
		Self: n.id, Source: n, Peers: n, View: func() member.View { return n.fleet.view }, Clock: ports.SystemClock{},
		Random: ports.NewSeededRandom(uint64(len(n.id))), Log: logrus.NewEntry(log), Metrics: metrics.NewSet(),
	}
	go restoreProcess{service: n.service, done: n.done}.run(ctx)
}

// kill ends the process of the node, if it runs.
func (n *restoreNode) kill() {
	n.mutex.Lock()
	cancel, done := n.cancel, n.done
	n.service, n.cancel = nil, nil
	n.mutex.Unlock()
	if cancel != nil {
		cancel()
		<-done
	}
}

func (n *restoreNode) process() *Service {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.service
}

// restoreProcess is a process of a node.
type restoreProcess struct {
	service *Service
	done    chan struct{}
}

func (p restoreProcess) run(ctx context.Context) {
	defer close(p.done)
	_ = p.service.Run(ctx) // It ends with its context.
}

// apply applies what is due at ms.
func (f *restoreFleet) apply(ms int) {
	f.applyTroubles(ms)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for i, r := range f.Restores {
		if r.CopyMS == ms {
			f.copies[i] = f.holds.clone()
		}
		switch ms {
		case r.AtMS:
			f.away = true
			f.signal()
		case r.BackMS:
			f.away, f.epoch, f.holds = false, f.epoch+1, f.copies[i].clone()
			f.signal()
		case r.AgainMS:
			f.writeAgain(r)
		}
	}
	for i, c := range f.Changes {
		if c.AtMS == ms {
			f.holds.write(c, f.versionOf(i))
			f.demandedMS[i] = f.demanded(c)
			f.signal()
		}
	}
	if ms%heartbeatMS == 0 {
		f.sendHeartbeats()
	}
}

// versionOf returns the version of the configuration that a change writes.
func (f *restoreFleet) versionOf(index int) int64 {
	version := int64(1)
	for _, c := range f.Changes {
		if c.Kind == nextConfig && c.AtMS <= f.Changes[index].AtMS {
			version++
		}
	}
	return version
}

// demanded returns the time from which a change must have taken effect: changeBound after it
// was written, or after it was written again if it was lost before that.
func (f *restoreFleet) demanded(c storeChange) int {
	bound := int(changeBound.Milliseconds())
	for _, r := range f.Restores {
		if c.AtMS >= r.CopyMS && c.AtMS < r.BackMS && c.AtMS+bound > r.AtMS {
			return r.AgainMS + bound
		}
	}
	return c.AtMS + bound
}

// writeAgain writes what the restore has lost; of the configurations, only the last one.
func (f *restoreFleet) writeAgain(r restore) {
	last := -1
	for i, c := range f.Changes {
		lost := c.AtMS >= r.CopyMS && c.AtMS < r.BackMS
		switch {
		case lost && c.Kind != nextConfig:
			f.holds.write(c, 0)
		case lost && (last < 0 || f.versionOf(i) > f.versionOf(last)):
			last = i
		}
	}
	if last >= 0 {
		f.holds.write(f.Changes[last], f.versionOf(last))
	}
	f.signal()
}

// signal wakes the watches. The mutex is held.
func (f *restoreFleet) signal() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// sendHeartbeats delivers a heartbeat of a random node to each node.
func (f *restoreFleet) sendHeartbeats() {
	for _, id := range f.order {
		from := f.order[f.random.Uint64()%uint64(len(f.order))]
		sender, receiver := f.nodes[from].process(), f.nodes[id].process()
		if sender != nil && receiver != nil && f.kinds[id] == "" && f.kinds[from] == "" {
			receiver.ObserveRevision(from, sender.Config().Revision)
		}
	}
}

// applyTroubles begins and ends the troubles that are due.
func (f *restoreFleet) applyTroubles(ms int) {
	for _, o := range f.Troubles {
		for _, id := range f.order[o.First : o.First+o.Count] {
			switch {
			case ms == o.FromMS && o.Kind == restarted:
				f.nodes[id].kill()
			case ms == o.UntilMS && o.Kind == restarted:
				f.nodes[id].start()
			}
			f.mutex.Lock()
			switch ms {
			case o.FromMS:
				f.kinds[id] = o.Kind
			case o.UntilMS:
				delete(f.kinds, id)
			}
			f.mutex.Unlock()
		}
	}
}

// inTouch reports whether a node had no trouble in the contactTime before ms.
func (f *restoreFleet) inTouch(id string, ms int) bool {
	return undisturbed(f.Troubles, ms, func(o trouble) bool { return slices.Contains(f.order[o.First:o.First+o.Count], id) })
}

// check checks the nodes in touch.
func (f *restoreFleet) check(t *testing.T, ms int) {
	t.Helper()
	f.mutex.Lock()
	demanded := maps.Clone(f.demandedMS)
	f.mutex.Unlock()
	for _, id := range f.order {
		s := f.nodes[id].process()
		if s == nil {
			continue
		}
		version := s.Config().Revision
		if version < f.nodes[id].version {
			t.Fatalf("%s goes back from version %d to %d at %d ms", id, f.nodes[id].version, version, ms)
		}
		f.nodes[id].version = version
		if !f.inTouch(id, ms) {
			continue
		}
		for i, c := range f.Changes {
			if at, ok := demanded[i]; ok && ms > at && !f.inForce(s, i) {
				t.Fatalf("%s does not follow %s %s of %d ms at %d ms, %d ms after it must", id, c.Kind, c.Name, c.AtMS, ms, ms-at)
			}
		}
	}
}

// inForce reports whether a node follows a change.
func (f *restoreFleet) inForce(s *Service, index int) bool {
	c, d := f.Changes[index], s.Directory()
	usable := slices.ContainsFunc(d.Usable("svc"), func(t site.Target) bool { return t.ID == c.Name })
	switch c.Kind {
	case nextConfig:
		return s.Config().Revision >= f.versionOf(index)
	case joinTarget:
		return usable
	case drainsDomain:
		return d.DrainedDomains[c.Name]
	}
	return !usable
}

// reachStore waits for the time of a call, and fails if the store does not answer the node
// within readTimeout.
func (n *restoreNode) reachStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return n.fleet.await(ctx, func() bool { return !n.fleet.away && n.fleet.kinds[n.id] == "" })
}

// await waits for the time of a call, and until the function, which is called with the mutex
// held, reports that the call gets through.
func (f *restoreFleet) await(ctx context.Context, reached func() bool) error {
	for {
		select {
		case <-ctx.Done():
			return fault.From(ctx.Err())
		case <-time.After(callDelay):
		}
		f.mutex.Lock()
		ok := reached()
		f.mutex.Unlock()
		if ok {
			return nil
		}
	}
}

// Directory implements [Source].
func (n *restoreNode) Directory(ctx context.Context) (site.Directory, error) {
	if err := n.reachStore(ctx); err != nil {
		return site.Directory{}, err
	}
	n.fleet.mutex.Lock()
	defer n.fleet.mutex.Unlock()
	h := n.fleet.holds
	d := site.Directory{Position: site.Position{Epoch: n.fleet.epoch, Revision: h.revision}, Targets: slices.Collect(maps.Values(h.targets))}
	return site.NewDirectory(d), nil
}

// OperatorState implements [Source].
func (n *restoreNode) OperatorState(ctx context.Context) (OperatorState, error) {
	if err := n.reachStore(ctx); err != nil {
		return OperatorState{}, err
	}
	n.fleet.mutex.Lock()
	defer n.fleet.mutex.Unlock()
	h := n.fleet.holds
	return OperatorState{
		Config: site.NewConfig(site.Config{Revision: h.version}), DrainedDomains: slices.Clone(h.drained),
		Position: site.Position{Epoch: n.fleet.epoch, Revision: h.revision},
	}, nil
}

// WaitForChange implements [Source].
func (n *restoreNode) WaitForChange(ctx context.Context, after site.Position, wait time.Duration) (bool, error) {
	timeout := time.After(wait)
	for {
		if err := n.reachStore(ctx); err != nil {
			return false, err
		}
		f := n.fleet
		f.mutex.Lock()
		known := after.Epoch == f.epoch && after.Revision <= f.holds.revision
		operators, changed := f.holds.operators, f.changed
		f.mutex.Unlock()
		if !known || operators > after.Revision {
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

// Call implements [PeerCaller].
func (n *restoreNode) Call(ctx context.Context, vm, method string, params, result any) error {
	f := n.fleet
	err := f.await(ctx, func() bool {
		return !slices.ContainsFunc([]string{f.kinds[n.id], f.kinds[vm]}, func(k string) bool { return k == cutOff || k == frozen })
	})
	if err != nil {
		return err
	}
	other := f.nodes[vm].process()
	if other == nil {
		return fault.New(fault.Unavailable, fault.NotRun, "no connection to %s", vm)
	}
	text, err := handlePeerCall(ctx, other, method, params)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, result)
}
