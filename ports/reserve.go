package ports

import (
	"net"
	"sync"

	"github.com/gravitational/trace"
)

// maxReserveAttempts is the maximum number of attempts to find a port that is
// free for both TCP and UDP.
const maxReserveAttempts = 64

// ReservedNetwork is the network of the operating system with loopback
// addresses that are opened in advance, so that no other process takes them
// before they are listened on. Each reserved socket is handed out once; after
// that its address is treated like any other. The zero value is ready to use.
type ReservedNetwork struct {
	SystemNetwork

	mutex   sync.Mutex
	streams map[string]net.Listener
	packets map[string]net.PacketConn
}

// ReserveStream reserves a TCP address and returns it.
func (r *ReservedNetwork) ReserveStream() (string, error) {
	listener, err := r.SystemNetwork.Listen("127.0.0.1:0")
	if err != nil {
		return "", trace.Wrap(err)
	}
	return r.add(listener, nil), nil
}

// ReservePacket reserves a UDP address and returns it.
func (r *ReservedNetwork) ReservePacket() (string, error) {
	conn, err := r.SystemNetwork.ListenPacket("127.0.0.1:0")
	if err != nil {
		return "", trace.Wrap(err)
	}
	return r.add(nil, conn), nil
}

// ReserveStreamAndPacket reserves an address for both TCP and UDP and returns
// it.
func (r *ReservedNetwork) ReserveStreamAndPacket() (string, error) {
	var lastErr error
	for range maxReserveAttempts {
		conn, err := r.SystemNetwork.ListenPacket("127.0.0.1:0")
		if err != nil {
			return "", trace.Wrap(err)
		}
		listener, err := r.SystemNetwork.Listen(conn.LocalAddr().String())
		if err == nil {
			return r.add(listener, conn), nil
		}
		_ = conn.Close() // Nothing was received on it.
		lastErr = err
	}
	return "", trace.Wrap(lastErr)
}

func (r *ReservedNetwork) add(listener net.Listener, conn net.PacketConn) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.streams == nil {
		r.streams, r.packets = make(map[string]net.Listener), make(map[string]net.PacketConn)
	}
	address := ""
	if conn != nil {
		address = conn.LocalAddr().String()
		r.packets[address] = conn
	}
	if listener != nil {
		address = listener.Addr().String()
		r.streams[address] = listener
	}
	return address
}

// Listen returns the reserved listener of the address if there is one, and
// opens a listener otherwise.
func (r *ReservedNetwork) Listen(address string) (net.Listener, error) {
	r.mutex.Lock()
	listener, ok := r.streams[address]
	delete(r.streams, address)
	r.mutex.Unlock()
	if ok {
		return listener, nil
	}
	return r.SystemNetwork.Listen(address)
}

// ListenPacket returns the reserved socket of the address if there is one, and
// opens a socket otherwise.
func (r *ReservedNetwork) ListenPacket(address string) (net.PacketConn, error) {
	r.mutex.Lock()
	conn, ok := r.packets[address]
	delete(r.packets, address)
	r.mutex.Unlock()
	if ok {
		return conn, nil
	}
	return r.SystemNetwork.ListenPacket(address)
}

// Close closes the reserved sockets that were not handed out.
func (r *ReservedNetwork) Close() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var errs []error
	for _, l := range r.streams {
		errs = append(errs, l.Close())
	}
	for _, c := range r.packets {
		errs = append(errs, c.Close())
	}
	r.streams, r.packets = nil, nil
	return trace.NewAggregate(errs...)
}
