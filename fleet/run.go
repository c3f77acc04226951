package fleet

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"bergamotworks/platform"
)

const (
	clientInterval = 60 * time.Millisecond // Between two requests of a client.
	crashInterval  = 150 * time.Millisecond
	drainTime      = 2500 * time.Millisecond // From the word that a target leaves to its end.
)

// Result is what a day has shown.
type Result struct {
	Requests   int
	Served     int
	Violations []Violation
}

// Play runs a day and judges it. It must run in a bubble of testing/synctest. Logs of
// the nodes go to logTo unless it is nil.
func Play(d Day, logTo io.Writer) Result {
	w := newWorld(d, logTo)
	started := time.Now()
	w.until = started.Add(time.Duration(d.Seconds) * time.Second)
	var clients sync.WaitGroup
	for i := range d.Clients {
		clients.Add(1)
		go clientRun{world: w, number: i, done: &clients}.run()
	}
	events := slices.Clone(d.Events)
	slices.SortStableFunc(events, func(a, b Event) int { return a.AtMS - b.AtMS })
	for _, e := range events {
		time.Sleep(time.Until(started.Add(time.Duration(e.AtMS) * time.Millisecond)))
		w.apply(e)
	}
	clients.Wait()
	w.end()
	return w.judge(started)
}

// clientRun is one client over the day.
type clientRun struct {
	world  *World
	number int
	done   *sync.WaitGroup
}

func (r clientRun) run() {
	defer r.done.Done()
	c := &client{world: r.world, host: r.world.network.Host(fmt.Sprintf("10.2.0.%d", r.number+1)), name: fmt.Sprintf("c%d", r.number), conns: make(map[string]*clientConn)}
	defer c.close()
	paths := []string{idempotentPath, orderPath, orderPath, streamPath}
	time.Sleep(time.Duration(r.number) * clientInterval / 7)
	for i := 0; time.Now().Before(r.world.until); i++ {
		c.send(paths[(i+r.number)%len(paths)]+"x", "")
		time.Sleep(clientInterval)
	}
}

// apply begins an event; what ends it follows in the background.
func (w *World) apply(e Event) {
	lasting := time.Duration(e.ForMS) * time.Millisecond
	n := w.nodes[e.Node%len(w.nodes)]
	switch e.Kind {
	case KillNode:
		w.after(0, func() { w.restart(n, (*node).kill, lasting) })
	case StopNode:
		w.after(0, func() { w.restart(n, (*node).stop, lasting) })
	case CutFromStore:
		w.cutFor(lasting, [2]string{n.ip, storeIP}, [2]string{storeIP, n.ip})
	case CutNodes:
		w.cutFor(lasting, [2]string{n.ip, w.nodes[e.Other%len(w.nodes)].ip})
	case SilenceNode, SilenceDomain:
		w.silence(lasting, w.silenced(e.Kind, n)...)
	case ResetNode:
		w.network.Reset(n.ip, "")
	case StoreMoment:
		w.store.SetMode(platform.StoreMode(e.Detail))
		w.after(lasting, func() { w.store.SetMode(platform.StoreUp) })
	case RestoreStore, MoveRoute, WithdrawKey, DrainDomain:
		w.applyStore(e, lasting)
	case CrashRequest:
		w.after(0, func() { w.sendCrashes(e, lasting) })
	case OddEntry:
		w.store.PutOddTarget(fmt.Sprintf("odd-%d", e.Other), e.Other)
	case TargetLeaves, TargetRemoved, TargetSays, TargetDies, TargetReused, TargetFault:
		if t := w.anyTarget(fmt.Sprintf("svc-%d", e.Other%services), e.Other/services); t != nil {
			w.applyTarget(e, t, lasting)
		}
	}
}

// applyStore begins an event in which an operator writes to the store, or in which the store
// loses what was written.
func (w *World) applyStore(e Event, lasting time.Duration) {
	switch e.Kind {
	case RestoreStore:
		held := w.store.Copy()
		w.after(lasting, func() { w.restoreStore(held) })
	case MoveRoute:
		w.moveRoute([]string{idempotentPath, orderPath, streamPath}[e.Other%3])
	case WithdrawKey:
		w.setConfig(w.lastConfig().services, false)
		w.after(lasting, func() { w.setConfig(w.lastConfig().services, true) })
	case DrainDomain:
		w.drainDomain(fmt.Sprintf("z%d", e.Other%domainCount), drainDomainBound+lasting)
	}
}

// applyTarget begins an event of a target.
func (w *World) applyTarget(e Event, t *target, lasting time.Duration) {
	switch e.Kind {
	case TargetLeaves:
		w.recordDeparture(t, w.store.PutTarget(t.entry(true), 2))
		w.after(drainTime, func() { w.endTarget(t) })
	case TargetRemoved:
		w.recordDeparture(t, w.store.RemoveTarget(t.id))
		w.after(drainTime, func() { w.endTarget(t) })
	case TargetSays:
		t.setLeaving()
		w.after(lasting, func() {
			w.recordDeparture(t, w.store.PutTarget(t.entry(true), 2))
			time.Sleep(drainTime)
			w.endTarget(t)
		})
	case TargetDies:
		w.endTarget(t)
	case TargetReused:
		w.dropTarget(t)
		t.end()
		t.running.Wait()
		w.addTarget(t.service, t.address)
		w.after(crashNoticed, func() { w.store.RemoveTarget(t.id) })
		return
	default:
		t.setFault(Fault(e.Detail))
		w.after(lasting, func() { t.setFault(NoFault) })
		return
	}
	w.after(crashReplaced, func() { w.addTarget(t.service, "") })
}

// endTarget ends the process of a target; its entry follows.
func (w *World) endTarget(t *target) {
	w.dropTarget(t)
	t.end()
	w.after(crashNoticed, func() { w.store.RemoveTarget(t.id) })
}

func (w *World) restart(n *node, end func(*node), wait time.Duration) {
	n.mutex.Lock()
	running := n.process != nil && !n.process.ending
	n.mutex.Unlock()
	if !running {
		return
	}
	end(n)
	time.Sleep(wait)
	n.start()
}

func (w *World) cutFor(d time.Duration, pairs ...[2]string) {
	for _, p := range pairs {
		w.network.Cut(p[0], p[1], true)
	}
	w.after(d, func() {
		for _, p := range pairs {
			w.network.Cut(p[0], p[1], false)
		}
	})
}

// silence cuts nodes off from the store and all other nodes. Their clients and targets
// still reach them.
func (w *World) silence(d time.Duration, nodes ...*node) {
	var pairs [][2]string
	for _, n := range nodes {
		pairs = append(pairs, [2]string{n.ip, storeIP}, [2]string{storeIP, n.ip})
		for _, o := range w.nodes {
			if o != n {
				pairs = append(pairs, [2]string{n.ip, o.ip}, [2]string{o.ip, n.ip})
			}
		}
	}
	w.cutFor(d, pairs...)
}

// silenced returns the nodes that an event cuts off: a node, or all of its failure
// domain.
func (w *World) silenced(k Kind, n *node) []*node {
	var list []*node
	for _, o := range w.nodes {
		if o == n || k == SilenceDomain && o.domain() == n.domain() {
			list = append(list, o)
		}
	}
	return list
}

func (w *World) lastConfig() configChange {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.configs[len(w.configs)-1]
}

func (w *World) moveRoute(path string) {
	c := w.lastConfig()
	moved := make(map[string]string)
	for p, s := range c.services {
		moved[p] = s
	}
	if moved[path] == "svc-0" {
		moved[path] = "svc-1"
	} else {
		moved[path] = "svc-0"
	}
	w.setConfig(moved, c.key)
}

func (w *World) drainDomain(domain string, d time.Duration) {
	w.mutex.Lock()
	number := len(w.drained)
	if slices.ContainsFunc(w.drained, func(e drainedDomain) bool { return e.domain == domain && e.to.IsZero() }) {
		w.mutex.Unlock()
		return
	}
	at := w.store.DrainDomain(domain, true)
	w.drained = append(w.drained, drainedDomain{domain: domain, from: at})
	w.mutex.Unlock()
	w.after(d, func() {
		at := w.store.DrainDomain(domain, false)
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.drained[number].to = at
	})
}

// sendCrashes repeats a request that crashes its target.
func (w *World) sendCrashes(e Event, d time.Duration) {
	c := &client{world: w, host: w.network.Host("10.2.1.1"), name: fmt.Sprintf("crash%d", e.AtMS), conns: make(map[string]*clientConn)}
	defer c.close()
	body := fmt.Sprintf("%s%d", crashBody, e.AtMS)
	for until := time.Now().Add(d); time.Now().Before(until) && time.Now().Before(w.until); time.Sleep(crashInterval) {
		c.send(orderPath+"crash", body)
	}
}
