package engine

import (
	"encoding/json"
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"bergamotworks/note"
	"bergamotworks/ports"
)

// BenchmarkPlain measures plain calls to an instant target, in sequence and
// in parallel.
func BenchmarkPlain(b *testing.B) {
	address := startInstant(b)
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

// startInstant starts a target that answers at once.
func startInstant(b *testing.B) string {
	listener, err := ports.SystemNetwork{}.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &instant{}
	server := &fasthttp.Server{Handler: s.handle}
	go s.run(server, listener)
	b.Cleanup(func() { _ = server.Shutdown() })
	return listener.Addr().String()
}

// instant answers every call at once.
type instant struct{}

func (*instant) run(server *fasthttp.Server, listener net.Listener) { _ = server.Serve(listener) }

func (*instant) handle(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(HeaderRequestID, "a1")
	ctx.SetBodyString(`{"id":"a1","output":{"stock":12}}`)
}
