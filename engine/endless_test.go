package engine

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"bergamotworks/flood"
	"bergamotworks/note"
	"bergamotworks/ports"
	"bergamotworks/script"
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
	heap := flood.StartMeter()
	for i := range c.Count {
		r.calls.Add(1)
		go endlessCall{owner: r, number: i}.run()
	}
	r.calls.Wait()
	if most := heap.Stop(); most > flood.MaxHeap {
		t.Errorf("%d calls at once hold %d bytes, want at most %d", c.Count, most, flood.MaxHeap)
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
	return func(w http.ResponseWriter, q *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }() // The client has closed it.
		start := strings.ReplaceAll(c.Start, "{id}", q.Header.Get(HeaderRequestID))
		_, _ = flood.Send(conn, start, c.Repeat) // The client closes the connection.
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
