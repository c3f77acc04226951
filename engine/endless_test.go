package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"testing"

	"bergamotworks/note"
	"bergamotworks/ports"
	"bergamotworks/script"
)

const (
	// maxEndlessHeap is the most memory in bytes that calls to endless targets may hold,
	// a third of that of the smallest machine.
	maxEndlessHeap    = 184_000_000 / 3
	endlessBlockBytes = 32 << 10 // Of one write of an endless target.
)

// endlessCase is a response without an end, to many calls at once.
type endlessCase struct {
	Call   string `json:"call"`  // The kind of the call: rerank, generate, load or cache_events.
	Count  int    `json:"count"` // Calls at once.
	Start  string `json:"start"` // "{id}" stands for the identifier of the attempt.
	Repeat string `json:"repeat"`
}

// TestManyEndlessResponsesAtOnce guards against targets that send bytes without end to
// many calls at once and exhaust the memory of the node.
func TestManyEndlessResponsesAtOnce(t *testing.T) {
	script.Run(t, "testdata/endless/*.json", func(t *testing.T, cases map[string]endlessCase) {
		for name, c := range cases {
			t.Run(name, func(t *testing.T) { testEndless(t, c) })
		}
	})
}

func testEndless(t *testing.T, c endlessCase) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // The server ends in either case.
	server := &http.Server{Handler: endlessHandler(c)}
	go endlessServer{server: server, listener: listener}.run()
	defer func() { _ = server.Close() }() // The calls have ended.
	r := &endlessRun{t: t, spec: c, address: listener.Addr().String(), client: &Client{Network: ports.SystemNetwork{}, Clock: ports.SystemClock{}}}
	for i := range c.Count {
		r.calls.Add(1)
		go endlessCall{owner: r, number: i}.run()
	}
	if most := r.measure(); most > maxEndlessHeap {
		t.Errorf("%d calls at once hold %d bytes, want at most %d", c.Count, most, maxEndlessHeap)
	}
	if used := r.client.buffers.Used(); used != 0 {
		t.Errorf("%d bytes are in use in the end", used)
	}
}

// endlessServer serves until it is closed.
type endlessServer struct {
	server   *http.Server
	listener net.Listener
}

func (s endlessServer) run() { _ = s.server.Serve(s.listener) } // It ends with an error when it is closed.

// endlessHandler writes the response to the connection itself.
func endlessHandler(c endlessCase) http.HandlerFunc {
	block := []byte(strings.Repeat(c.Repeat, 1+endlessBlockBytes/len(c.Repeat)))
	return func(w http.ResponseWriter, q *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }() // The client has closed it.
		out := bufio.NewWriterSize(conn, endlessBlockBytes)
		_, err = io.WriteString(out, strings.ReplaceAll(c.Start, "{id}", q.Header.Get(HeaderRequestID)))
		for err == nil {
			_, err = out.Write(block)
		}
	}
}

// endlessRun is the calls of one case.
type endlessRun struct {
	t       *testing.T
	spec    endlessCase
	address string
	client  *Client
	calls   sync.WaitGroup
}

// measure returns the most bytes of live objects until all calls have ended.
func (r *endlessRun) measure() uint64 {
	done := make(chan struct{})
	go endlessWait{calls: &r.calls, done: done}.run()
	var most uint64
	for {
		runtime.GC()
		live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
		metrics.Read(live)
		most = max(most, live[0].Value.Uint64())
		select {
		case <-done:
			return most
		default:
		}
	}
}

// endlessWait closes done when all calls have ended.
type endlessWait struct {
	calls *sync.WaitGroup
	done  chan struct{}
}

func (w endlessWait) run() {
	w.calls.Wait()
	close(w.done)
}

// endlessCall is one of the calls at once.
type endlessCall struct {
	owner  *endlessRun
	number int
}

func (c endlessCall) run() {
	r := c.owner
	defer r.calls.Done()
	if err := c.send(); err == nil || r.t.Context().Err() != nil {
		r.t.Errorf("error %v of call %d, want one before the test ends", err, c.number)
	}
}

func (c endlessCall) send() error {
	r, ctx := c.owner, c.owner.t.Context()
	var err error
	switch r.spec.Call {
	case "load":
		_, err = r.client.Load(ctx, "t", r.address)
	case "cache_events":
		_, err = r.client.CacheEvents(ctx, "t", r.address, 0)
	default:
		call := Call{Target: "t", Address: r.address, Kind: note.Rerank, Attempt: fmt.Sprintf("a%d", c.number), Idempotent: true, Input: json.RawMessage("{}")}
		if r.spec.Call == "generate" {
			call.Kind = note.Generate
		}
		_, err = r.client.Do(ctx, call, nil)
	}
	return err
}
