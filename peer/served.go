package peer

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

// served is one incoming call.
type served struct {
	session *session
	conn    *jsonrpc2.Conn
	id      jsonrpc2.ID
	message envelope
	handler Handler

	mutex    sync.Mutex // Guards the fields below.
	idle     sync.Cond  // Signals the end of flushing.
	pending  []json.RawMessage
	flushing bool
}

// run calls the handler and sends its answer after the last chunk.
func (c *served) run(ctx context.Context) {
	defer c.session.mesh.running.Done()
	defer c.session.end(c.message.Call)
	incoming := Request{From: c.message.From, Params: c.message.Params, Send: c.send}
	result, err := c.handler(ctx, incoming)
	c.wait()
	if err != nil {
		_ = c.conn.ReplyWithError(context.Background(), c.id, encodeError(err))
		return
	}
	_ = c.conn.Reply(context.Background(), c.id, result)
}

// send queues a chunk. It does not wait for the connection; chunks that come
// while one is being written go out together.
func (c *served) send(data any) error {
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
		go c.loop()
	}
	return nil
}

// loop writes the queued chunks until none is left.
func (c *served) loop() {
	defer c.session.mesh.running.Done()
	for {
		batch := c.take()
		if batch == nil {
			return
		}
		_ = c.conn.Notify(context.Background(), methodChunks, chunks{Call: c.message.Call, Data: batch})
	}
}

// take returns the queued chunks, or ends the flushing if there are none.
func (c *served) take() []json.RawMessage {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	batch := c.pending
	c.pending = nil
	if batch == nil {
		c.flushing = false
		c.idle.Broadcast()
	}
	return batch
}

// wait returns once every queued chunk has been written.
func (c *served) wait() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for c.flushing {
		c.idle.Wait()
	}
}
