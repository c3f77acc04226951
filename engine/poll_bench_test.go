package engine

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/valyala/fasthttp"

	"bergamotworks/ports"
)

// BenchmarkLoad fetches the load report of a target. It reports the bytes sent and
// received over TCP, without TCP headers, and the connections per operation.
func BenchmarkLoad(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &reportTarget{}
	server := &fasthttp.Server{Handler: s.handle}
	go s.run(server, listener)
	defer func() { _ = server.Shutdown() }()
	network := &countingNetwork{}
	client := &Client{Network: network, Clock: ports.SystemClock{}}
	defer func() { _ = client.Close() }()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Load(b.Context(), "t1", listener.Addr().String()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(network.bytes.Load())/float64(b.N), "wire-B/op")
	b.ReportMetric(float64(network.opened.Load())/float64(b.N), "connections/op")
}

// reportTarget responds with a load report of typical length.
type reportTarget struct{}

func (*reportTarget) run(server *fasthttp.Server, listener net.Listener) { _ = server.Serve(listener) }

func (*reportTarget) handle(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("application/json")
	ctx.SetBodyString(`{"incarnation":1796355600000,"running":12,"waiting":3,"limit":16,"model":"model-70b","adapters":["warranty"],"role":"decode","fence":7,"cache_sequence":81234}`)
}

// countingNetwork counts connections and the bytes sent and received on them.
type countingNetwork struct {
	ports.SystemNetwork
	opened atomic.Int64
	bytes  atomic.Int64
}

func (c *countingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.SystemNetwork.Dial(ctx, address)
	c.opened.Add(1)
	return &countingConn{Conn: conn, network: c}, err
}

type countingConn struct {
	net.Conn
	network *countingNetwork
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.network.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.network.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(*net.TCPConn).SyscallConn()
}
