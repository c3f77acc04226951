package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case of a draining worker.
const (
	drainTime       = 2 * time.Second // drainMs.
	drainLinger     = 4 * time.Second // From the report that a worker drains to its end.
	drainReportTime = 150 * time.Millisecond
	drainRounds     = 8
	drainRoundTime  = 12 * time.Second
	drainCalmTime   = 4 * time.Second // At the start of a round.
	slowLeadTime    = time.Second     // For which workers are slow before the crash.
	replaceTime     = 2 * time.Second // From the report to the start of the replacements.
	slowFactor      = 5
	slowShare       = 0.3
	streamInterval  = 50 * time.Millisecond
	streamDeadline  = 8 * time.Second
	streamWorkTime  = 3 * time.Second
	liveModels      = 4
)

// load sends streams until it is stopped.
type load struct {
	world   *world
	stop    chan struct{}
	clients sync.WaitGroup

	mutex   sync.Mutex
	answers map[string]int  // Number by outcome.
	cut     map[string]bool // Identifiers of the streams that have begun and were not completed.
}

func (l *load) run() {
	defer l.clients.Done()
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		case <-time.After(streamInterval):
		}
		l.clients.Add(1)
		go l.send(l.world.nodes[i%len(l.world.nodes)])
	}
}

// send sends one stream to a node.
func (l *load) send(n *node) {
	defer l.clients.Done()
	c, err := dial(n.front())
	if err != nil {
		l.count(answer{}, "no connection")
		return
	}
	part := rand.Uint32()
	a := c.send(call{method: http.MethodPost, path: "/puxa400/2f", deadline: streamDeadline, headers: map[string]string{
		"X-Model": "m", "X-Token-Count": "6300,60", "X-Prefix-Hash": fmt.Sprintf("%08x:2500,%08x:3000,%08x:800", part%4, part, rand.Uint32()),
		"X-Pieces": "1,6,16", "X-Piece-Key": fmt.Sprintf("%012x", rand.Uint64()>>16),
	}})
	_ = c.conn.Close() // The answer has been read.
	outcome := fmt.Sprintf("status %d, complete: %t", a.status, a.whole)
	l.world.record.printf("%s at %s: %s, %d events", a.id, n.name, outcome, strings.Count(a.body, "data:"))
	l.count(a, outcome)
}

func (l *load) count(a answer, outcome string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.answers[outcome]++
	l.cut[a.id] = a.status == http.StatusOK && !a.whole
}

// drainCase is the case of a worker that drains while streams whose worker has crashed wait for
// the results of their stages.
type drainCase struct {
	world   *world
	load    load
	stages  []*worker // Workers of stages that become slow.
	started int       // Number of model workers that were started.
	live    []*worker // Model workers that accept work.
	drained []*worker
}

// runDrain runs the case.
func runDrain(w *world) (int, error) {
	d := &drainCase{world: w, load: load{world: w, stop: make(chan struct{}), answers: make(map[string]int), cut: make(map[string]bool)}}
	if err := d.start(); err != nil {
		return cannotRun, err
	}
	d.load.clients.Add(1)
	go d.load.run()
	for range drainRounds {
		if err := d.round(); err != nil {
			return cannotRun, err
		}
	}
	close(d.load.stop)
	d.load.clients.Wait()
	return d.judge(), nil
}

// start starts the deployment.
func (d *drainCase) start() error {
	w := d.world
	w.config = newConfig()
	w.config.Services = []service{{Name: modelService, HealthPath: "/health", MaxConns: 620, Protocol: "h1"}}
	err := d.addStages("kafi81c", 3, segments{Slots: 1, Queue: 2, Batch: 8, CallMS: 150, ItemMS: 16, HeadroomMB: 39, HandleS: 4, LinkMbps: 10000})
	if err == nil {
		err = d.addStages("lovo22d", 5, segments{Slots: 1, Queue: 2, Batch: 12, CallMS: 150, ItemMS: 11, HeadroomMB: 2, HandleS: 4, LinkMbps: 10000})
	}
	if err == nil {
		err = d.addStages("lohu93e", 5, segments{Slots: 1, Queue: 2, Batch: 30, CallMS: 150, ItemMS: 4.3, HeadroomMB: 0.53, HandleS: 4, LinkMbps: 10000})
	}
	if err != nil {
		return err
	}
	w.config.Routes = []route{{
		Name: "r-1", Host: routeHost, Prefix: "/puxa400/", Kind: "stream", TimeoutMS: 8000, SloMS: 1600, GapMS: 400, Service: modelService, Attempts: 2, Sticky: true, Resumable: true,
		Stages: []stage{{Service: "kafi81c", After: []int{}, Bytes: 8000}, {Service: "lovo22d", After: []int{0}, Bytes: 60000}, {Service: "lohu93e", After: []int{1}, Bytes: 6000}},
	}}
	w.store.put(configEntry, w.config)
	if err := d.addModels(); err != nil {
		return err
	}
	if err := w.startNodes(nodeCount); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// addStages adds a service of stages with its workers.
func (d *drainCase) addStages(name string, count int, limits segments) error {
	d.world.config.Services = append(d.world.config.Services, service{Name: name, HealthPath: "/health", MaxConns: 620, Protocol: "h1", Segments: &limits})
	var workers []*worker
	for i := range count {
		workers = append(workers, &worker{id: fmt.Sprintf("i-%s%02d", name, i), service: name, domain: domains()[i%len(domains())], slots: 1, pieces: &limits})
	}
	for i, v := range workers {
		if float64(i) < slowShare*float64(count) {
			d.stages = append(d.stages, v)
		}
	}
	return d.world.startWorkers(workers)
}

// addModels starts model workers in place of those that have ended or drain.
func (d *drainCase) addModels() error {
	for len(d.live) < liveModels {
		v := &worker{
			id: fmt.Sprintf("i-7f3a%04d", d.started), service: modelService, domain: domains()[d.started%len(domains())], slots: 128,
			workTime: streamWorkTime, events: 11, inputs: true,
		}
		d.started++
		d.live = append(d.live, v)
		if err := d.world.startWorkers([]*worker{v}); err != nil {
			return err
		}
	}
	return nil
}

// slowDown makes three in ten workers of each stage service slow, or ends that.
func (d *drainCase) slowDown(factor int64) {
	for _, v := range d.stages {
		v.slowdown.Store(factor)
	}
	d.world.record.printf("three in ten workers of stages take %d times as long", factor)
}

// round lets a model worker crash beside slow workers of stages, unless there is no trouble,
// and drains another one.
func (d *drainCase) round() error {
	end := time.Now().Add(drainRoundTime)
	time.Sleep(drainCalmTime)
	if d.world.trouble {
		d.slowDown(slowFactor)
	}
	time.Sleep(slowLeadTime)
	if d.world.trouble {
		d.live[0].crash()
		d.live = d.live[1:]
	}
	time.Sleep(drainReportTime)
	leaving := d.live[0]
	d.live = d.live[1:]
	leaving.drain()
	d.drained = append(d.drained, leaving)
	time.Sleep(replaceTime)
	if err := d.addModels(); err != nil {
		return err
	}
	time.Sleep(drainLinger - replaceTime)
	leaving.leave()
	if d.world.trouble {
		d.slowDown(1)
	}
	time.Sleep(time.Until(end))
	return nil
}

// judge returns 1 if requests reached a worker later than drainMs after the confirmation that
// it drains.
func (d *drainCase) judge() int {
	late, lost := 0, 0
	for _, v := range d.drained {
		for _, a := range v.seen() {
			after := a.at.Sub(v.drainedAt)
			if after <= drainTime {
				continue
			}
			late++
			if d.load.cut[a.id] {
				lost++
			}
			d.world.record.say("%s reaches %s %d ms after the confirmation that it drains, Last-Event-Id %q, cut off later: %t", a.id, v.id, after.Milliseconds(), a.from, d.load.cut[a.id])
		}
	}
	for outcome, n := range d.load.answers {
		d.world.record.say("%d streams: %s", n, outcome)
	}
	d.world.record.say("%d requests reached a worker later than drainMs after the confirmation that it drains; %d of these streams were lost", late, lost)
	if late > 0 {
		return 1
	}
	return 0
}
