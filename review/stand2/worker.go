package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	lapseTime    = 3 * heartbeat // Silence after which the entry of a worker is removed.
	modelService = "huvo11a"
)

// arrival is a request that has reached a worker.
type arrival struct {
	id   string
	from string // Last-Event-Id; empty if the run begins.
	at   time.Time
}

// worker is a stand-in for a worker: a model worker, or one that makes the results of stages
// if it has limits for them.
type worker struct {
	id       string
	service  string
	domain   string
	slots    int
	workTime time.Duration // Of a request.
	events   int           // Of a stream; zero means a response with a length.
	pieces   *segments     // Of a worker of stages.
	inputs   bool          // Requests need the results of stages.
	// onBody is called with the identifier and the body of each request; may be nil.
	onBody func(v *worker, id, body string)

	world    *world
	address  string
	born     int64
	server   http.Server
	running  atomic.Int64
	slowdown atomic.Int64 // How many times as long work takes; zero means once.

	mutex     sync.Mutex
	arrivals  []arrival
	draining  bool
	coldUntil time.Time
	drainedAt time.Time // Confirmation of the report that it drains.
	sequence  int
	stopped   chan struct{}
	turn      sync.Mutex // Held by the call of stages that is worked on.
}

// workerEntry is what a worker writes to the store.
type workerEntry struct {
	Service  string  `json:"service"`
	Address  string  `json:"addr"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version"`
	Slots    int     `json:"slots"`
	State    string  `json:"state"`
	ColdLeft float64 `json:"coldLeftMs"`
	Born     int64   `json:"born"`
	Sequence int     `json:"seq"`
}

// startWorkers starts workers and registers them.
func (w *world) startWorkers(list []*worker) error {
	for _, v := range list {
		if err := w.startWorker(v); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) startWorker(v *worker) error {
	listener, err := net.Listen("tcp", net.JoinHostPort(w.ip(workerHost), "0"))
	if err != nil {
		return err
	}
	v.world, v.address, v.born, v.stopped = w, listener.Addr().String(), time.Now().UnixMilli(), make(chan struct{})
	v.server.Handler, v.server.ReadHeaderTimeout, v.server.IdleTimeout = v, time.Minute, time.Minute
	go v.run(listener)
	v.register()
	go v.loopHeartbeat()
	return nil
}

func (v *worker) run(listener net.Listener) { _ = v.server.Serve(listener) } // It returns when the worker ends.

func (v *worker) loopHeartbeat() {
	for {
		select {
		case <-v.stopped:
			return
		case <-time.After(heartbeat):
			v.register()
		}
	}
}

// register writes the entry of the worker and returns the time of the confirmation.
func (v *worker) register() time.Time {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.sequence++
	e := workerEntry{Service: v.service, Address: v.address, Zone: v.domain, Version: "v1", Slots: v.slots, State: "ready", ColdLeft: float64(max(0, time.Until(v.coldUntil).Milliseconds())), Born: v.born, Sequence: v.sequence}
	if v.draining {
		e.State = "draining"
	}
	return v.world.store.put(targetPrefix+v.id, e)
}

// seen returns the requests that have reached the worker.
func (v *worker) seen() []arrival {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return slices.Clone(v.arrivals)
}

// turnCold makes the worker cold for a time, which its entry says, and returns the end.
func (v *worker) turnCold(d time.Duration) time.Time {
	v.mutex.Lock()
	v.coldUntil = time.Now().Add(d)
	until := v.coldUntil
	v.mutex.Unlock()
	v.register()
	return until
}

// drain reports that the worker drains.
func (v *worker) drain() {
	v.mutex.Lock()
	v.draining = true
	v.mutex.Unlock()
	at := v.register()
	v.mutex.Lock()
	v.drainedAt = at
	v.mutex.Unlock()
	v.world.record.printf("%s reports that it drains; confirmed", v.id)
}

// leave ends a worker that has drained, and removes its entry.
func (v *worker) leave() {
	close(v.stopped)
	_ = v.server.Close()
	v.world.store.remove(targetPrefix + v.id)
	v.world.record.printf("%s has left", v.id)
}

// crash ends the worker at once. Its entry lapses later.
func (v *worker) crash() {
	v.world.record.printf("%s crashes with %d requests", v.id, v.running.Load())
	close(v.stopped)
	_ = v.server.Close()
	go v.lapse()
}

func (v *worker) lapse() {
	time.Sleep(lapseTime)
	v.world.store.remove(targetPrefix + v.id)
}

// scaled returns how long work takes now.
func (v *worker) scaled(d time.Duration) time.Duration {
	return d * time.Duration(max(1, v.slowdown.Load()))
}

// ServeHTTP implements [http.Handler].
func (v *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at, h := time.Now(), w.Header()
	h.Set("X-Instance-Id", v.id)
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", v.running.Load(), v.slots))
	if id := r.Header.Get("X-Attempt-Id"); id != "" {
		h.Set("X-Attempt-Id", id)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != v.id {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
	case "/api/report":
		respond(w, map[string]any{"queued": 0, "busy": false, "freeMb": v.freeMB()})
	case "/api/stage-free":
		v.free(w, r)
	case "/api/stage-run":
		v.runPieces(w, r)
	default:
		v.runRequest(w, r, at)
	}
}

// runRequest runs a request of a client.
func (v *worker) runRequest(w http.ResponseWriter, r *http.Request, at time.Time) {
	id, from := r.Header.Get("X-Attempt-Id"), r.Header.Get("Last-Event-Id")
	v.running.Add(1)
	defer v.running.Add(-1)
	v.mutex.Lock()
	v.arrivals = append(v.arrivals, arrival{id: id, from: from, at: at})
	v.mutex.Unlock()
	v.world.record.printf("%s gets %s, Last-Event-Id %q", v.id, id, from)
	if status := v.inputStatus(r); status != http.StatusOK {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if v.onBody != nil {
		v.onBody(v, id, string(body))
	}
	w.Header().Set("X-Response-Seal", v.id+"."+id)
	if v.events > 0 {
		first, _ := strconv.Atoi(from) // Zero if the run begins.
		v.stream(w, r, id, first)
		return
	}
	time.Sleep(v.scaled(v.workTime))
	text := "answer to " + id + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text) //nolint:gosec // No browser reads it.
}

// inputStatus returns the status for a request by the results of stages that it names.
func (v *worker) inputStatus(r *http.Request) int {
	if !v.inputs {
		return http.StatusOK
	}
	list := r.Header.Get("X-Inputs")
	if list == "" {
		return http.StatusBadRequest
	}
	for handle := range strings.SplitSeq(list, ",") {
		if !v.world.results.has(handle) {
			return http.StatusConflict
		}
	}
	return http.StatusOK
}

// stream sends the events of a stream after the given one.
func (v *worker) stream(w http.ResponseWriter, r *http.Request, id string, after int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	for i := after; i < v.events; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(v.scaled(v.workTime) / time.Duration(v.events)):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i+1, id, i+1) //nolint:gosec // As above.
		flusher.Flush()
	}
}
