package store

import (
	"context"
	"sync"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

// faultyWatcher is a watch of a [FaultInjector]. After FaultWatchSilent, Next returns
// no more events and blocks until ctx is done or the watch is closed.
type faultyWatcher struct {
	faults *FaultInjector
	inner  ports.Watcher
	prefix string
	silent bool
	once   sync.Once
	closed chan struct{}
}

// Next waits for the next changes.
func (w *faultyWatcher) Next(ctx context.Context) ([]ports.WatchEvent, error) {
	for {
		events, interrupted, err := w.nextOnce(ctx)
		if err == nil || !interrupted {
			return events, err
		}
	}
}

// nextOnce waits until there are changes or another fault is added. The boolean
// reports that a fault was added. It registers before it checks for faults, so
// that none is missed.
func (w *faultyWatcher) nextOnce(ctx context.Context) ([]ports.WatchEvent, bool, error) {
	nextCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.faults.register(w, cancel)
	defer w.faults.unregister(w)
	if err := w.inject(ctx); err != nil {
		return nil, false, err
	}
	events, err := w.inner.Next(nextCtx)
	return events, nextCtx.Err() != nil && ctx.Err() == nil, err
}

// inject returns the error of the active fault of the watch, or nil. On a silent
// watch it blocks until ctx is done or the watch is closed.
func (w *faultyWatcher) inject(ctx context.Context) error {
	injected := w.faults.nextFault(CallNext, w.prefix)
	switch {
	case w.silent || injected != nil && injected.Kind == FaultWatchSilent:
		w.silent = true
		return w.wait(ctx)
	case injected != nil && injected.Kind == FaultDown:
		return w.closeWithError(fault.New(fault.Unavailable, fault.NotRun, "store is down"))
	case injected != nil:
		return w.closeWithError(fault.New(fault.ConnectionLost, fault.NotRun, "watch was lost"))
	}
	return nil
}

// wait blocks until ctx is done or the watch is closed, and returns the error.
func (w *faultyWatcher) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return notSentError(ctx.Err())
	case <-w.closed:
		return fault.New(fault.Canceled, fault.NotRun, "watch closed")
	}
}

func (w *faultyWatcher) closeWithError(err error) error {
	return closeWithError(w, err)
}

// Close cancels the watch.
func (w *faultyWatcher) Close() error {
	w.once.Do(func() { close(w.closed) })
	return w.inner.Close()
}

func (f *FaultInjector) register(w *faultyWatcher, cancel context.CancelFunc) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.nextCalls == nil {
		f.nextCalls = map[*faultyWatcher]context.CancelFunc{}
	}
	f.nextCalls[w] = cancel
}

func (f *FaultInjector) unregister(w *faultyWatcher) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.nextCalls, w)
}
