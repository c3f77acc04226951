package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// faultKind is a kind of fault.
type faultKind int

const (
	killNode faultKind = iota
	pauseNode
	stopNode
	hangUpNode
	pauseStore
	cutStore
	cutCallers
	cutTarget
	fillTarget
	breakTarget
	takeOutDomain
	faultKinds // Number of kinds.
)

const (
	shortestFault = 200 * time.Millisecond
	longestFault  = 2500 * time.Millisecond
)

// fault is one fault of a plan.
type fault struct {
	kind  faultKind
	at    time.Duration // Since the start of the load.
	hold  time.Duration
	which int
	state linkState // For cuts.
}

func (f fault) String() string {
	names := [...]string{
		"kill node", "pause node", "stop node", "hang up node", "pause store", "cut store", "cut callers", "cut target", "fill target",
		"break target", "take out domain",
	}
	return fmt.Sprintf("%s %d at %s for %s (link %d)", names[f.kind], f.which, f.at.Round(time.Millisecond), f.hold.Round(time.Millisecond), f.state)
}

// plan draws the faults of a run. They overlap as they come.
func plan(random *rand.Rand, length time.Duration, perSecond float64) []fault {
	var faults []fault
	for range int(length.Seconds() * perSecond) {
		faults = append(faults, fault{
			kind: faultKind(random.IntN(int(faultKinds))), which: random.IntN(1 << 16),
			at:    time.Duration(random.Int64N(int64(length))),
			hold:  shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault))),
			state: linkState(1 + random.IntN(int(reset))),
		})
	}
	return faults
}

// injector plays faults, each on its own.
type injector struct {
	world *world

	mutex  sync.Mutex
	held   map[any]int // Faults that hold a thing at the moment.
	errors []error
}

// run plays one fault.
func (j *injector) run(ctx context.Context, f fault, done *sync.WaitGroup) {
	defer done.Done()
	select {
	case <-ctx.Done():
		return
	case <-time.After(f.at):
	}
	w := j.world
	n := w.nodes[f.which%len(w.nodes)]
	b := w.targets[f.which%len(w.targets)]
	switch f.kind {
	case killNode:
		j.restart(n, syscall.SIGKILL, f.hold)
	case stopNode:
		j.restart(n, syscall.SIGTERM, f.hold)
	case pauseNode:
		j.pause(&n.process, f.hold)
	case hangUpNode:
		j.report(n.signal(syscall.SIGHUP))
	case pauseStore:
		j.pause(w.store, f.hold)
	case cutStore:
		j.cut(n.store, f)
	case cutCallers:
		j.cut(n.router, f)
	case cutTarget:
		j.cut(b.link, f)
	case fillTarget:
		b.target.full.Store(true)
		time.Sleep(f.hold)
		b.target.full.Store(false)
	case breakTarget:
		b.target.failing.Store(true)
		time.Sleep(f.hold)
		b.target.failing.Store(false)
	case takeOutDomain:
		j.takeOut(b.domain, f.hold)
	case faultKinds:
	}
}

func (j *injector) report(err error) {
	if err == nil {
		return
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.errors = append(j.errors, err)
}

// claim takes a thing for one fault, unless another holds it.
func (j *injector) claim(thing any) bool {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if j.held[thing] > 0 {
		return false
	}
	j.held[thing]++
	return true
}

func (j *injector) release(thing any) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.held[thing]--
}

// restart ends a node and starts it again after a time. A planned stop must end
// well.
func (j *injector) restart(n *node, s syscall.Signal, hold time.Duration) {
	if !j.claim(&n.process) {
		return
	}
	defer j.release(&n.process)
	n.disturb(1)
	defer n.disturb(-1)
	j.report(n.signal(s))
	if err := n.wait(); err != nil && s == syscall.SIGTERM {
		j.report(fmt.Errorf("%s does not end well after SIGTERM: %w", n.id, err))
	}
	time.Sleep(hold)
	j.report(n.start())
	awaitReady(n.admin)
}

func (j *injector) pause(p *process, hold time.Duration) {
	if !j.claim(p) {
		return
	}
	defer j.release(p)
	p.disturb(1)
	defer p.disturb(-1)
	j.report(p.signal(syscall.SIGSTOP))
	time.Sleep(hold)
	j.report(p.signal(syscall.SIGCONT))
}

func (j *injector) cut(p *proxy, f fault) {
	if !j.claim(p) {
		return
	}
	defer j.release(p)
	p.set(f.state)
	time.Sleep(f.hold)
	p.set(passing)
}

// takeOut takes a failure domain out and brings it back. While nodes are down
// a command may fail; the last one must not.
func (j *injector) takeOut(domain string, hold time.Duration) {
	if !j.claim(domains()[0]) { // One domain at a time.
		return
	}
	defer j.release(domains()[0])
	_ = j.world.operate("domain", "out", domain) // Nodes that are down may refuse it.
	time.Sleep(hold)
	_ = j.world.operate("domain", "in", domain) // As above; the end repeats it.
}
