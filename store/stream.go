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

// clientWatcher reads a watch stream. It uses net/http, whose requests can be
// canceled by their context. A fasthttp stream cannot be canceled while a read is
// blocked.
type clientWatcher struct {
	stream    io.ReadCloser
	cancel    context.CancelFunc
	closeIdle func()
	results   chan wireWatchResult
	done      chan struct{}
	err       error // Set before done is closed.
}

// Watch reports the changes of the keys with a prefix.
func (c *Client) Watch(ctx context.Context, request ports.WatchRequest) (ports.Watcher, error) {
	if err := ctx.Err(); err != nil {
		return nil, notSentError(err)
	}
	body, err := json.Marshal(wireWatch{Create: wireWatchCreate{
		Key:           []byte(request.Prefix),
		RangeEnd:      rangeEnd(request.Prefix, true),
		StartRevision: request.FromRevision,
	}})
	if err != nil {
		return nil, fault.New(fault.Internal, fault.NotRun, "encode watch: %s", err)
	}
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	w := &clientWatcher{
		cancel:  cancel,
		results: make(chan wireWatchResult),
		done:    make(chan struct{}),
	}
	if err := c.openStream(streamCtx, w, body); err != nil {
		cancel()
		return nil, err
	}
	go w.loop(streamCtx)
	if err := w.waitCreated(ctx); err != nil {
		return nil, closeWithError(w, err)
	}
	return w, nil
}

// openStream sends the watch request on a connection of its own.
func (c *Client) openStream(ctx context.Context, w *clientWatcher, body []byte) error {
	address, index := c.endpoint()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+pathWatch, bytes.NewReader(body))
	if err != nil {
		return fault.New(fault.Invalid, fault.NotRun, "store address %s: %s", address, err)
	}
	transport := &http.Transport{DialContext: c.dialStream, DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return c.failover(index, err)
	}
	if response.StatusCode != http.StatusOK {
		return watchStatusError(response)
	}
	w.stream = response.Body
	w.closeIdle = transport.CloseIdleConnections
	return nil
}

func watchStatusError(response *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	if closeErr := response.Body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fault.New(fault.ConnectionLost, fault.NotRun, "watch: %s", err)
	}
	return statusError(response.StatusCode, text)
}

// maxErrorBodyBytes limits the body of an error response.
const maxErrorBodyBytes = 1 << 16

func (c *Client) dialStream(ctx context.Context, _, address string) (net.Conn, error) {
	conn, err := c.Network.Dial(ctx, address)
	if err != nil {
		return nil, &ports.DialError{Cause: err}
	}
	return conn, nil
}

// waitCreated waits until the store confirms the watch.
func (w *clientWatcher) waitCreated(ctx context.Context) error {
	result, err := w.nextResult(ctx)
	if err != nil {
		return err
	}
	if !result.Created {
		return fault.New(fault.Unavailable, fault.NotRun, "watch was not created")
	}
	return nil
}

// Next waits for the next changes. Messages without changes are skipped. The error
// is fault.NotFound if the store canceled the watch, and fault.ConnectionLost if the
// stream failed.
func (w *clientWatcher) Next(ctx context.Context) ([]ports.WatchEvent, error) {
	for {
		result, err := w.nextResult(ctx)
		if err != nil {
			return nil, err
		}
		if len(result.Events) > 0 {
			return result.events(), nil
		}
	}
}

func (w *clientWatcher) nextResult(ctx context.Context) (wireWatchResult, error) {
	select {
	case r := <-w.results:
		return r, nil
	case <-w.done:
		return wireWatchResult{}, w.err
	case <-ctx.Done():
		return wireWatchResult{}, notSentError(ctx.Err())
	}
}

// loop decodes the messages of the stream until it ends.
func (w *clientWatcher) loop(ctx context.Context) {
	defer close(w.done)
	decoder := json.NewDecoder(w.stream)
	for {
		var message wireWatchMessage
		if err := decoder.Decode(&message); err != nil {
			w.err = streamError(ctx, err)
			return
		}
		if message.Error != nil || message.Result.Canceled {
			w.err = watchEndError(message)
			return
		}
		select {
		case w.results <- message.Result:
		case <-ctx.Done():
			w.err = streamError(ctx, ctx.Err())
			return
		}
	}
}

// streamError returns the error of a stream that ended without an error message.
func streamError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fault.New(fault.Canceled, fault.NotRun, "watch closed")
	}
	return fault.New(fault.ConnectionLost, fault.NotRun, "watch ended: %s", err)
}

// watchEndError returns the error of a watch that the store ended: fault.NotFound
// if the store canceled it, for example because the start revision was compacted,
// and fault.ConnectionLost if the stream ended with an error message.
func watchEndError(message wireWatchMessage) error {
	if message.Error != nil {
		return fault.New(fault.ConnectionLost, fault.NotRun, "watch: %s", message.Error.Message)
	}
	return fault.New(fault.NotFound, fault.NotRun, "watch was canceled: %s", message.Result.Reason)
}

// Close cancels the watch and waits for its goroutine.
func (w *clientWatcher) Close() error {
	w.cancel()
	<-w.done
	err := w.stream.Close()
	w.closeIdle()
	return err
}

func (w wireWatchResult) events() []ports.WatchEvent {
	var events []ports.WatchEvent
	for _, e := range w.Events {
		events = append(events, ports.WatchEvent{Entry: e.Kv.entry(), Deleted: e.Type == "DELETE"})
	}
	return events
}
