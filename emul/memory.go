package emul

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"

	"github.com/valyala/fasthttp/fasthttputil"

	"bergamotworks/ports"
)

// MemoryNetwork is a network of in-memory streams. It opens no sockets, so tests
// can use it in a synctest bubble. The zero value is ready to use.
type MemoryNetwork struct {
	ports.SystemNetwork // Used for datagrams only.

	mutex     sync.Mutex
	listeners map[string]*memoryListener
	lastPort  int
}

// memoryListener is an in-memory listener with its own address.
type memoryListener struct {
	*fasthttputil.InmemoryListener
	address memoryAddress
}

// memoryAddress is the address of a memoryListener.
type memoryAddress string

// Network returns the name of the network.
func (memoryAddress) Network() string { return "memory" }

// String returns the address.
func (a memoryAddress) String() string { return string(a) }

// Addr returns the address of the listener.
func (l *memoryListener) Addr() net.Addr { return l.address }

// Listen accepts streams at the address. Port 0 takes a free port.
func (m *MemoryNetwork) Listen(address string) (net.Listener, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if host, found := strings.CutSuffix(address, ":0"); found {
		m.lastPort++
		address = fmt.Sprintf("%s:%d", host, m.lastPort)
	}
	if m.listeners == nil {
		m.listeners = make(map[string]*memoryListener)
	}
	l := &memoryListener{InmemoryListener: fasthttputil.NewInmemoryListener(), address: memoryAddress(address)}
	m.listeners[address] = l
	return l, nil
}

// Dial opens a stream to the listener at the address.
func (m *MemoryNetwork) Dial(_ context.Context, address string) (net.Conn, error) {
	m.mutex.Lock()
	l := m.listeners[address]
	m.mutex.Unlock()
	if l == nil {
		return nil, fasthttputil.ErrInmemoryListenerClosed
	}
	return l.Dial()
}
