package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"

	"bergamotworks/fault"
)

const (
	dialTimeout    = 500 * time.Millisecond
	checkInterval  = 250 * time.Millisecond
	pingDelay      = 750 * time.Millisecond  // Time without a message after which a ping is sent.
	silenceTimeout = 2000 * time.Millisecond // Time without a message after which the connection is closed.
)

// link is an outgoing connection to one VM. A broken link is not reconnected but
// replaced by a new one.
type link struct {
	mesh          *Mesh
	vm            string
	ready         chan struct{} // Closed once conn or err is set.
	stream        net.Conn
	conn          *jsonrpc2.Conn
	err           error
	closed        atomic.Bool
	created       time.Time
	lastReceived  atomic.Int64  // Time of the last message as nanoseconds since created, by the monotonic clock.
	pending       atomic.Int64  // Number of pending calls.
	suspended     atomic.Bool   // Whether checkSilence does not run because no call is pending.
	resume        chan struct{} // Makes run call checkSilence again.
	lastCallID    atomic.Uint64
	mutex         sync.Mutex
	chunkHandlers map[uint64]func(json.RawMessage)
}

// run dials, then closes the connection once it fails or is silent while calls
// are pending.
func (l *link) run() {
	defer l.mesh.running.Done()
	l.dial()
	close(l.ready)
	if l.err != nil {
		return
	}
	if l.broken() {
		l.close()
	}
	timer := l.mesh.Clock.After(checkInterval)
	for {
		select {
		case <-l.conn.DisconnectNotify():
			l.close()
			return
		case <-l.resume:
			l.lastReceived.Store(int64(l.mesh.Clock.Now().Sub(l.created)))
			timer = l.mesh.Clock.After(checkInterval)
		case now := <-timer:
			timer = nil
			if l.checkSilence(now) {
				timer = l.mesh.Clock.After(checkInterval)
			}
		}
	}
}

func (l *link) dial() {
	address, ok := l.mesh.Directory(l.vm)
	if !ok {
		l.dialFailed(fault.New(fault.Unavailable, fault.NotRun, "no address for VM %s", l.vm))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	stream, err := l.mesh.Network.Dial(ctx, address)
	if err != nil {
		l.dialFailed(fault.New(fault.Unavailable, fault.NotRun, "connect to VM %s: %s", l.vm, err))
		return
	}
	l.lastReceived.Store(int64(l.mesh.Clock.Now().Sub(l.created)))
	l.stream = &deadlineConn{Conn: stream, clock: l.mesh.Clock}
	l.chunkHandlers = make(map[uint64]func(json.RawMessage))
	l.conn = jsonrpc2.NewConn(context.Background(), jsonrpc2.NewPlainObjectStream(l.stream), l, jsonrpc2.OnRecv(l.onReceive), jsonrpc2.SetLogger(protocolLogger{l.mesh.Log}))
}

func (l *link) dialFailed(err error) {
	l.closed.Store(true)
	l.err = err
}

func (l *link) waitReady(ctx context.Context) error {
	select {
	case <-l.ready:
		return l.err
	case <-ctx.Done():
		return fault.From(ctx.Err()).WithVerdict(fault.NotRun)
	}
}

func (l *link) broken() bool {
	return l.closed.Load()
}

func (l *link) close() {
	l.closed.Store(true)
	select {
	case <-l.ready:
	default:
		return // The run method closes a connection that is marked while it dials.
	}
	if l.conn != nil {
		_ = l.stream.Close()
		_ = l.conn.Close()
	}
}

// connectionLost closes a connection that failed while sending or receiving, as
// given by step, and logs the reason once.
func (l *link) connectionLost(step string, err error) {
	if !l.broken() {
		l.mesh.incCounter("peer_lost_connections_total")
		l.mesh.Log.WithFields(logrus.Fields{"peer": l.vm, "step": step, "error": err.Error()}).Info("connection to peer lost")
	}
	l.close()
}

// checkSilence closes the connection if calls are pending and nothing has been
// received for silenceTimeout; before that it sends pings. It returns false if no
// call is pending; the next call then resumes the monitoring.
func (l *link) checkSilence(now time.Time) bool {
	if l.pending.Load() == 0 {
		l.suspended.Store(true)
		return l.pending.Load() > 0 && l.suspended.CompareAndSwap(true, false)
	}
	silence := now.Sub(l.created) - time.Duration(l.lastReceived.Load())
	switch {
	case silence > silenceTimeout:
		l.mesh.incCounter("peer_silent_connections_total")
		l.mesh.Log.WithField("peer", l.vm).Warn("no message from peer; closing connection")
		l.close()
	case silence > pingDelay:
		_, _ = l.conn.DispatchCall(context.Background(), methodPing, struct{}{})
	}
	return true
}

// resumeMonitoring resumes the monitoring of silence if it was suspended.
func (l *link) resumeMonitoring() {
	if l.suspended.CompareAndSwap(true, false) {
		l.resume <- struct{}{}
	}
}

func (l *link) onReceive(*jsonrpc2.Request, *jsonrpc2.Response) {
	l.lastReceived.Store(int64(l.mesh.Clock.Now().Sub(l.created)))
}

// Handle receives the chunks of streamed responses.
func (l *link) Handle(_ context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Method != methodChunks || request.Params == nil {
		return
	}
	var message chunkMessage
	if json.Unmarshal(*request.Params, &message) != nil {
		return
	}
	l.mutex.Lock()
	onChunk := l.chunkHandlers[message.Call]
	l.mutex.Unlock()
	if onChunk == nil {
		return
	}
	for _, d := range message.Data {
		onChunk(d)
	}
}

// call sends a call and waits for its result; onChunk may be nil. If ctx ends
// first, it cancels the call at the peer and returns an error with the verdict
// MayHaveRun.
func (l *link) call(ctx context.Context, method string, params, result any, onChunk func(json.RawMessage)) error {
	body, err := json.Marshal(params)
	if err != nil {
		return fault.New(fault.Internal, fault.NotRun, "encode %s: %s", method, err)
	}
	id := l.lastCallID.Add(1)
	if onChunk != nil {
		l.setChunkHandler(id, onChunk)
		defer l.setChunkHandler(id, nil)
	}
	l.pending.Add(1)
	l.resumeMonitoring()
	defer l.pending.Add(-1)
	l.mesh.incCounter("peer_calls_total")
	message := envelope{From: l.mesh.Self, Call: id, Params: body}
	if l.disconnected() {
		return fault.New(fault.Unavailable, fault.NotRun, "connection to VM %s is closed", l.vm)
	}
	waiter, err := l.conn.DispatchCall(ctx, method, message)
	if err != nil {
		l.connectionLost("send", err)
		return fault.New(fault.ConnectionLost, fault.MayHaveRun, "send to VM %s: %s", l.vm, err)
	}
	err = waiter.Wait(ctx, result)
	if err != nil && ctx.Err() != nil {
		_ = l.conn.Notify(context.Background(), methodCancel, cancelMessage{Call: id})
		return fault.From(ctx.Err())
	}
	return l.responseError(err)
}

// setChunkHandler sets the handler of the chunks of a call, or removes it if
// onChunk is nil.
func (l *link) setChunkHandler(id uint64, onChunk func(json.RawMessage)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if onChunk == nil {
		delete(l.chunkHandlers, id)
		return
	}
	l.chunkHandlers[id] = onChunk
}

// disconnected reports whether the connection was closed before a call was
// written. After an error of the write itself the outcome is unknown, because
// the library does not report how much of the message was sent.
func (l *link) disconnected() bool {
	select {
	case <-l.conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

func (l *link) responseError(err error) error {
	var wire *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &wire):
		return decodeError(wire)
	default:
		l.connectionLost("receive", err)
		return fault.New(fault.ConnectionLost, fault.MayHaveRun, "connection to VM %s lost: %s", l.vm, err)
	}
}
