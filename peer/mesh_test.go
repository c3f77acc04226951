package peer

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/ports"
	"bergamotworks/script"
)

// exchange is a scripted call between two nodes.
type exchange struct {
	Method  string `json:"method"`
	Address string `json:"address"` // Replaces the server's address.
	Silent  bool   `json:"silent"`  // The server's side goes silent after the call was sent.
	// WriteFails says that writing to the server fails half-way.
	WriteFails bool           `json:"write_fails"`
	Give       string         `json:"give"`
	Want       string         `json:"want"`
	Chunks     []string       `json:"chunks"`
	Kind       *fault.Kind    `json:"kind"`
	Verdict    *fault.Verdict `json:"verdict"`
}

func TestExchange(t *testing.T) {
	script.Run(t, "testdata/*.json", func(t *testing.T, data exchange) {
		server := newMesh(t, "b", "")
		address := server.Listener.Addr().String()
		if data.Address != "" {
			address = data.Address
		}
		client := newMesh(t, "a", address)
		if data.Silent {
			client.Network = silentNetwork{}
		}
		if data.WriteFails {
			client.Network = failingNetwork{}
		}
		var got string
		var chunks []string
		err := client.Stream(context.Background(), "b", data.Method, data.Give, &got, func(part json.RawMessage) {
			chunks = append(chunks, string(part))
		})
		if diff := cmp.Diff(data.Chunks, chunks); diff != "" {
			t.Errorf("chunks (-want +got):\n%s", diff)
		}
		if data.Kind == nil {
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(data.Want, got); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
			return
		}
		fe := fault.From(err)
		if fe == nil {
			t.Fatal("no error")
		}
		if diff := cmp.Diff([]string{data.Kind.String(), data.Verdict.String()}, []string{fe.Kind.String(), fe.Verdict.String()}); diff != "" {
			t.Errorf("error %v (-want +got):\n%s", err, diff)
		}
	})
}

// TestCancel checks that a caller that stops waiting cancels the handler.
func TestCancel(t *testing.T) {
	server := newMesh(t, "b", "")
	client := newMesh(t, "a", server.Listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	err := client.Stream(ctx, "b", "wait", "", nil, func(json.RawMessage) { cancel() })
	if diff := cmp.Diff(fault.Canceled, fault.From(err).Kind); diff != "" {
		t.Error(diff)
	}
	if err := server.Close(); err != nil { // Waits for the handler.
		t.Fatal(err)
	}
}

func newMesh(t *testing.T, self, peerAddress string) *Mesh {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := &Mesh{
		Self: self, Listener: listener, Network: ports.SystemNetwork{}, Clock: ports.SystemClock{},
		Log:       logrus.NewEntry(log),
		Directory: func(string) (string, bool) { return peerAddress, peerAddress != "" },
	}
	m.Register("echo", TypedHandler(func(_ context.Context, text string) (string, error) { return text, nil }))
	m.Register("refuse", TypedHandler(func(_ context.Context, _ string) (string, error) {
		return "", fault.New(fault.Busy, fault.NotRun, "full")
	}))
	m.Register("count", func(_ context.Context, call Request) (any, error) {
		for i := range 3 {
			if err := call.Send(i); err != nil {
				return nil, err
			}
		}
		return "done", nil
	})
	m.Register("wait", func(ctx context.Context, call Request) (any, error) {
		err := call.Send("started")
		<-ctx.Done()
		return nil, err
	})
	r := &runner{mesh: m}
	r.done.Add(1)
	go r.run()
	t.Cleanup(func() {
		_ = m.Close()
		r.done.Wait()
	})
	return m
}

type runner struct {
	mesh *Mesh
	done sync.WaitGroup
}

func (r *runner) run() {
	defer r.done.Done()
	_ = r.mesh.Run(context.Background())
}

// silentNetwork opens connections that swallow what is written and never
// deliver anything.
type silentNetwork struct{ ports.SystemNetwork }

func (silentNetwork) Dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	s := &swallower{far: far}
	go s.run()
	return near, nil
}

// failingNetwork opens connections that nothing can be written to.
type failingNetwork struct{ ports.SystemNetwork }

func (failingNetwork) Dial(context.Context, string) (net.Conn, error) {
	near, _ := net.Pipe()
	return failingConn{near}, nil
}

type failingConn struct{ net.Conn }

func (failingConn) Write([]byte) (int, error) { return 0, io.ErrShortWrite }

type swallower struct{ far net.Conn }

func (s *swallower) run() {
	_, _ = io.Copy(io.Discard, s.far)
}

func BenchmarkCall(b *testing.B) {
	server, client := benchmarkPair(b)
	defer func() { _ = server.Close(); _ = client.Close() }()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			var got string
			if err := client.Call(context.Background(), "b", "echo", "text", &got); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

func benchmarkPair(b *testing.B) (server, client *Mesh) {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server = &Mesh{Self: "b", Listener: listener, Network: ports.SystemNetwork{}, Clock: ports.SystemClock{}}
	server.Register("echo", TypedHandler(func(_ context.Context, text string) (string, error) { return text, nil }))
	server.Register("parts", sendParts)
	go (&runner{mesh: server, done: sync.WaitGroup{}}).loop()
	client = &Mesh{
		Self: "a", Network: ports.SystemNetwork{}, Clock: ports.SystemClock{},
		Directory: func(string) (string, bool) { return listener.Addr().String(), true },
	}
	return server, client
}

func (r *runner) loop() { _ = r.mesh.Run(context.Background()) }
