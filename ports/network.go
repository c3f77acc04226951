package ports

import (
	"context"
	"net"
)

// Network opens connections. Addresses are IP numbers with a port.
type Network interface {
	// Listen accepts streams at the address.
	Listen(address string) (net.Listener, error)
	// ListenPacket receives datagrams at the address.
	ListenPacket(address string) (net.PacketConn, error)
	// Dial opens a stream to the address.
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// SystemNetwork is the network of the operating system.
type SystemNetwork struct{}

// Listen accepts TCP connections at the address.
func (SystemNetwork) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// ListenPacket receives UDP datagrams at the address.
func (SystemNetwork) ListenPacket(address string) (net.PacketConn, error) {
	return net.ListenPacket("udp", address)
}

// Dial opens a TCP connection to the address.
func (SystemNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}
