package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

// Mesh calls methods on other nodes and serves their calls.
//
// The exported fields are set before [Mesh.Run].
type Mesh struct {
	Self     string // Identifier of this VM.
	Listener net.Listener
	Network  ports.Network
	Clock    ports.Clock
	Log      *logrus.Entry
	Metrics  *metrics.Set
	// Directory resolves the ID of a VM to its TCP address. It returns false if
	// the VM is unknown.
	Directory func(vm string) (address string, ok bool)

	handlers map[string]Handler
	mutex    sync.Mutex
	links    map[string]*link
	inbound  map[*session]struct{}
	closed   bool
	running  sync.WaitGroup
}

// Handler serves one method. The caller receives a returned error as a
// *fault.Error. The context is canceled when the caller cancels the call or its
// connection is closed.
type Handler func(ctx context.Context, request Request) (any, error)

// Request is a call received from another node.
type Request struct {
	From   string // ID of the calling VM.
	Params json.RawMessage
	// Send streams a chunk to the caller before the result. It does not wait for
	// the connection and returns an error only if data cannot be encoded. If the
	// connection is lost, the context of the handler is canceled.
	Send func(data any) error
}

// TypedHandler returns a handler that decodes its parameters from JSON.
func TypedHandler[P, R any](handle func(ctx context.Context, params P) (R, error)) Handler {
	return func(ctx context.Context, request Request) (any, error) {
		var params P
		if err := json.Unmarshal(request.Params, &params); err != nil {
			return nil, fault.InvalidField("params", "%s", err)
		}
		return handle(ctx, params)
	}
}

// Register adds a method. It must not be called after [Mesh.Run].
func (m *Mesh) Register(method string, handler Handler) {
	if m.handlers == nil {
		m.handlers = make(map[string]Handler)
	}
	m.handlers[method] = handler
}

// Run accepts connections until the context ends or the mesh is closed. It
// returns an error if the listener fails.
func (m *Mesh) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, m.shutdown)
	defer stop()
	for {
		conn, err := m.Listener.Accept()
		if err != nil {
			if m.isClosed() {
				return nil
			}
			return trace.Wrap(err)
		}
		m.accept(conn)
	}
}

// Close closes every connection and waits for the handlers to return. It returns
// nil.
func (m *Mesh) Close() error {
	m.shutdown()
	m.running.Wait()
	return nil
}

// Call calls a method of a VM and decodes the response into result. The error is
// a *fault.Error; its verdict is NotRun if the call was not sent, the method is
// unknown or the error of the handler says so.
func (m *Mesh) Call(ctx context.Context, vm, method string, params, result any) error {
	return m.Stream(ctx, vm, method, params, result, nil)
}

// Stream calls a method of a VM that streams chunks. Chunks are delivered in
// order, before Stream returns. The function onChunk must not block; it may be
// nil. If result is nil, the result of the call is discarded.
func (m *Mesh) Stream(ctx context.Context, vm, method string, params, result any, onChunk func(json.RawMessage)) error {
	l, err := m.link(ctx, vm)
	if err != nil {
		return err
	}
	return l.call(ctx, method, params, result, onChunk)
}

func (m *Mesh) link(ctx context.Context, vm string) (*link, error) {
	m.mutex.Lock()
	if m.closed {
		m.mutex.Unlock()
		return nil, fault.New(fault.Unavailable, fault.NotRun, "node is stopping")
	}
	l := m.links[vm]
	if l == nil || l.broken() {
		l = &link{mesh: m, vm: vm, created: m.Clock.Now(), ready: make(chan struct{}), resume: make(chan struct{}, 1)}
		if m.links == nil {
			m.links = make(map[string]*link)
		}
		m.links[vm] = l
		m.running.Add(1)
		go l.run()
	}
	m.mutex.Unlock()
	return l, l.waitReady(ctx)
}

func (m *Mesh) accept(conn net.Conn) {
	stream := &deadlineConn{Conn: conn, clock: m.Clock}
	s := &session{mesh: m, stream: stream, calls: make(map[uint64]context.CancelFunc)}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.closed {
		_ = conn.Close()
		return
	}
	if m.inbound == nil {
		m.inbound = make(map[*session]struct{})
	}
	m.inbound[s] = struct{}{}
	m.running.Add(1)
	go s.run()
}

func (m *Mesh) removeSession(s *session) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.inbound, s)
}

func (m *Mesh) isClosed() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.closed
}

func (m *Mesh) shutdown() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.closed {
		return
	}
	m.closed = true
	if m.Listener != nil {
		_ = m.Listener.Close()
	}
	for _, l := range m.links {
		l.close()
	}
	for s := range m.inbound {
		_ = s.stream.Close()
	}
}

func (m *Mesh) incCounter(name string) {
	if m.Metrics != nil {
		m.Metrics.GetOrCreateCounter(name).Inc()
	}
}
