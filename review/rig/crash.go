package main

import (
	"bytes"
	"net/http"
	"sync"
	"time"
)

const (
	crashPause   = 200 * time.Millisecond // Between two sends of the request that crashes workers.
	workerBack   = 2 * time.Second        // After a crash.
	contactTime  = 3 * time.Second        // contactMs.
	lateLimit    = 3                      // Retries that may reach workers later than contactTime after the third crash.
	troubleAfter = 10 * time.Second       // After the third crash.
	crashRunTime = 75 * time.Second       // After the nodes are ready.
	rollPause    = 2 * time.Second        // Between two SIGTERMs of a roll.
)

var crashBody = []byte("the order that crashes its worker")

func init() {
	cases["crash-config"] = func(r *run) (int, error) { return runCrash(r, moveRoute) }
	cases["crash-roll"] = func(r *run) (int, error) { return runCrash(r, rollNodes) }
}

// arrival is the arrival of the crashing request at a worker.
type arrival struct {
	at time.Duration
	id string
}

// crashRun is a run with a request that crashes each worker that begins to run it.
type crashRun struct {
	*run
	env      *environment
	mutex    sync.Mutex
	arrivals []arrival
	sentTo   map[string]*node          // By attempt.
	touched  map[*node][]time.Duration // Starts and signals of each node.
}

func runCrash(r *run, disrupt func(*crashRun)) (int, error) {
	c := &crashRun{run: r, sentTo: map[string]*node{}, touched: map[*node][]time.Duration{}}
	env, err := newEnvironment(r, 8, []string{"qc-a", "qc-b", "qc-c"}, false)
	if err != nil {
		return failed, err
	}
	c.env = env
	defer env.close()
	env.pool.work, env.pool.slots = 15*time.Millisecond, 30 // Six slots and a queue of 24.
	env.pool.onRequest = c.arrive
	for i := range 5 {
		env.pool.start("facturation", zones[i%len(zones)])
		env.pool.start("portail", zones[i%len(zones)])
	}
	env.store.put("op/config", configuration(7, "facturation"))
	if err := env.start(); err != nil {
		return failed, err
	}
	end := time.Now().Add(crashRunTime)
	stop := make(chan struct{})
	var senders sync.WaitGroup
	senders.Add(1)
	go c.sendSound(stop, &senders)
	disrupted := false
	for i := 0; time.Now().Before(end); i++ {
		nodes := env.fleet.inRotation()
		go c.sendCrashing(nodes[i%len(nodes)])
		time.Sleep(crashPause)
		if third := c.third(); r.trouble && !disrupted && third > 0 && r.rec.since() > third+troubleAfter {
			disrupted = true
			go disrupt(c)
		}
	}
	close(stop)
	senders.Wait()
	return c.judge(), nil
}

func (c *crashRun) arrive(w *worker, q *http.Request, body []byte) bool {
	if !bytes.Equal(body, crashBody) {
		return false
	}
	id := q.Header.Get("X-Attempt-Id")
	c.mutex.Lock()
	c.arrivals = append(c.arrivals, arrival{at: c.rec.since(), id: id})
	n := len(c.arrivals)
	c.mutex.Unlock()
	c.rec.add("crashing request %s reaches worker %s of %s and crashes it (arrival %d)", id, w.id, w.service, n)
	time.AfterFunc(workerBack, func() { c.env.pool.start(w.service, w.zone) })
	return true
}

// third returns the time of the third crash, zero if there was none.
func (c *crashRun) third() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.arrivals) < 3 {
		return 0
	}
	return c.arrivals[2].at
}

func (c *crashRun) sendCrashing(n *node) {
	q := request{method: "POST", host: routeHost, path: routePrefix + "2f", id: newID(), headers: []string{"X-Key: " + apiKey}, body: string(crashBody), deadline: 1500 * time.Millisecond}
	c.mutex.Lock()
	c.sentTo[q.id] = n
	c.mutex.Unlock()
	a, err := q.send(n.front)
	c.rec.add("crashing request %s sent to %s: status %d, retry after %q, %v", q.id, n.name, a.status, a.retryAfter, err)
}

// sendSound sends requests that run well beside the crashing one.
func (c *crashRun) sendSound(stop <-chan struct{}, done *sync.WaitGroup) {
	defer done.Done()
	counts := map[int]int{}
	for i := 0; ; i++ {
		select {
		case <-stop:
			c.rec.add("sound requests by status (0: no answer): %v", counts)
			return
		case <-time.After(100 * time.Millisecond):
		}
		nodes := c.env.fleet.inRotation()
		q := request{method: "POST", host: routeHost, path: routePrefix + "2f", id: newID(), headers: []string{"X-Key: " + apiKey}, body: "order " + newID(), deadline: 1500 * time.Millisecond}
		a, err := q.send(nodes[i%len(nodes)].front)
		if err != nil {
			a.status = 0
		}
		counts[a.status]++
	}
}

func (c *crashRun) touch(n *node) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.touched[n] = append(c.touched[n], c.rec.since())
}

// inTouch reports whether nothing had happened to the node for contactTime.
func (c *crashRun) inTouch(n *node, at time.Duration) bool {
	for _, t := range c.touched[n] {
		if t <= at && at < t+contactTime {
			return false
		}
	}
	return true
}

// moveRoute moves the route to another service by a new version of the configuration.
func moveRoute(c *crashRun) {
	c.env.store.put("op/config", configuration(11, "portail"))
	c.rec.add("version 11 of the configuration moves the route from facturation to portail")
}

// rollNodes stops all nodes in turn, each of which starts again.
func rollNodes(c *crashRun) {
	for _, n := range c.env.fleet.nodes {
		go func() {
			c.touch(n)
			n.terminate()
			c.awaitRestart(n)
		}()
		time.Sleep(rollPause)
	}
}

// awaitRestart notes the time at which the next process of a node is ready.
func (c *crashRun) awaitRestart(n *node) {
	starts := n.startCount()
	for n.startCount() == starts {
		time.Sleep(10 * time.Millisecond)
	}
	c.touch(n)
}

func (n *node) startCount() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.starts
}

func (c *crashRun) judge() int {
	third := c.third()
	if third == 0 {
		c.rec.add("fewer than three crashes")
		return failed
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	late := 0
	for i, a := range c.arrivals {
		n := c.sentTo[a.id]
		counts := a.at > third+contactTime && c.inTouch(n, a.at)
		if counts {
			late++
		}
		c.rec.add("arrival %d at %.3f s from %s, counts: %t", i+1, a.at.Seconds(), n.name, counts)
	}
	c.rec.add("third crash at %.3f s; %d retries reached workers later than %s after it, at most %d are allowed", third.Seconds(), late, contactTime, lateLimit)
	if late > lateLimit {
		return broken
	}
	return held
}
