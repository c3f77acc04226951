package store

import (
	"context"
	"sync"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

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
		events, interrupted, err := w.attempt(ctx)
		if err == nil || !interrupted {
			return events, err
		}
	}
}

// attempt waits until there are changes or another fault is added. It registers
// before it looks for faults, so that none is missed.
func (w *faultyWatcher) attempt(ctx context.Context) ([]ports.WatchEvent, bool, error) {
	attempt, cancel := context.WithCancel(ctx)
	defer cancel()
	w.faults.register(w, cancel)
	defer w.faults.forget(w)
	if err := w.meet(ctx); err != nil {
		return nil, false, err
	}
	events, err := w.inner.Next(attempt)
	return events, attempt.Err() != nil && ctx.Err() == nil, err
}

// meet returns the error of the fault that is in force for the watch. It does
// not return before ctx ends or the watch is closed if the watch is silent.
func (w *faultyWatcher) meet(ctx context.Context) error {
	met := w.faults.take(CallNext, w.prefix)
	switch {
	case w.silent || met != nil && met.Kind == FaultWatchSilent:
		w.silent = true
		return w.wait(ctx)
	case met != nil && met.Kind == FaultDown:
		return w.lose(fault.New(fault.Unavailable, fault.NotRun, "store is down"))
	case met != nil:
		return w.lose(fault.New(fault.ConnectionLost, fault.NotRun, "watch was lost"))
	}
	return nil
}

func (w *faultyWatcher) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return neverSent(ctx.Err())
	case <-w.closed:
		return fault.New(fault.Canceled, fault.NotRun, "watch closed")
	}
}

func (w *faultyWatcher) lose(err error) error {
	return closeAfter(w, err)
}

// Close ends the watch.
func (w *faultyWatcher) Close() error {
	w.once.Do(func() { close(w.closed) })
	return w.inner.Close()
}

func (f *FaultInjector) register(w *faultyWatcher, cancel context.CancelFunc) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.waits == nil {
		f.waits = map[*faultyWatcher]context.CancelFunc{}
	}
	f.waits[w] = cancel
}

func (f *FaultInjector) forget(w *faultyWatcher) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.waits, w)
}
