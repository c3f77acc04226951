package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Figures of the case of cold workers.
const (
	coldPerS       = 12
	coldLimit      = 23 // coldPerS x coldOver + coldSlack.
	coldTime       = 3 * time.Second
	coldNodes      = 3
	burstRequests  = 33 // Of each node.
	burstCount     = 18
	usualInterval  = 40 * time.Millisecond // Between two requests without the burst.
	coldWorkTime   = 300 * time.Millisecond
	coldWindow     = time.Second
	burstPauseTime = 500 * time.Millisecond  // After a cold time.
	coldLeadTime   = 1500 * time.Millisecond // From the turn to the burst; nodes know of it by then.
)

// coldCall is a request for the model. All have the same prompt but for its last part.
func coldCall() call {
	return call{method: http.MethodPost, path: "/puxa400/2f", deadline: 8 * time.Second, headers: map[string]string{
		"X-Model": "m", "X-Token-Count": "1050,80", "X-Prefix-Hash": "5c1e07a2:800,e4402b7d:250",
	}}
}

// runCold sends many requests at once while the workers of a service are cold, and counts what
// each of them gets in one second.
func runCold(w *world) (int, error) {
	w.config = newConfig()
	w.config.Services = []service{{Name: modelService, HealthPath: "/health", MaxConns: 620, Protocol: "h1", ColdS: coldTime.Seconds(), ColdPerS: coldPerS}}
	w.config.Routes = []route{{
		Name: "r-1", Host: routeHost, Prefix: "/puxa400/", Kind: "stream", TimeoutMS: 8000, SloMS: 1700, GapMS: 400, Service: modelService, Attempts: 1, Stages: []stage{}, Sticky: true,
	}}
	w.store.put(configEntry, w.config)
	var workers []*worker
	for i, d := range domains() {
		workers = append(workers, &worker{id: fmt.Sprintf("i-7f3a%04d", i), service: modelService, domain: d, slots: 128, workTime: coldWorkTime, events: 9})
	}
	if err := w.startWorkers(workers); err != nil {
		return cannotRun, err
	}
	if err := w.startNodes(coldNodes); err != nil {
		return cannotRun, err
	}
	time.Sleep(settleTime)
	channels, err := w.openChannels(burstRequests)
	if err != nil {
		return cannotRun, err
	}
	status, served := 0, counter{}
	for range burstCount {
		began, until := time.Now(), turnAllCold(workers)
		w.record.printf("all workers turn cold and say so")
		time.Sleep(coldLeadTime)
		w.sendBurst(channels, &served)
		time.Sleep(time.Until(until.Add(burstPauseTime)))
		status = max(status, judgeCold(w, workers, began, until))
	}
	w.record.say("%d of %d requests were served", served.value(), len(channels)*burstCount)
	return status, nil
}

// turnAllCold makes workers cold and returns when the first one ceases to be.
func turnAllCold(workers []*worker) time.Time {
	var first time.Time
	for _, v := range workers {
		if until := v.turnCold(coldTime); first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first
}

// openChannels opens channels to each node.
func (w *world) openChannels(each int) ([]*channel, error) {
	var channels []*channel
	for range each {
		for _, n := range w.nodes {
			c, err := dial(n.front())
			if err != nil {
				return nil, err
			}
			channels = append(channels, c)
		}
	}
	return channels, nil
}

// sendBurst sends a request on each channel: all at once, or one after the other without the
// trouble. It counts those that were served.
func (w *world) sendBurst(channels []*channel, served *counter) {
	var group sync.WaitGroup
	for _, c := range channels {
		group.Add(1)
		go burstClient{world: w, channel: c, served: served, group: &group}.run()
		if !w.trouble {
			time.Sleep(usualInterval)
		}
	}
	group.Wait()
}

// burstClient sends one request of a burst.
type burstClient struct {
	world   *world
	channel *channel
	served  *counter
	group   *sync.WaitGroup
}

func (b burstClient) run() {
	defer b.group.Done()
	a := b.channel.send(coldCall())
	b.world.record.printf("%s: status %d, complete: %t", a.id, a.status, a.whole)
	if a.status == http.StatusOK && a.whole {
		b.served.add()
	}
}

// counter is a number that several goroutines count up.
type counter struct {
	mutex sync.Mutex
	n     int
}

func (c *counter) add() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.n++
}

func (c *counter) value() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.n
}

// judgeCold returns 1 if a worker got more requests in one second than it may while it is cold.
func judgeCold(w *world, workers []*worker, began, until time.Time) int {
	status := 0
	for _, v := range workers {
		var list []arrival
		for _, a := range v.seen() {
			if a.at.After(began) && a.at.Before(until) {
				list = append(list, a)
			}
		}
		most := mostWithin(list, coldWindow)
		w.record.printf("%s, cold, got at most %d requests in one second", v.id, most)
		if most > coldLimit {
			status = 1
			w.record.say("FAILBACK: %s, cold, got %d requests in one second; the limit is %d", v.id, most, coldLimit)
		}
	}
	return status
}

// mostWithin returns the largest number of arrivals within a time.
func mostWithin(list []arrival, window time.Duration) int {
	slices.SortFunc(list, func(a, b arrival) int { return a.at.Compare(b.at) })
	most, first := 0, 0
	for i := range list {
		for list[i].at.Sub(list[first].at) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
