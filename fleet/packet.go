package fleet

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// maxWaitingDatagrams is the number of datagrams that wait at a socket; more are lost.
const maxWaitingDatagrams = 512

type datagram struct {
	data []byte
	from string
}

// socket receives and sends datagrams.
type socket struct {
	host     *Host
	address  string
	waiting  chan datagram
	once     sync.Once
	closed   chan struct{}
	mutex    sync.Mutex
	deadline time.Time
}

// ListenPacket opens a socket on an address of the host.
func (h *Host) ListenPacket(address string) (net.PacketConn, error) {
	n := h.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.sockets[address] != nil {
		return nil, failure("listen", syscall.EADDRINUSE)
	}
	s := &socket{host: h, address: address, waiting: make(chan datagram, maxWaitingDatagrams), closed: make(chan struct{})}
	n.sockets[address] = s
	return s, nil
}

func (s *socket) ReadFrom(p []byte) (int, net.Addr, error) {
	s.mutex.Lock()
	deadline := s.deadline
	s.mutex.Unlock()
	var timeout <-chan time.Time
	if !deadline.IsZero() {
		timeout = time.After(time.Until(deadline))
	}
	select {
	case d := <-s.waiting:
		host, err := net.ResolveUDPAddr("udp", d.from)
		return copy(p, d.data), host, err
	case <-timeout:
		return 0, nil, &net.OpError{Op: "read", Net: "udp", Err: os.ErrDeadlineExceeded}
	case <-s.closed:
		return 0, nil, &net.OpError{Op: "read", Net: "udp", Err: net.ErrClosed}
	}
}

// WriteTo sends a datagram, which is lost if the hosts are cut off from each other, or
// nothing listens there.
func (s *socket) WriteTo(p []byte, to net.Addr) (int, error) {
	n, address := s.host.network, to.String()
	if s.host.ended.Load() || n.isCut(s.host.ip, hostOf(address)) {
		return len(p), nil
	}
	d := datagram{data: append([]byte(nil), p...), from: s.address}
	time.AfterFunc(networkDelay, func() {
		n.mutex.Lock()
		target := n.sockets[address]
		n.mutex.Unlock()
		if target == nil {
			return
		}
		select {
		case target.waiting <- d:
		default:
		}
	})
	return len(p), nil
}

func (s *socket) Close() error {
	s.host.network.mutex.Lock()
	if s.host.network.sockets[s.address] == s {
		delete(s.host.network.sockets, s.address)
	}
	s.host.network.mutex.Unlock()
	s.end()
	return nil
}

func (s *socket) end() { s.once.Do(func() { close(s.closed) }) }

func (s *socket) LocalAddr() net.Addr { return addr(s.address) }

func (s *socket) SetDeadline(t time.Time) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.deadline = t
	return nil
}

func (s *socket) SetReadDeadline(t time.Time) error { return s.SetDeadline(t) }

// SetWriteDeadline does nothing, since writes never wait.
func (s *socket) SetWriteDeadline(time.Time) error { return nil }
