package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Figures of the case of a request that crashes workers.
const (
	poisonBody       = "the order that crashes workers"
	contactTime      = 3 * time.Second // contactMs.
	poisonInterval   = 500 * time.Millisecond
	poisonBackoff    = 5 * time.Second // After a connection that could not be made.
	poisonWorkers    = 5
	poisonAfterThird = 30 * time.Second // From the third crash to the kill.
	poisonObserved   = 35 * time.Second // After the kill.
	poisonThirdLimit = 20 * time.Second
	poisonRetries    = 3 // That may reach workers.
	downTime         = time.Second
	workerBackTime   = 2 * time.Second
	soundInterval    = 50 * time.Millisecond
	soundWorkTime    = 60 * time.Millisecond
)

// crash is the arrival of the request at a worker, which has crashed by it.
type crash struct {
	at time.Time
	up time.Duration // Time for which the machine that sent the request had run.
}

// poisonCase is the case of a request that crashes workers while all nodes are killed.
type poisonCase struct {
	world *world
	stop  chan struct{}
	group sync.WaitGroup

	mutex   sync.Mutex
	started int                  // Number of workers that were started.
	running map[string]time.Time // Start of the machine to which a request was sent, by its identifier.
	crashes []crash
	lost    int // Sound requests that ran and got no answer of a worker.
}

// runPoison runs the case.
func runPoison(w *world) (int, error) {
	p := &poisonCase{world: w, stop: make(chan struct{}), running: make(map[string]time.Time)}
	w.config = newConfig()
	w.config.Services = []service{{Name: plainService, HealthPath: "/health", MaxConns: 110, Protocol: "h1"}}
	w.config.Routes = []route{{Name: "r-1", Host: routeHost, Prefix: "/bobo563/", Kind: "non_idempotent", TimeoutMS: 1500, SloMS: 300, Service: plainService, Attempts: 1, Stages: []stage{}}}
	w.store.put(configEntry, w.config)
	for range poisonWorkers {
		if err := p.addWorker(); err != nil {
			return cannotRun, err
		}
	}
	if err := w.startNodes(nodeCount); err != nil {
		return cannotRun, err
	}
	time.Sleep(settleTime)
	p.group.Add(2)
	go p.runPoison()
	go p.runSound()
	third, err := p.awaitThird()
	if err != nil {
		return cannotRun, err
	}
	time.Sleep(time.Until(third.Add(poisonAfterThird)))
	if w.trouble {
		if err := p.killAll(); err != nil {
			return cannotRun, err
		}
	}
	time.Sleep(poisonObserved)
	close(p.stop)
	p.group.Wait()
	return p.judge(third), nil
}

// addWorker starts a worker that ends when it gets the request.
func (p *poisonCase) addWorker() error {
	p.mutex.Lock()
	v := &worker{id: fmt.Sprintf("i-0bd8%04d", p.started), service: plainService, domain: domains()[p.started%len(domains())], slots: 6, workTime: soundWorkTime, onBody: p.received}
	p.started++
	p.mutex.Unlock()
	return p.world.startWorkers([]*worker{v})
}

// received lets a worker crash if a request has the body that crashes workers.
func (p *poisonCase) received(v *worker, id, body string) {
	if body != poisonBody {
		return
	}
	p.mutex.Lock()
	p.crashes = append(p.crashes, crash{at: time.Now(), up: time.Since(p.running[id])})
	p.mutex.Unlock()
	v.crash()
	go p.runBack()
}

// runBack starts a worker in place of one that has crashed.
func (p *poisonCase) runBack() {
	time.Sleep(workerBackTime)
	if err := p.addWorker(); err != nil {
		p.world.record.say("no worker in place of one that has crashed: %s", err)
	}
}

// stopped waits, and reports whether the case has ended.
func (p *poisonCase) stopped(wait time.Duration) bool {
	select {
	case <-p.stop:
		return true
	case <-time.After(wait):
		return false
	}
}

// runPoison sends the request again and again, at the nodes in turn.
func (p *poisonCase) runPoison() {
	defer p.group.Done()
	wait := poisonInterval
	for i := 0; !p.stopped(wait); i++ {
		wait = poisonInterval
		n := p.world.nodes[i%len(p.world.nodes)]
		c, err := dial(n.front())
		if err != nil {
			wait = poisonBackoff
			continue
		}
		id := newID()
		p.mutex.Lock()
		p.running[id] = n.startedAt
		p.mutex.Unlock()
		a := c.sendAs(id, call{method: http.MethodPost, path: "/bobo563/2f", deadline: 1500 * time.Millisecond, body: poisonBody})
		_ = c.conn.Close() // The answer has been read.
		p.world.record.printf("the request as %s at %s: status %d", id, n.name, a.status)
	}
}

// runSound sends other requests.
func (p *poisonCase) runSound() {
	defer p.group.Done()
	for i := 0; !p.stopped(soundInterval); i++ {
		p.group.Add(1)
		go p.runOrder(p.world.nodes[i%len(p.world.nodes)], fmt.Sprintf("order %d", i))
	}
}

// runOrder sends one of the other requests.
func (p *poisonCase) runOrder(n *node, body string) {
	defer p.group.Done()
	c, err := dial(n.front())
	if err != nil {
		return
	}
	a := c.send(call{method: http.MethodPost, path: "/bobo563/7a", deadline: 1500 * time.Millisecond, body: body})
	_ = c.conn.Close() // The answer has been read.
	p.world.record.printf("%s at %s: status %d, by a worker: %t", a.id, n.name, a.status, a.sealed)
	if a.status == http.StatusBadGateway {
		p.mutex.Lock()
		p.lost++
		p.mutex.Unlock()
	}
}

// awaitThird waits for the third crash and returns its time.
func (p *poisonCase) awaitThird() (time.Time, error) {
	for limit := time.Now().Add(poisonThirdLimit); time.Now().Before(limit); time.Sleep(readyPause) {
		p.mutex.Lock()
		crashes := p.crashes
		p.mutex.Unlock()
		if len(crashes) >= 3 {
			return crashes[2].at, nil
		}
	}
	return time.Time{}, fmt.Errorf("fewer than three crashes")
}

// killAll kills all nodes at the same moment and starts them again.
func (p *poisonCase) killAll() error {
	w := p.world
	for _, n := range w.nodes {
		n.signal(syscall.SIGKILL)
	}
	w.record.say("all machines are killed")
	time.Sleep(downTime)
	for _, n := range w.nodes {
		<-n.exited
		p.mutex.Lock()
		err := n.start(w.binary)
		p.mutex.Unlock()
		if err != nil {
			return err
		}
	}
	w.record.printf("all machines start again")
	return nil
}

// judge returns 1 if the request has reached workers in more retries than it may, sent by
// machines in touch later than contactMs after the third crash.
func (p *poisonCase) judge(third time.Time) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	late := 0
	for _, c := range p.crashes {
		counts := c.at.After(third.Add(contactTime)) && c.up >= contactTime
		if counts {
			late++
		}
		p.world.record.say("a worker crashes %.1f s after the third crash, by a machine that had run for %.1f s; counts: %t", c.at.Sub(third).Seconds(), c.up.Seconds(), counts)
	}
	p.world.record.say("%d retries reached workers, %d may; %d other orders ended with 502", late, poisonRetries, p.lost)
	if late > poisonRetries {
		return 1
	}
	return 0
}
