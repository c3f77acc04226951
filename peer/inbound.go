package peer

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

// inboundCall is a call received from another node.
type inboundCall struct {
	session *session
	conn    *jsonrpc2.Conn
	id      jsonrpc2.ID
	message envelope
	handler Handler

	mutex    sync.Mutex // Guards the fields below.
	flushed  sync.Cond  // Signaled when flushing becomes false.
	pending  []json.RawMessage
	flushing bool // Whether flush runs.
}

// run calls the handler and sends its response after the last chunk.
func (c *inboundCall) run(ctx context.Context) {
	defer c.session.mesh.running.Done()
	defer c.session.endCall(c.message.Call)
	request := Request{From: c.message.From, Params: c.message.Params, Send: c.send}
	result, err := c.handler(ctx, request)
	c.awaitFlushed()
	if err != nil {
		_ = c.conn.ReplyWithError(context.Background(), c.id, encodeError(err))
		return
	}
	_ = c.conn.Reply(context.Background(), c.id, result)
}

// send queues a chunk without waiting for the connection. Chunks that are
// queued while a message is being written are batched into the next one.
func (c *inboundCall) send(data any) error {
	body, err := json.Marshal(data)
	if err != nil {
		return err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pending = append(c.pending, body)
	if !c.flushing {
		c.flushing = true
		c.session.mesh.running.Add(1)
		go c.flush()
	}
	return nil
}

// flush writes the queued chunks until the queue is empty.
func (c *inboundCall) flush() {
	defer c.session.mesh.running.Done()
	for {
		batch := c.take()
		if batch == nil {
			return
		}
		_ = c.conn.Notify(context.Background(), methodChunks, chunkMessage{Call: c.message.Call, Data: batch})
	}
}

// take returns the queued chunks. If there are none, it clears flushing and
// returns nil.
func (c *inboundCall) take() []json.RawMessage {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	batch := c.pending
	c.pending = nil
	if batch == nil {
		c.flushing = false
		c.flushed.Broadcast()
	}
	return batch
}

// awaitFlushed blocks until every queued chunk has been written.
func (c *inboundCall) awaitFlushed() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for c.flushing {
		c.flushed.Wait()
	}
}
