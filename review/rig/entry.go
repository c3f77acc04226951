package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	entryNodes   = 8
	entryWorkers = 3
	entryCycles  = 4
	entryPause   = 3 * time.Second        // Before a worker leaves.
	entryDelay   = 500 * time.Millisecond // From its removal to the entry of the other writer.
	entryServes  = 8 * time.Second        // The worker goes on serving after it has left.
)

func init() { cases["foreign-entry"] = runEntry }

// entryRun is a run in which workers leave, and another writer then writes an entry with
// missing fields under their identifiers.
type entryRun struct {
	*run
	mutex sync.Mutex
	left  map[*worker]time.Time // Time of the store's confirmation that the entry is removed.
	late  int
	runs  int
}

func runEntry(r *run) (int, error) {
	e := &entryRun{run: r, left: map[*worker]time.Time{}}
	env, err := newEnvironment(r, entryNodes, zones, false)
	if err != nil {
		return failed, err
	}
	defer env.close()
	env.pool.work, env.pool.slots = 15*time.Millisecond, 30 // Six slots and a queue of 24.
	env.pool.onRequest = e.arrive
	var workers []*worker
	for i := range entryWorkers {
		workers = append(workers, env.pool.start("facturation", zones[i%len(zones)]))
	}
	env.store.put("op/config", configuration(7, "facturation"))
	if err := env.start(); err != nil {
		return failed, err
	}
	stop := make(chan struct{})
	var senders sync.WaitGroup
	senders.Add(1)
	go e.send(env, stop, &senders)
	for i := range entryCycles {
		w := workers[i]
		workers = append(workers, env.pool.start(w.service, w.zone)) // Its replacement starts first.
		time.Sleep(entryPause)
		e.leave(w)
		time.Sleep(entryDelay)
		if r.trouble {
			env.store.put("servers/"+w.id, map[string]any{"service": w.service, "addr": w.address, "state": "ready"})
			r.rec.add("another writer writes an entry of %s without zone, version, slots, coldLeftMs, seq and born", w.id)
		}
		time.Sleep(entryServes - entryDelay)
		w.crash()
	}
	close(stop)
	senders.Wait()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r.rec.add("%d requests ran; %d reached a worker later than %s after the store had confirmed that it is gone", e.runs, e.late, drainTime)
	if e.late > 0 {
		return broken, nil
	}
	return held, nil
}

// leave removes the entry of a worker that never reports that it is draining.
func (e *entryRun) leave(w *worker) {
	w.withdraw()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.left[w] = time.Now()
	e.rec.add("worker %s leaves: the store has removed its entry", w.id)
}

func (e *entryRun) arrive(w *worker, q *http.Request, _ []byte) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.runs++
	left, gone := e.left[w]
	if gone && time.Since(left) > drainTime {
		e.late++
		e.rec.add("request %s reaches worker %s %d ms after the store had confirmed that it is gone, and runs", q.Header.Get("X-Attempt-Id"), w.id, time.Since(left).Milliseconds())
	}
	return false
}

func (e *entryRun) send(env *environment, stop <-chan struct{}, done *sync.WaitGroup) {
	defer done.Done()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(sendPause):
		}
		nodes := env.fleet.inRotation()
		q := request{method: "POST", host: routeHost, path: routePrefix + "2f", id: newID(), headers: []string{"X-Key: " + apiKey}, body: "lookup", deadline: 1500 * time.Millisecond}
		go func() { _, _ = q.send(nodes[i%len(nodes)].front) }()
	}
}
