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
	dialTimeout   = 500 * time.Millisecond
	checkInterval = 250 * time.Millisecond
	pingAfter     = 750 * time.Millisecond  // Silence after which a ping is sent.
	silentAfter   = 2000 * time.Millisecond // Silence after which a connection is closed.
)

// link is an outgoing connection to one VM. It is used for one connection
// only; a broken link is replaced.
type link struct {
	mesh     *Mesh
	vm       string
	ready    chan struct{} // Closed once conn or err is set.
	stream   net.Conn
	conn     *jsonrpc2.Conn
	err      error
	stopped  atomic.Bool
	begun    time.Time
	received atomic.Int64  // Time of the last message in nanoseconds since the begin, by the steady clock.
	waiting  atomic.Int64  // Number of calls that wait.
	dormant  atomic.Bool   // No call waits and the silence is not watched.
	called   chan struct{} // Ends the dormancy.
	next     atomic.Uint64
	mutex    sync.Mutex
	chunks   map[uint64]func(json.RawMessage)
}

// run dials, then watches the connection until it ends.
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
	check := l.mesh.Clock.After(checkInterval)
	for {
		select {
		case <-l.conn.DisconnectNotify():
			l.close()
			return
		case <-l.called:
			l.received.Store(int64(l.mesh.Clock.Now().Sub(l.begun)))
			check = l.mesh.Clock.After(checkInterval)
		case now := <-check:
			check = nil
			if l.check(now) {
				check = l.mesh.Clock.After(checkInterval)
			}
		}
	}
}

func (l *link) dial() {
	address, ok := l.mesh.Directory(l.vm)
	if !ok {
		l.fail(fault.New(fault.Unavailable, fault.NotRun, "no address for VM %s", l.vm))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	stream, err := l.mesh.Network.Dial(ctx, address)
	if err != nil {
		l.fail(fault.New(fault.Unavailable, fault.NotRun, "connect to VM %s: %s", l.vm, err))
		return
	}
	l.received.Store(int64(l.mesh.Clock.Now().Sub(l.begun)))
	l.stream = &writeLimited{Conn: stream, clock: l.mesh.Clock}
	l.chunks = make(map[uint64]func(json.RawMessage))
	l.conn = jsonrpc2.NewConn(context.Background(), jsonrpc2.NewPlainObjectStream(l.stream), l, jsonrpc2.OnRecv(l.onReceive), jsonrpc2.SetLogger(protocolLog{l.mesh.Log}))
}

func (l *link) fail(err error) {
	l.stopped.Store(true)
	l.err = err
}

func (l *link) wait(ctx context.Context) error {
	select {
	case <-l.ready:
		return l.err
	case <-ctx.Done():
		return fault.From(ctx.Err()).WithVerdict(fault.NotRun)
	}
}

func (l *link) broken() bool {
	return l.stopped.Load()
}

func (l *link) close() {
	l.stopped.Store(true)
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

// lose closes a connection that failed and says why, once.
func (l *link) lose(step string, err error) {
	if !l.broken() {
		l.mesh.count("peer_lost_connections_total")
		l.mesh.Log.WithFields(logrus.Fields{"peer": l.vm, "step": step, "error": err.Error()}).Info("connection to peer lost")
	}
	l.close()
}

// check closes the connection if calls wait and nothing has been received. It
// returns false once no call waits; the next call then ends the dormancy.
func (l *link) check(now time.Time) bool {
	if l.waiting.Load() == 0 {
		l.dormant.Store(true)
		return l.waiting.Load() > 0 && l.dormant.CompareAndSwap(true, false)
	}
	silence := now.Sub(l.begun) - time.Duration(l.received.Load())
	switch {
	case silence > silentAfter:
		l.mesh.count("peer_silent_connections_total")
		l.mesh.Log.WithField("peer", l.vm).Warn("closing silent connection")
		l.close()
	case silence > pingAfter:
		_, _ = l.conn.DispatchCall(context.Background(), methodPing, struct{}{})
	}
	return true
}

// wake has the silence watched again.
func (l *link) wake() {
	if l.dormant.CompareAndSwap(true, false) {
		l.called <- struct{}{}
	}
}

func (l *link) onReceive(*jsonrpc2.Request, *jsonrpc2.Response) {
	l.received.Store(int64(l.mesh.Clock.Now().Sub(l.begun)))
}

// Handle receives the chunks of streamed answers.
func (l *link) Handle(_ context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Method != methodChunks || request.Params == nil {
		return
	}
	var message chunks
	if json.Unmarshal(*request.Params, &message) != nil {
		return
	}
	l.mutex.Lock()
	onChunk := l.chunks[message.Call]
	l.mutex.Unlock()
	if onChunk == nil {
		return
	}
	for _, d := range message.Data {
		onChunk(d)
	}
}

func (l *link) call(ctx context.Context, method string, params, result any, onChunk func(json.RawMessage)) error {
	body, err := json.Marshal(params)
	if err != nil {
		return fault.New(fault.Internal, fault.NotRun, "encode %s: %s", method, err)
	}
	number := l.next.Add(1)
	if onChunk != nil {
		l.setChunks(number, onChunk)
		defer l.setChunks(number, nil)
	}
	l.waiting.Add(1)
	l.wake()
	defer l.waiting.Add(-1)
	l.mesh.count("peer_calls_total")
	message := envelope{From: l.mesh.Self, Call: number, Params: body}
	if l.disconnected() {
		return fault.New(fault.Unavailable, fault.NotRun, "connection to VM %s is closed", l.vm)
	}
	waiter, err := l.conn.DispatchCall(ctx, method, message)
	if err != nil {
		l.lose("send", err)
		return fault.New(fault.ConnectionLost, fault.MayHaveRun, "send to VM %s: %s", l.vm, err)
	}
	err = waiter.Wait(ctx, result)
	if err != nil && ctx.Err() != nil {
		_ = l.conn.Notify(context.Background(), methodCancel, cancel{Call: number})
		return fault.From(ctx.Err())
	}
	return l.answerError(err)
}

func (l *link) setChunks(number uint64, onChunk func(json.RawMessage)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if onChunk == nil {
		delete(l.chunks, number)
		return
	}
	l.chunks[number] = onChunk
}

// disconnected reports whether the connection had ended before a call was
// written. An error of the writing itself leaves the outcome open: the library
// does not tell how much of the message has left.
func (l *link) disconnected() bool {
	select {
	case <-l.conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

func (l *link) answerError(err error) error {
	var wire *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &wire):
		return decodeError(wire)
	default:
		l.lose("receive", err)
		return fault.New(fault.ConnectionLost, fault.MayHaveRun, "connection to VM %s lost: %s", l.vm, err)
	}
}
