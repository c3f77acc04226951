package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bergamotworks/engine"
	"bergamotworks/relay"
)

const (
	workTime = 15 * time.Millisecond
	echoed   = "echo:"
)

// witness counts what the targets have run.
type witness struct {
	mutex sync.Mutex
	runs  map[string]int // By the identifier of the caller's attempt.
}

func (w *witness) ran(id string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.runs[id]++
}

// target is a stand-in for one target of an opaque route or of pieces.
type target struct {
	id      string
	address string // That it listens on.
	known   string // That others know it by.
	witness *witness

	server  http.Server
	running sync.WaitGroup
	full    atomic.Bool // It refuses everything.
	failing atomic.Bool // It breaks off the answers of requests that it has run.
	made    atomic.Int64
}

func (t *target) start() error {
	listener, err := net.Listen("tcp", t.address)
	if err != nil {
		return err
	}
	t.server.Handler = t
	t.running.Add(1)
	go t.run(listener)
	return nil
}

// run serves until the target is closed.
func (t *target) run(listener net.Listener) {
	defer t.running.Done()
	_ = t.server.Serve(listener) // It ends with the listener.
}

func (t *target) close() {
	_ = t.server.Close() // The connections end in any case.
	t.running.Wait()
}

// ServeHTTP answers one call.
func (t *target) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	names := relay.DefaultHeaderNames()
	if q.Header.Get(names.Target) != t.id {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if t.full.Load() {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch q.URL.Path {
	case engine.PathPieces:
		t.pieces(w, body)
	case engine.PathRelease:
		_, _ = io.WriteString(w, "{}") // The node does not depend on it.
	case engine.PathFreeCapacity:
		room := int64(roomBytes)
		writeJSON(w, engine.CapacityReport{FreeBytes: &room})
	default:
		t.request(w, q, body)
	}
}

func (t *target) request(w http.ResponseWriter, q *http.Request, body []byte) {
	names := relay.DefaultHeaderNames()
	id := q.Header.Get(names.Request)
	t.witness.ran(id)
	time.Sleep(workTime)
	if t.failing.Load() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(names.Request, id)
	w.Header().Set(names.Seal, t.id)
	_, _ = w.Write(append([]byte(echoed), body...)) // The caller tells what arrived.
}

func (t *target) pieces(w http.ResponseWriter, body []byte) {
	var call engine.PieceCall
	if err := json.Unmarshal(body, &call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(workTime)
	if t.failing.Load() {
		panic(http.ErrAbortHandler)
	}
	answer := engine.PieceResponse{Results: make([]engine.PieceResult, len(call.Pieces))}
	for i := range answer.Results {
		answer.Results[i].Handle = fmt.Sprintf("%s/%d", t.known, t.made.Add(1))
	}
	writeJSON(w, answer)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // A torn answer is one more fault.
}
