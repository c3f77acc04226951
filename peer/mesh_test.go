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

// callCase is a call between two nodes and its expected outcome.
type callCase struct {
	Method  string `json:"method"`
	Address string `json:"address"` // Replaces the server's address.
	Silent  bool   `json:"silent"`  // The server does not respond.
	// WriteFails makes each write to the connection fail with a short write.
	WriteFails bool           `json:"write_fails"`
	Param      string         `json:"give"`
	Want       string         `json:"want"`
	Chunks     []string       `json:"chunks"`
	Kind       *fault.Kind    `json:"kind"`
	Verdict    *fault.Verdict `json:"verdict"`
}

func TestCall(t *testing.T) {
	script.Run(t, "testdata/*.json", func(t *testing.T, data callCase) {
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
		err := client.Stream(context.Background(), "b", data.Method, data.Param, &got, func(chunk json.RawMessage) {
			chunks = append(chunks, string(chunk))
		})
		if diff := cmp.Diff(data.Chunks, chunks); diff != "" {
			t.Errorf("chunks (-want +got):\n%s", diff)
		}
		if data.Kind == nil {
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(data.Want, got); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
			return
		}
		fe := fault.From(err)
		if fe == nil {
			t.Fatal("Stream returned no error")
		}
		if diff := cmp.Diff([]string{data.Kind.String(), data.Verdict.String()}, []string{fe.Kind.String(), fe.Verdict.String()}); diff != "" {
			t.Errorf("error %v (-want +got):\n%s", err, diff)
		}
	})
}

// TestCancel checks that the context of the handler is canceled when the caller
// cancels its own.
func TestCancel(t *testing.T) {
	server := newMesh(t, "b", "")
	client := newMesh(t, "a", server.Listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	err := client.Stream(ctx, "b", "wait", "", nil, func(json.RawMessage) { cancel() })
	if diff := cmp.Diff(fault.Canceled, fault.From(err).Kind); diff != "" {
		t.Error(diff)
	}
	if err := server.Close(); err != nil { // Waits for the handler to return.
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
	m.Register("count", func(_ context.Context, request Request) (any, error) {
		for i := range 3 {
			if err := request.Send(i); err != nil {
				return nil, err
			}
		}
		return "done", nil
	})
	m.Register("wait", func(ctx context.Context, request Request) (any, error) {
		err := request.Send("started")
		<-ctx.Done()
		return nil, err
	})
	r := &meshRunner{mesh: m}
	r.done.Add(1)
	go r.run()
	t.Cleanup(func() {
		_ = m.Close()
		r.done.Wait()
	})
	return m
}

type meshRunner struct {
	mesh *Mesh
	done sync.WaitGroup
}

func (r *meshRunner) run() {
	defer r.done.Done()
	_ = r.mesh.Run(context.Background())
}

// silentNetwork opens connections that discard what is written and never
// deliver a response.
type silentNetwork struct{ ports.SystemNetwork }

func (silentNetwork) Dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	s := &discarder{far: far}
	go s.run()
	return near, nil
}

// failingNetwork opens connections on which every write fails.
type failingNetwork struct{ ports.SystemNetwork }

func (failingNetwork) Dial(context.Context, string) (net.Conn, error) {
	near, _ := net.Pipe()
	return failingConn{near}, nil
}

type failingConn struct{ net.Conn }

func (failingConn) Write([]byte) (int, error) { return 0, io.ErrShortWrite }

type discarder struct{ far net.Conn }

func (s *discarder) run() {
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
	server.Register("chunks", sendChunks)
	go (&meshRunner{mesh: server, done: sync.WaitGroup{}}).runUntracked()
	client = &Mesh{
		Self: "a", Network: ports.SystemNetwork{}, Clock: ports.SystemClock{},
		Directory: func(string) (string, bool) { return listener.Addr().String(), true },
	}
	return server, client
}

// runUntracked runs the mesh for a benchmark, which does not wait on r.done.
func (r *meshRunner) runUntracked() { _ = r.mesh.Run(context.Background()) }
