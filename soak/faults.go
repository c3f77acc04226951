package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// faultKind is a kind of fault.
type faultKind int

const (
	killNode faultKind = iota
	pauseNode
	shutDownNode
	reloadNode
	pauseStore
	disruptStoreLink
	disruptClientLink
	disruptTargetLink
	rejectAtTarget
	abortAtTarget
	drainDomain
	faultKinds // Number of kinds that planFaults draws; planNotices and planRestores draw the others.
	leaveTarget
	askToWait
	restoreStore
)

const (
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
)

// fault is one planned fault.
type fault struct {
	kind     faultKind
	at       time.Duration // Since the start of the load.
	duration time.Duration
	index    int       // Random number that selects the node, target or domain.
	link     linkState // State of the proxy in a fault of a link.
}

func (f fault) String() string {
	names := [...]string{
		"kill node", "pause node", "shut down node", "reload node", "pause store", "disrupt store link", "disrupt client link", "disrupt target link", "reject at target",
		"abort at target", "drain domain", "", "leave", "ask to wait", "restore store",
	}
	return fmt.Sprintf("%s %d at %s for %s (link %d)", names[f.kind], f.index, f.at.Round(time.Millisecond), f.duration.Round(time.Millisecond), f.link)
}

// planFaults returns random faults, which may overlap; perSecond is their mean
// rate.
func planFaults(random *rand.Rand, length time.Duration, perSecond float64) []fault {
	var faults []fault
	for range int(length.Seconds() * perSecond) {
		faults = append(faults, randomFault(random, length))
	}
	return faults
}

func randomFault(random *rand.Rand, length time.Duration) fault {
	return fault{
		kind: faultKind(random.IntN(int(faultKinds))), index: random.IntN(1 << 16),
		at:       time.Duration(random.Int64N(int64(length))),
		duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
		link:     linkState(1 + random.IntN(int(reset))),
	}
}

// noticeShare is the number of notices of targets for each other fault.
const noticeShare = 0.3

// planNotices returns random notices of targets.
func planNotices(random *rand.Rand, length time.Duration, perSecond float64) []fault {
	var faults []fault
	for range int(math.Ceil(length.Seconds() * perSecond * noticeShare)) {
		f := randomFault(random, length)
		f.kind = leaveTarget + faultKind(random.IntN(2))
		faults = append(faults, f)
	}
	return faults
}

// restoresPerMinute is the mean number of restores of the store from a copy.
const restoresPerMinute = 6

// planRestores returns random restores of the store, at least one.
func planRestores(random *rand.Rand, length time.Duration) []fault {
	var faults []fault
	for range max(1, int(math.Round(length.Minutes()*restoresPerMinute))) {
		f := randomFault(random, length)
		f.kind, f.duration = restoreStore, min(f.duration, maxStoreAway)
		faults = append(faults, f)
	}
	return faults
}

// maxStoreAway is the longest time for which the store answers no calls before it comes back
// from a copy.
const maxStoreAway = 800 * time.Millisecond

// injector injects faults concurrently.
type injector struct {
	env *env

	mutex  sync.Mutex
	inUse  map[any]int // Number of active faults by process or proxy; domains()[0] stands for all domains.
	errors []error
}

// run injects one fault and ends it.
func (j *injector) run(ctx context.Context, f fault, done *sync.WaitGroup) {
	defer done.Done()
	select {
	case <-ctx.Done():
		return
	case <-time.After(f.at):
	}
	e := j.env
	n := e.nodes[f.index%len(e.nodes)]
	b := e.targets[f.index%len(e.targets)]
	switch f.kind {
	case killNode:
		j.restart(n, syscall.SIGKILL, f.duration)
	case shutDownNode:
		j.restart(n, syscall.SIGTERM, f.duration)
	case pauseNode:
		j.pause(&n.process, f.duration, syscall.SIGCONT)
	case reloadNode:
		j.recordError(n.signal(syscall.SIGHUP))
	case pauseStore:
		j.pause(e.store, f.duration, syscall.SIGCONT)
	case restoreStore:
		j.pause(e.store, f.duration, syscall.SIGUSR1, syscall.SIGCONT)
	case disruptStoreLink:
		j.disrupt(n.storeProxy, f)
	case disruptClientLink:
		j.disrupt(n.routesProxy, f)
	case disruptTargetLink:
		j.disrupt(b.proxy, f)
	case drainDomain:
		j.drain(b.domain, f.duration)
	case rejectAtTarget, abortAtTarget, leaveTarget, askToWait:
		e.behave(f)
	case faultKinds:
	}
}

// behave lets a target behave differently for a time.
func (e *env) behave(f fault) {
	t := e.targets[f.index%len(e.targets)].target
	switch f.kind {
	case rejectAtTarget:
		hold(&t.rejecting, f.duration)
	case abortAtTarget:
		hold(&t.aborting, f.duration)
	case leaveTarget:
		hold(&e.guest().target.leaving, f.duration)
	case askToWait:
		hold(&t.asking, f.duration)
	}
}

// hold sets a flag for a time.
func hold(flag *atomic.Bool, duration time.Duration) {
	flag.Store(true)
	time.Sleep(duration)
	flag.Store(false)
}

func (j *injector) recordError(err error) {
	if err == nil {
		return
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.errors = append(j.errors, err)
}

// acquire reserves a resource for one fault. It reports false if another fault
// uses it.
func (j *injector) acquire(resource any) bool {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if j.inUse[resource] > 0 {
		return false
	}
	j.inUse[resource]++
	return true
}

func (j *injector) release(resource any) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.inUse[resource]--
}

// restart ends a node and starts it again after a time. After SIGTERM the node
// must exit without an error.
func (j *injector) restart(n *node, s syscall.Signal, duration time.Duration) {
	if !j.acquire(&n.process) {
		return
	}
	defer j.release(&n.process)
	n.addFaults(1)
	defer n.addFaults(-1)
	j.recordError(n.signal(s))
	if err := n.wait(); err != nil && s == syscall.SIGTERM {
		j.recordError(fmt.Errorf("%s exited with an error after SIGTERM: %w", n.id, err))
	}
	time.Sleep(duration)
	j.recordError(n.start())
	awaitReady(n.admin)
}

// pause pauses a process, and sends it the signals at the end.
func (j *injector) pause(p *process, duration time.Duration, end ...syscall.Signal) {
	if !j.acquire(p) {
		return
	}
	defer j.release(p)
	p.addFaults(1)
	defer p.addFaults(-1)
	j.recordError(p.signal(syscall.SIGSTOP))
	time.Sleep(duration)
	for _, v := range end {
		j.recordError(p.signal(v))
	}
}

func (j *injector) disrupt(p *proxy, f fault) {
	if !j.acquire(p) {
		return
	}
	defer j.release(p)
	p.set(f.link)
	time.Sleep(f.duration)
	p.set(passing)
}

// drain runs the commands that drain a failure domain and restore it, and ignores
// their errors, since nodes may be down; restoreDomains repeats the second one
// after the load.
func (j *injector) drain(domain string, duration time.Duration) {
	if !j.acquire(domains()[0]) { // Only one domain is drained at a time.
		return
	}
	defer j.release(domains()[0])
	_ = j.env.runCommand("domain", "out", "-wait=false", domain) // The nodes may be down.
	time.Sleep(duration)
	_ = j.env.runCommand("domain", "in", "-wait=false", domain) // As above.
}
