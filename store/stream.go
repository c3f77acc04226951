package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

// clientWatcher reads a watch stream. The stream uses net/http, whose requests
// end with their context: a fasthttp stream cannot be ended while a read waits.
type clientWatcher struct {
	stream  io.ReadCloser
	cancel  context.CancelFunc
	idle    func()
	results chan wireWatchResult
	done    chan struct{}
	err     error // Set before done is closed.
}

// Watch reports the changes of the keys with a prefix.
func (c *Client) Watch(ctx context.Context, request ports.WatchRequest) (ports.Watcher, error) {
	if err := ctx.Err(); err != nil {
		return nil, neverSent(err)
	}
	body, err := json.Marshal(wireWatch{Create: wireWatchCreate{
		Key:           []byte(request.Prefix),
		RangeEnd:      rangeEnd(request.Prefix, true),
		StartRevision: request.FromRevision,
	}})
	if err != nil {
		return nil, fault.New(fault.Internal, fault.NotRun, "encode watch: %s", err)
	}
	streaming, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	w := &clientWatcher{
		cancel:  cancel,
		results: make(chan wireWatchResult),
		done:    make(chan struct{}),
	}
	if err := c.open(streaming, w, body); err != nil {
		cancel()
		return nil, err
	}
	go w.loop(streaming)
	if err := w.created(ctx); err != nil {
		return nil, closeAfter(w, err)
	}
	return w, nil
}

// open sends the watch request. Its connection serves this stream alone.
func (c *Client) open(ctx context.Context, w *clientWatcher, body []byte) error {
	address, turn := c.endpoint()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+pathWatch, bytes.NewReader(body))
	if err != nil {
		return fault.New(fault.Invalid, fault.NotRun, "store address %s: %s", address, err)
	}
	transport := &http.Transport{DialContext: c.dialStream, DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return c.failed(turn, err)
	}
	if response.StatusCode != http.StatusOK {
		return refused(response)
	}
	w.stream = response.Body
	w.idle = transport.CloseIdleConnections
	return nil
}

func refused(response *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxLineBytes))
	if closeErr := response.Body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fault.New(fault.ConnectionLost, fault.NotRun, "watch: %s", err)
	}
	return refusal(response.StatusCode, text)
}

const maxLineBytes = 1 << 16

func (c *Client) dialStream(ctx context.Context, _, address string) (net.Conn, error) {
	conn, err := c.Network.Dial(ctx, address)
	if err != nil {
		return nil, &ports.DialError{Cause: err}
	}
	return conn, nil
}

// created waits until the store has confirmed the watch.
func (w *clientWatcher) created(ctx context.Context) error {
	result, err := w.next(ctx)
	if err != nil {
		return err
	}
	if !result.Created {
		return fault.New(fault.Unavailable, fault.NotRun, "watch was not created")
	}
	return nil
}

// Next waits for the next changes.
func (w *clientWatcher) Next(ctx context.Context) ([]ports.WatchEvent, error) {
	for {
		result, err := w.next(ctx)
		if err != nil {
			return nil, err
		}
		if len(result.Events) > 0 {
			return result.events(), nil
		}
	}
}

func (w *clientWatcher) next(ctx context.Context) (wireWatchResult, error) {
	select {
	case r := <-w.results:
		return r, nil
	case <-w.done:
		return wireWatchResult{}, w.err
	case <-ctx.Done():
		return wireWatchResult{}, neverSent(ctx.Err())
	}
}

// loop decodes the stream until it ends.
func (w *clientWatcher) loop(ctx context.Context) {
	defer close(w.done)
	decoder := json.NewDecoder(w.stream)
	for {
		var message wireWatchMessage
		if err := decoder.Decode(&message); err != nil {
			w.err = ended(ctx, err)
			return
		}
		if message.Error != nil || message.Result.Canceled {
			w.err = canceled(message)
			return
		}
		select {
		case w.results <- message.Result:
		case <-ctx.Done():
			w.err = ended(ctx, ctx.Err())
			return
		}
	}
}

// ended returns the error of a stream that ended without a message.
func ended(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fault.New(fault.Canceled, fault.NotRun, "watch closed")
	}
	return fault.New(fault.ConnectionLost, fault.NotRun, "watch ended: %s", err)
}

func canceled(message wireWatchMessage) error {
	if message.Error != nil {
		return fault.New(fault.ConnectionLost, fault.NotRun, "watch: %s", message.Error.Message)
	}
	return fault.New(fault.NotFound, fault.NotRun, "watch was canceled: %s", message.Result.Reason)
}

// Close ends the watch and waits for its reader.
func (w *clientWatcher) Close() error {
	w.cancel()
	<-w.done
	err := w.stream.Close()
	w.idle()
	return err
}

func (w wireWatchResult) events() []ports.WatchEvent {
	var events []ports.WatchEvent
	for _, e := range w.Events {
		events = append(events, ports.WatchEvent{Entry: e.Kv.entry(), Deleted: e.Type == "DELETE"})
	}
	return events
}
