package ports

import (
	"context"
	"net"
)

// Network opens listeners and connections. An address has the form IP:port.
type Network interface {
	// Listen listens for stream connections on the address.
	Listen(address string) (net.Listener, error)
	// ListenPacket opens a socket for datagrams on the address.
	ListenPacket(address string) (net.PacketConn, error)
	// Dial connects to the address.
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// Prober is implemented by connections without a file descriptor.
type Prober interface {
	// Idle reports whether the connection is open and has nothing to read.
	Idle() bool
}

// SystemNetwork is the network of the operating system.
type SystemNetwork struct{}

// Listen listens for TCP connections on the address.
func (SystemNetwork) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// ListenPacket opens a UDP socket on the address.
func (SystemNetwork) ListenPacket(address string) (net.PacketConn, error) {
	return net.ListenPacket("udp", address)
}

// Dial opens a TCP connection to the address.
func (SystemNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}
