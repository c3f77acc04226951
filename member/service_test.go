package member

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"bergamotworks/ports"
)

// packetNetwork delivers datagrams between sockets of the same process.
type packetNetwork struct {
	ports.Network
	mutex   sync.Mutex
	sockets map[string]*socket
}

type socket struct {
	net.PacketConn
	network *packetNetwork
	address string
	inbox   chan datagram
	closed  chan struct{}
	once    sync.Once
}

type datagram struct {
	from    net.Addr
	payload []byte
}

func (p *packetNetwork) ListenPacket(address string) (net.PacketConn, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	s := &socket{network: p, address: address, inbox: make(chan datagram, 64), closed: make(chan struct{})}
	p.sockets[address] = s
	return s, nil
}

func (s *socket) WriteTo(payload []byte, to net.Addr) (int, error) {
	s.network.mutex.Lock()
	peer := s.network.sockets[to.String()]
	s.network.mutex.Unlock()
	if peer == nil {
		return len(payload), nil
	}
	from, _ := net.ResolveUDPAddr("udp", s.address)
	select {
	case peer.inbox <- datagram{from: from, payload: payload}:
	default:
	}
	return len(payload), nil
}

func (s *socket) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case d := <-s.inbox:
		return copy(buffer, d.payload), d.from, nil
	case <-s.closed:
		return 0, nil, net.ErrClosed
	}
}

func (s *socket) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// TestServiceLeaveAndKill checks how other VMs list one that leaves and one whose
// Run is canceled, and that the view of a closed service becomes unconfirmed.
func TestServiceLeaveAndKill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &packetNetwork{sockets: map[string]*socket{}}
		log := logrus.NewEntry(logrus.New())
		var group errgroup.Group
		var services []*Service
		var cancels []context.CancelFunc
		for i := range 4 {
			s := &Service{
				Self:    VM{ID: fmt.Sprintf("vm-%d", i), GossipAddress: fmt.Sprintf("10.0.0.%d:7401", i+1)},
				Seeds:   SeedList{"10.0.0.1:7401"},
				Network: network,
				Clock:   ports.SystemClock{},
				Random:  ports.NewSeededRandom(uint64(i)),
				Log:     log,
			}
			ctx, cancel := context.WithCancel(t.Context())
			services, cancels = append(services, s), append(cancels, cancel)
			group.Go(func() error { return s.Run(ctx) })
			s.SetAttributes(Attributes{Ready: true, StoreReachable: true, Revision: int64(i)})
		}
		time.Sleep(4 * time.Second)
		wantStates(t, services[0], []State{Alive, Alive, Alive, Alive})
		if err := services[2].Leave(t.Context()); err != nil {
			t.Error(err)
		}
		wantStates(t, services[0], []State{Alive, Alive, Leaving, Alive})
		if err := services[2].Close(); err != nil {
			t.Error(err)
		}
		cancels[3]()
		time.Sleep(4 * time.Second)
		wantStates(t, services[0], []State{Alive, Alive, Left, Dead})
		for _, s := range services {
			if err := s.Close(); err != nil {
				t.Error(err)
			}
		}
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
		time.Sleep(2 * time.Second)
		if diff := cmp.Diff(true, services[0].View().Unconfirmed); diff != "" {
			t.Errorf("unconfirmed in the view of a closed service (-want +got):\n%s", diff)
		}
	})
}

func wantStates(t *testing.T, s *Service, want []State) {
	t.Helper()
	synctest.Wait()
	var got []State
	for _, m := range s.View().Members() {
		got = append(got, m.State)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("states (-want +got):\n%s", diff)
	}
}
