package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp/fasthttputil"

	"bergamotworks/fault"
	"bergamotworks/flow"
	"bergamotworks/note"
	"bergamotworks/ports"
	"bergamotworks/script"
)

// exchange is one scripted request and the expected response.
type exchange struct {
	Method  string            `json:"method"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Padding int               `json:"padding"` // Number of spaces appended to the body.

	FlowError    *fault.Error `json:"refusal"` // Error that the flow returns.
	Chunks       []flow.Chunk `json:"chunks"`
	NotAccepting string       `json:"closed"` // Reason why the node accepts no new requests; empty if it does.

	Status       int    `json:"status"`
	Kind         string `json:"kind"`
	Verdict      string `json:"verdict"`
	Field        string `json:"field"`
	RetryAfter   string `json:"retry_after"`
	FlowRequests int    `json:"served"` // Number of requests that reached the flow.
	Text         string `json:"text"`   // Whole body, unless it is a problem document.
}

// result is the response that the client receives.
type result struct {
	Status                           int
	Kind, Verdict, Field, RetryAfter string
	FlowRequests                     int
	Text                             string
}

func TestExchange(t *testing.T) {
	script.Run(t, "testdata/*.json", func(t *testing.T, data exchange) {
		f := &fakeFlow{err: data.FlowError, chunks: data.Chunks}
		listener := serve(t, f, data.NotAccepting)
		got := send(t, listener, data)
		got.FlowRequests = f.requests
		want := result{data.Status, data.Kind, data.Verdict, data.Field, data.RetryAfter, data.FlowRequests, data.Text}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	})
}

// fakeFlow responds to each request with its chunks and the request's input, or
// with an error.
type fakeFlow struct {
	err      *fault.Error
	chunks   []flow.Chunk
	requests int
}

func (f *fakeFlow) Serve(_ context.Context, request flow.Request, onChunk func(flow.Chunk)) (flow.Response, error) {
	f.requests++
	for _, c := range f.chunks {
		onChunk(c)
	}
	if f.err != nil {
		return flow.Response{}, f.err
	}
	return flow.Response{RequestID: "r", Output: request.Input}, nil
}

func serve(t *testing.T, f Flow, notAccepting string) *fasthttputil.InmemoryListener {
	t.Helper()
	listener := fasthttputil.NewInmemoryListener()
	log := logrus.New()
	log.SetOutput(io.Discard)
	accepting := func() error {
		if notAccepting != "" {
			return fault.New(fault.Unavailable, fault.NotRun, "%s", notAccepting)
		}
		return nil
	}
	s := &runner{Server: Server{
		Listener: listener, Flow: f, Config: testConfig, Ready: accepting, Accepts: accepting,
		KeyTime: func(string, string) (time.Time, error) { return time.Unix(1, 0), nil },
		Clock:   ports.SystemClock{}, Random: zeroRandom{}, Log: logrus.NewEntry(log), Metrics: metrics.NewSet(),
	}, done: make(chan struct{})}
	go s.run()
	t.Cleanup(func() {
		_ = s.Close()
		<-s.done
	})
	return listener
}

type runner struct {
	Server
	done chan struct{}
}

func (r *runner) run() {
	defer close(r.done)
	_ = r.Run(context.Background())
}

type zeroRandom struct{}

func (zeroRandom) Uint64() uint64 { return 0 }

func testConfig() note.Config {
	return note.Config{Revision: 1, Sections: note.Sections{
		Services: map[string]note.Service{"stock": {}, "llm": {Kind: note.Generate}},
		Pipelines: map[string]note.Pipeline{
			"lookup": {Stages: []note.Stage{{Name: "look", Service: "stock", Idempotent: true}}, TimeoutMS: 1000},
			"order":  {Stages: []note.Stage{{Name: "book", Service: "stock"}}, TimeoutMS: 1000},
			"review": {Stages: []note.Stage{{Name: "write", Service: "llm", Idempotent: true}}, TimeoutMS: 1000},
		},
		Accounts: map[string]note.ClientAccount{
			"roofer": {},
			// The hash of the key "secret".
			"guarded": {KeyHash: "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"},
		},
		Limits: map[string]note.Limits{"system": {MaxBodyBytes: 200}},
	}}
}

func send(t *testing.T, listener *fasthttputil.InmemoryListener, data exchange) result {
	t.Helper()
	text := append([]byte(data.Body), bytes.Repeat([]byte(" "), data.Padding)...)
	request, err := http.NewRequestWithContext(t.Context(), data.Method, "http://node"+data.Path, bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range data.Headers {
		request.Header.Set(k, v)
	}
	client := http.Client{Transport: &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) { return listener.Dial() },
	}}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	got := result{Status: response.StatusCode, RetryAfter: response.Header.Get("Retry-After")}
	var p Problem
	if response.Header.Get("Content-Type") != "application/problem+json" {
		got.Text = string(body)
		return got
	}
	if err := json.Unmarshal(body, &p); err != nil {
		t.Fatal(err)
	}
	got.Kind, got.Verdict, got.Field = p.Kind.String(), p.Verdict.String(), p.Field
	return got
}
