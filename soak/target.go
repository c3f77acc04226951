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
	workTime   = 15 * time.Millisecond
	echoPrefix = "echo:"
)

// runCounter counts the runs of requests at the targets.
type runCounter struct {
	mutex   sync.Mutex
	runs    map[string]int // By the identifier of the client's request.
	crashes []time.Time    // Of targets, by requests.
}

func (c *runCounter) record(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.runs[id]++
}

// target is a stand-in for a target that serves opaque requests and pieces.
type target struct {
	id           string
	address      string // Address to listen on.
	proxyAddress string // Address of its proxy, which the nodes use.
	runs         *runCounter

	server     http.Server
	running    sync.WaitGroup
	rejecting  atomic.Bool // Reject all calls.
	aborting   atomic.Bool // Close connections instead of responding after a run.
	leaving    atomic.Bool // Say in all responses that the target leaves.
	asking     atomic.Bool // Reject all calls and ask to wait.
	notices    noticeLog
	lastResult atomic.Int64
	crashCount atomic.Int64
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
	_ = t.server.Serve(listener) // It returns an error when the server is closed.
}

func (t *target) close() {
	_ = t.server.Close() // Requests in flight may be lost.
	t.running.Wait()
}

// serve serves one call that the target does not reject with a time to wait.
func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	names := relay.DefaultHeaderNames()
	if r.Header.Get(names.Target) != t.id {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if t.rejecting.Load() {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case engine.PathPieces:
		t.servePieces(w, body)
	case engine.PathRelease:
		_, _ = io.WriteString(w, "{}") // The node ignores the body.
	case engine.PathFreeCapacity:
		capacity := int64(resultCapacityBytes)
		writeJSON(w, engine.CapacityReport{FreeBytes: &capacity})
	default:
		t.serveRequest(w, r, body)
	}
}

func (t *target) serveRequest(w http.ResponseWriter, r *http.Request, body []byte) {
	names := relay.DefaultHeaderNames()
	id := r.Header.Get(names.Request)
	t.runs.record(id)
	crashCount := t.crashCount.Load()
	time.Sleep(workTime)
	if crashes(r) {
		t.crash()
	}
	if t.aborting.Load() || t.crashCount.Load() != crashCount {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(names.Request, id)
	w.Header().Set(names.Seal, t.id)
	_, _ = w.Write(append([]byte(echoPrefix), body...)) // The client checks what arrived.
}

func (t *target) servePieces(w http.ResponseWriter, body []byte) {
	var call engine.PieceCall
	if err := json.Unmarshal(body, &call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(workTime)
	if t.aborting.Load() {
		panic(http.ErrAbortHandler)
	}
	response := engine.PieceResponse{Results: make([]engine.PieceResult, len(call.Pieces))}
	for i := range response.Results {
		response.Results[i].Handle = fmt.Sprintf("%s/%d", t.proxyAddress, t.lastResult.Add(1))
	}
	writeJSON(w, response)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // A broken response is one more fault.
}
