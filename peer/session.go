package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"bergamotworks/fault"
)

// session is an incoming connection.
type session struct {
	mesh   *Mesh
	stream net.Conn
	mutex  sync.Mutex
	calls  map[uint64]context.CancelFunc
}

// run serves the connection until it is closed, then cancels the calls in
// progress.
func (s *session) run() {
	defer s.mesh.running.Done()
	defer s.mesh.removeSession(s)
	conn := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewPlainObjectStream(s.stream), s, jsonrpc2.SetLogger(protocolLogger{s.mesh.Log}))
	<-conn.DisconnectNotify()
	s.cancelAll()
}

// Handle starts a call, or handles a ping or a cancellation. It does not wait for
// the call, so that later messages are read.
func (s *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	switch request.Method {
	case methodPing:
		_ = conn.Reply(ctx, request.ID, struct{}{})
	case methodCancel:
		s.cancelCall(request)
	default:
		s.startCall(conn, request)
	}
}

func (s *session) startCall(conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	handler, ok := s.mesh.handlers[request.Method]
	if !ok {
		unknown := &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + request.Method}
		_ = conn.ReplyWithError(context.Background(), request.ID, unknown)
		return
	}
	var message envelope
	if request.Params == nil || json.Unmarshal(*request.Params, &message) != nil {
		invalid := encodeError(fault.InvalidField("params", "not an envelope"))
		_ = conn.ReplyWithError(context.Background(), request.ID, invalid)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &inboundCall{session: s, conn: conn, id: request.ID, message: message, handler: handler}
	c.flushed.L = &c.mutex
	s.mutex.Lock()
	s.calls[message.Call] = cancel
	s.mutex.Unlock()
	s.mesh.running.Add(1)
	go c.run(ctx)
}

func (s *session) cancelCall(request *jsonrpc2.Request) {
	var message cancelMessage
	if request.Params == nil || json.Unmarshal(*request.Params, &message) != nil {
		return
	}
	s.endCall(message.Call)
}

// endCall cancels the context of a call and removes the call.
func (s *session) endCall(call uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if cancel := s.calls[call]; cancel != nil {
		cancel()
		delete(s.calls, call)
	}
}

func (s *session) cancelAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, cancel := range s.calls {
		cancel()
	}
	clear(s.calls)
}
