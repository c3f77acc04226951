package engine

import (
	"encoding/json"
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"bergamotworks/note"
	"bergamotworks/ports"
)

// BenchmarkPlain measures sequential plain calls to a target that responds at
// once, on reused and on new connections.
func BenchmarkPlain(b *testing.B) {
	address := startFakeTarget(b)
	client := &Client{Network: ports.SystemNetwork{}, Clock: ports.SystemClock{}}
	defer func() { _ = client.Close() }()
	for _, v := range []struct {
		name       string
		idempotent bool
	}{{"kept", true}, {"fresh", false}} {
		call := Call{
			Target: "t1", Address: address, Kind: note.Plain, Attempt: "a1",
			Idempotent: v.idempotent, Input: json.RawMessage(`{"item":"torch-on sheet"}`),
		}
		b.Run(v.name, func(b *testing.B) { benchmarkCalls(b, client, call) })
	}
}

func benchmarkCalls(b *testing.B, client *Client, call Call) {
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Do(b.Context(), call, nil); err != nil {
			b.Fatal(err)
		}
	}
}

// startFakeTarget starts a fake target and returns its address.
func startFakeTarget(b *testing.B) string {
	listener, err := ports.SystemNetwork{}.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &fakeTarget{}
	server := &fasthttp.Server{Handler: s.handle}
	go s.run(server, listener)
	b.Cleanup(func() { _ = server.Shutdown() })
	return listener.Addr().String()
}

// fakeTarget responds to every call at once with the same body.
type fakeTarget struct{}

func (*fakeTarget) run(server *fasthttp.Server, listener net.Listener) { _ = server.Serve(listener) }

func (*fakeTarget) handle(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(HeaderRequestID, "a1")
	ctx.SetBodyString(`{"id":"a1","output":{"stock":12}}`)
}
