package ports

import (
	"net"
	"sync"

	"github.com/gravitational/trace"
)

// reserveTries bounds the search for a number that is free as a stream and as
// a datagram address at once.
const reserveTries = 64

// ReservedNetwork is the network of the operating system with addresses that
// are opened ahead, so that nobody else takes them before they are listened on.
// Each is handed out once; afterwards it is an address like any other. The zero
// value is ready to use.
type ReservedNetwork struct {
	SystemNetwork

	mutex   sync.Mutex
	streams map[string]net.Listener
	packets map[string]net.PacketConn
}

// ReserveStream opens a loopback address for streams and returns it.
func (r *ReservedNetwork) ReserveStream() (string, error) {
	listener, err := r.SystemNetwork.Listen("127.0.0.1:0")
	if err != nil {
		return "", trace.Wrap(err)
	}
	return r.hold(listener, nil), nil
}

// ReservePacket opens a loopback address for datagrams and returns it.
func (r *ReservedNetwork) ReservePacket() (string, error) {
	conn, err := r.SystemNetwork.ListenPacket("127.0.0.1:0")
	if err != nil {
		return "", trace.Wrap(err)
	}
	return r.hold(nil, conn), nil
}

// ReserveStreamAndPacket opens a loopback address for streams and datagrams and returns it.
func (r *ReservedNetwork) ReserveStreamAndPacket() (string, error) {
	var failure error
	for range reserveTries {
		conn, err := r.SystemNetwork.ListenPacket("127.0.0.1:0")
		if err != nil {
			return "", trace.Wrap(err)
		}
		listener, err := r.SystemNetwork.Listen(conn.LocalAddr().String())
		if err == nil {
			return r.hold(listener, conn), nil
		}
		_ = conn.Close() // Nothing was received on it.
		failure = err
	}
	return "", trace.Wrap(failure)
}

func (r *ReservedNetwork) hold(listener net.Listener, conn net.PacketConn) string {
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

// Listen hands out the reserved listener of the address, or opens one.
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

// ListenPacket hands out the reserved socket of the address, or opens one.
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

// Close gives up the addresses that were not handed out.
func (r *ReservedNetwork) Close() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var failures []error
	for _, l := range r.streams {
		failures = append(failures, l.Close())
	}
	for _, c := range r.packets {
		failures = append(failures, c.Close())
	}
	r.streams, r.packets = nil, nil
	return trace.NewAggregate(failures...)
}
