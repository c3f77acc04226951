package main

import (
	"fmt"
	"net/http"
	"time"
)

// Figures of the case of a configuration.
const (
	applyTime      = 2 * time.Second // applyMs.
	oldVersion     = 7
	newVersion     = 12
	droppedKey     = "4kqd81mvt2ybs0ce7hxz"
	plainService   = "xano55b"
	configRequests = 5 // Of each kind to each node.
	configWait     = 4 * time.Second
)

// plainCall is a request for the plain service.
func plainCall(key string) call {
	return call{method: http.MethodPost, path: "/bobo563/2f", key: key, deadline: 3 * time.Second, body: "order"}
}

// runConfig replaces the configuration by one that drops a key and adds a route, and checks
// whether requests with the key are still run after it must be in force.
func runConfig(w *world) (int, error) {
	w.config = newConfig()
	w.config.Services = []service{{Name: plainService, HealthPath: "/health", MaxConns: 110, Protocol: "h1"}}
	limits := segments{Slots: 1, Queue: 2, Batch: 8, CallMS: 150, ItemMS: 16, HeadroomMB: 39, HandleS: 4, LinkMbps: 10000}
	for _, name := range []string{"kafi81c", "lovo22d"} {
		w.config.Services = append(w.config.Services, service{Name: name, HealthPath: "/health", MaxConns: 620, Protocol: "h1", Segments: &limits})
	}
	w.config.Routes = []route{{Name: "r-1", Host: routeHost, Prefix: "/bobo563/", Kind: "non_idempotent", TimeoutMS: 3000, SloMS: 300, Service: plainService, Attempts: 1, Stages: []stage{}}}
	w.config.Tenants = append(w.config.Tenants, account{Name: "lezu81", Keys: []string{droppedKey}})
	w.store.put(configEntry, w.config)
	var workers []*worker
	for i, d := range domains() {
		workers = append(workers, &worker{id: fmt.Sprintf("i-0bd8%04d", i), service: plainService, domain: d, slots: 6, workTime: 15 * time.Millisecond})
	}
	if err := w.startWorkers(workers); err != nil {
		return cannotRun, err
	}
	if err := w.startNodes(nodeCount); err != nil {
		return cannotRun, err
	}
	time.Sleep(settleTime)
	for _, key := range []string{apiKey, droppedKey} {
		if n := w.countServed(key); n != nodeCount*configRequests {
			return cannotRun, fmt.Errorf("%d requests served before the change", n)
		}
	}
	confirmed := w.changeConfig()
	time.Sleep(configWait)
	w.record.printf("%s after the confirmation", time.Since(confirmed).Round(time.Millisecond))
	kept, dropped := w.countServed(apiKey), w.countServed(droppedKey)
	w.record.say("more than applyMs (%s) after the confirmation of version %d, %d of %d requests with a key that it has were served, and %d of %d with the key that it has dropped",
		applyTime, newVersion, kept, nodeCount*configRequests, dropped, nodeCount*configRequests)
	if dropped > 0 {
		return 1, nil
	}
	return 0, nil
}

// changeConfig writes the new configuration and returns the time of the confirmation. Its
// route has two stages, the one that needs the results of the other listed before it; without
// the trouble it is listed after it.
func (w *world) changeConfig() time.Time {
	next := w.config
	next.Version, next.Tenants = newVersion, next.Tenants[:1]
	stages := []stage{{Service: "lovo22d", After: []int{1}, Bytes: 60000}, {Service: "kafi81c", After: []int{}, Bytes: 8000}}
	if !w.trouble {
		stages = []stage{{Service: "kafi81c", After: []int{}, Bytes: 8000}, {Service: "lovo22d", After: []int{0}, Bytes: 60000}}
	}
	next.Routes = append(next.Routes, route{
		Name: "r-2", Host: routeHost, Prefix: "/puxa400/", Kind: "stream", TimeoutMS: 8000, SloMS: 1600, GapMS: 400, Service: plainService, Attempts: 1, Stages: stages,
	})
	at := w.store.put(configEntry, next)
	w.record.printf("version %d is confirmed", newVersion)
	return at
}

// countServed sends requests with a key to each node and returns how many workers have served.
func (w *world) countServed(key string) int {
	served := 0
	for _, n := range w.nodes {
		for range configRequests {
			c, err := dial(n.front())
			if err != nil {
				w.record.printf("%s: %s", n.name, err)
				continue
			}
			a := c.send(plainCall(key))
			_ = c.conn.Close() // The answer has been read.
			w.record.printf("%s at %s with key %s: status %d, by a worker: %t", a.id, n.name, key, a.status, a.sealed)
			if a.status == http.StatusOK && a.sealed {
				served++
			}
		}
	}
	return served
}
