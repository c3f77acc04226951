package fleet

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bergamotworks/ports"
)

// networkDelay is the time that bytes take from one host to another.
const networkDelay = 1 * time.Millisecond

// Network connects hosts in memory. Use [NewNetwork].
type Network struct {
	mutex     sync.Mutex
	listeners map[string]*listener
	sockets   map[string]*socket
	streams   map[*stream]struct{}
	cuts      map[[2]string]bool // From one host to another.
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{
		listeners: make(map[string]*listener), sockets: make(map[string]*socket),
		streams: make(map[*stream]struct{}), cuts: make(map[[2]string]bool),
	}
}

// Host returns the network as the host with an IP address sees it.
func (n *Network) Host(ip string) *Host { return &Host{network: n, ip: ip} }

// Cut holds back all that one host sends to another, or lets it pass again. Streams
// deliver then what was held back; datagrams are lost.
func (n *Network) Cut(from, to string, cut bool) {
	n.mutex.Lock()
	n.cuts[[2]string{from, to}] = cut
	streams := make([]*stream, 0, len(n.streams))
	for s := range n.streams {
		streams = append(streams, s)
	}
	n.mutex.Unlock()
	for _, s := range streams {
		s.wake()
	}
}

func (n *Network) isCut(from, to string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.cuts[[2]string{from, to}]
}

// Reset resets all connections between two hosts; an empty one stands for any.
func (n *Network) Reset(a, b string) {
	n.mutex.Lock()
	var hit []*stream
	for s := range n.streams {
		if s.between(a, b) || s.between(b, a) {
			hit = append(hit, s)
		}
	}
	n.mutex.Unlock()
	for _, s := range hit {
		s.fail(syscall.ECONNRESET)
	}
}

// end closes the listeners and sockets of a host and resets its connections.
func (n *Network) end(ip string) {
	n.mutex.Lock()
	for a, l := range n.listeners {
		if hostOf(a) == ip {
			delete(n.listeners, a)
			defer l.end()
		}
	}
	for a, s := range n.sockets {
		if hostOf(a) == ip {
			delete(n.sockets, a)
			defer s.end()
		}
	}
	n.mutex.Unlock()
	n.Reset(ip, "")
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

// Host is the network of one host; it implements [ports.Network].
type Host struct {
	network *Network
	ip      string
	ended   atomic.Bool // Its processes have ended; what is left of them reaches nobody.
}

// End ends the processes of the host. The other side of its connections gets a reset.
func (h *Host) End() {
	h.ended.Store(true)
	h.network.end(h.ip)
}

var _ ports.Network = (*Host)(nil)

// Listen listens for connections on an address of the host.
func (h *Host) Listen(address string) (net.Listener, error) {
	n := h.network
	if h.ended.Load() {
		return nil, failure("listen", syscall.ENETDOWN)
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.listeners[address] != nil {
		return nil, failure("listen", syscall.EADDRINUSE)
	}
	l := &listener{network: n, address: address, backlog: make(chan *conn, 1024), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial connects to an address of any host.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	n, to := h.network, hostOf(address)
	if h.ended.Load() {
		return nil, failure("dial", syscall.ENETDOWN)
	}
	if err := h.roundTrip(ctx, to); err != nil {
		return nil, err
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	l := n.listeners[address]
	if l == nil {
		return nil, failure("dial", syscall.ECONNREFUSED)
	}
	there, back := newStream(n, h.ip, to), newStream(n, to, h.ip)
	n.streams[there], n.streams[back] = struct{}{}, struct{}{}
	select {
	case l.backlog <- &conn{in: there, out: back, local: address, remote: h.ip + ":0"}:
	default:
		return nil, failure("dial", syscall.ECONNREFUSED)
	}
	return &conn{in: back, out: there, local: h.ip + ":0", remote: address}, nil
}

// roundTrip waits until bytes have passed both ways.
func (h *Host) roundTrip(ctx context.Context, to string) error {
	for {
		select {
		case <-ctx.Done():
			return &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
		case <-time.After(2 * networkDelay):
		}
		if !h.network.isCut(h.ip, to) && !h.network.isCut(to, h.ip) {
			return nil
		}
		select {
		case <-ctx.Done():
			return &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
		case <-time.After(redialInterval):
		}
	}
}

// redialInterval is the time after which a connect that was lost is sent again.
const redialInterval = 50 * time.Millisecond

func failure(op string, e syscall.Errno) error {
	return &net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(op, e)}
}

type listener struct {
	network *Network
	address string
	backlog chan *conn
	once    sync.Once
	closed  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: net.ErrClosed}
	}
}

func (l *listener) Close() error {
	l.network.mutex.Lock()
	if l.network.listeners[l.address] == l {
		delete(l.network.listeners, l.address)
	}
	l.network.mutex.Unlock()
	l.end()
	return nil
}

func (l *listener) end() { l.once.Do(func() { close(l.closed) }) }

func (l *listener) Addr() net.Addr { return addr(l.address) }

type addr string

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return string(a) }
