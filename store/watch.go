package store

import (
	"context"
	"strings"
	"time"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

// maxPendingEvents is the maximum number of events that wait for a reader. The
// watch of a slower reader fails.
const maxPendingEvents = 4096

// memoryWatcher is a watch of a [Memory], whose mutex guards its fields.
type memoryWatcher struct {
	memory  *Memory
	prefix  string
	pending []ports.WatchEvent
	err     error
	wake    chan struct{}
}

// Watch reports the changes of the keys with a prefix.
func (m *Memory) Watch(ctx context.Context, request ports.WatchRequest) (ports.Watcher, error) {
	if err := ctx.Err(); err != nil {
		return nil, notSentError(err)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.beginCall(CallWatch)
	w := &memoryWatcher{memory: m, prefix: request.Prefix, wake: make(chan struct{}, 1)}
	if request.FromRevision > 0 {
		past, ok := m.log.since(request.FromRevision)
		if !ok {
			return nil, fault.New(fault.NotFound, fault.NotRun, "revision %d is no longer known", request.FromRevision)
		}
		w.deliver(past)
	}
	m.watchers[w] = struct{}{}
	return w, nil
}

// Watches returns the number of open watches.
func (m *Memory) Watches() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.watchers)
}

// Next waits for the next changes.
func (w *memoryWatcher) Next(ctx context.Context) ([]ports.WatchEvent, error) {
	for {
		events, wait, err := w.poll()
		if err != nil || len(events) > 0 {
			return events, err
		}
		select {
		case <-ctx.Done():
			return nil, fault.From(ctx.Err()).WithVerdict(fault.NotRun)
		case <-w.wake:
		case <-wait:
		}
	}
}

// poll returns the pending events, or a channel that receives when the next
// lease expires. The channel is nil if there is no lease.
func (w *memoryWatcher) poll() ([]ports.WatchEvent, <-chan time.Time, error) {
	m := w.memory
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expireLeases()
	if w.err != nil {
		return nil, nil, w.err
	}
	if len(w.pending) > 0 {
		events := w.pending
		w.pending = nil
		return events, nil, nil
	}
	expiry, ok := m.nextExpiry()
	if !ok {
		return nil, nil, nil
	}
	return nil, clockOf(m.Clock).After(expiry.Sub(m.now())), nil
}

// Close cancels the watch.
func (w *memoryWatcher) Close() error {
	w.memory.mutex.Lock()
	defer w.memory.mutex.Unlock()
	w.fail(fault.New(fault.Canceled, fault.NotRun, "watch closed"))
	return nil
}

func (w *memoryWatcher) deliver(changes []change) {
	for _, c := range changes {
		if !strings.HasPrefix(c.event.Entry.Key, w.prefix) {
			continue
		}
		event := c.event
		event.Entry = clone(event.Entry)
		w.pending = append(w.pending, event)
	}
	if len(w.pending) > maxPendingEvents {
		w.fail(fault.New(fault.ConnectionLost, fault.NotRun, "watch fell behind"))
		return
	}
	w.signal()
}

func (w *memoryWatcher) fail(err error) {
	if w.err == nil {
		w.err = err
	}
	delete(w.memory.watchers, w)
	w.signal()
}

func (w *memoryWatcher) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
