package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	drainTime     = 2 * time.Second         // drainMs.
	cutTime       = 2500 * time.Millisecond // Length of one cut.
	cutPause      = 2500 * time.Millisecond // From the end of a cut to the start of the next one.
	servesFurther = 6 * time.Second         // After the entry of a worker was removed.
	drainNodes    = 12
	drainCycles   = 20
	drainWorkers  = 4
	sendPause     = 20 * time.Millisecond
)

var drainZones = []string{"port-louis", "curepipe", "riche-terre", "mahebourg"}

// withdrawals are the times, relative to the end of a cut, at which a worker leaves.
var withdrawals = []time.Duration{-1100 * time.Millisecond, -500 * time.Millisecond, 100 * time.Millisecond}

func init() { cases["drain-cut"] = runDrain }

// drainRun is a run in which workers leave while single nodes are cut off from the
// store in turn.
type drainRun struct {
	*run
	env    *environment
	mutex  sync.Mutex
	sentTo map[string]*node
	left   map[*worker]time.Time // Time of the store's confirmation that the entry is removed.
	cuts   map[*node][]time.Time // Begin and end of each cut.
	late   int
	runs   int
}

func runDrain(r *run) (int, error) {
	d := &drainRun{run: r, sentTo: map[string]*node{}, left: map[*worker]time.Time{}, cuts: map[*node][]time.Time{}}
	env, err := newEnvironment(r, drainNodes, drainZones, true)
	if err != nil {
		return failed, err
	}
	d.env = env
	defer env.close()
	env.pool.work, env.pool.slots = 15*time.Millisecond, 30 // Six slots and a queue of 24.
	env.pool.onRequest = d.arrive
	for i := range drainWorkers {
		env.pool.start("facturation", drainZones[i%len(drainZones)])
	}
	env.store.put("op/config", configuration(7, "facturation"))
	if err := env.start(); err != nil {
		return failed, err
	}
	stop := make(chan struct{})
	var senders sync.WaitGroup
	senders.Add(1)
	go d.send(stop, &senders)
	for range drainCycles {
		d.cycle()
	}
	time.Sleep(cutPause)
	close(stop)
	senders.Wait()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	r.rec.add("%d requests ran; %d reached a worker later than %s after the store had confirmed that it is gone", d.runs, d.late, drainTime)
	if d.late > 0 {
		return broken, nil
	}
	return held, nil
}

// cycle cuts the node off from the store that has read the list of workers last, and
// lets workers leave around the end of the cut.
func (d *drainRun) cycle() {
	began := time.Now()
	at := d.lastReader()
	d.setCut(at, true)
	var leaving []*worker
	d.mutex.Lock()
	for _, w := range d.env.pool.all {
		if _, gone := d.left[w]; !gone && len(leaving) < len(withdrawals) {
			leaving = append(leaving, w)
		}
	}
	d.mutex.Unlock()
	for _, w := range leaving { // Their replacements start first.
		d.env.pool.start(w.service, w.zone)
	}
	end := began.Add(cutTime)
	healed := false
	for i, w := range leaving {
		if withdrawals[i] > 0 {
			time.Sleep(time.Until(end))
			d.setCut(at, false)
			healed = true
		}
		time.Sleep(time.Until(end.Add(withdrawals[i])))
		d.leave(w)
	}
	if !healed {
		time.Sleep(time.Until(end))
		d.setCut(at, false)
	}
	time.Sleep(time.Until(end.Add(cutPause)))
}

// lastReader returns the index of the node that has read the list of workers last.
func (d *drainRun) lastReader() int {
	last := 0
	for i, p := range d.env.proxies {
		if p.lastList().After(d.env.proxies[last].lastList()) {
			last = i
		}
	}
	return last
}

func (d *drainRun) setCut(at int, cut bool) {
	if !d.trouble {
		return
	}
	n := d.env.fleet.nodes[at]
	d.mutex.Lock()
	d.cuts[n] = append(d.cuts[n], time.Now())
	d.mutex.Unlock()
	d.env.proxies[at].setCut(cut)
	d.rec.add("%s cut off from the store: %t", n.name, cut)
}

// leave removes the entry of a worker, which then goes on serving for a while.
func (d *drainRun) leave(w *worker) {
	w.withdraw()
	d.mutex.Lock()
	d.left[w] = time.Now()
	d.mutex.Unlock()
	d.rec.add("worker %s leaves: the store has removed its entry", w.id)
	time.AfterFunc(servesFurther, w.crash)
}

func (d *drainRun) arrive(w *worker, q *http.Request, _ []byte) bool {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.runs++
	left, gone := d.left[w]
	if !gone || now.Sub(left) <= drainTime {
		return false
	}
	n := d.sentTo[q.Header.Get("X-Attempt-Id")]
	inTouch := d.inTouch(n, now)
	if inTouch {
		d.late++
	}
	d.rec.add("request %s reaches worker %s %d ms after the store had confirmed that it is gone, from %s, in touch: %t",
		q.Header.Get("X-Attempt-Id"), w.id, now.Sub(left).Milliseconds(), n.name, inTouch)
	return false
}

// inTouch reports whether the node had a path to the store for contactTime.
func (d *drainRun) inTouch(n *node, at time.Time) bool {
	marks := d.cuts[n]
	if len(marks)%2 == 1 {
		return false
	}
	return len(marks) == 0 || at.Sub(marks[len(marks)-1]) >= contactTime
}

func (d *drainRun) send(stop <-chan struct{}, done *sync.WaitGroup) {
	defer done.Done()
	var mutex sync.Mutex
	counts := map[int]int{}
	for i := 0; ; i++ {
		select {
		case <-stop:
			mutex.Lock()
			defer mutex.Unlock()
			d.rec.add("requests by status (0: no answer): %v", counts)
			return
		case <-time.After(sendPause):
		}
		nodes := d.env.fleet.inRotation()
		n := nodes[i%len(nodes)]
		q := request{method: "POST", host: routeHost, path: routePrefix + "2f", id: newID(), headers: []string{"X-Key: " + apiKey}, body: "lookup", deadline: 1500 * time.Millisecond}
		d.mutex.Lock()
		d.sentTo[q.id] = n
		d.mutex.Unlock()
		go func() {
			a, err := q.send(n.front)
			if err != nil {
				a.status = 0
			}
			mutex.Lock()
			counts[a.status]++
			mutex.Unlock()
		}()
	}
}
