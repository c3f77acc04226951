package ledger

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Bounds of the operations that are repeated in the background.
const (
	maxRepeats        = 1024
	maxRepeatBytes    = 16 << 20
	maxRepeatParallel = 16
	repeatTimeout     = 5 * time.Second
	repeatPause       = 500 * time.Millisecond
)

// repeater carries out withdrawals and completions whose first attempt failed,
// until they are settled. An operation that finds no room is given up: its
// record then stays pending, which is truthful.
type repeater struct {
	service *Service
	wake    chan struct{}
	mutex   sync.Mutex
	ops     []Op
	bytes   int
	running int
}

func (r *repeater) add(op Op) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	size := sizeOf(op)
	if len(r.ops) >= maxRepeats || r.bytes+size > maxRepeatBytes {
		r.service.Log.WithField("key", op.subject().Key).Warn("ledger record left pending")
		return
	}
	r.ops = append(r.ops, op)
	r.bytes += size
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func sizeOf(op Op) int {
	if c, ok := op.(Complete); ok {
		return len(c.Result)
	}
	return 0
}

func (r *repeater) take() []Op {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ops := r.ops
	r.ops = nil
	r.bytes = 0
	r.running = len(ops)
	return ops
}

func (r *repeater) done() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.running--
}

func (r *repeater) idle() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.running == 0 && len(r.ops) == 0
}

// loop returns the function that repeats operations until the context ends.
func (r *repeater) loop(ctx context.Context) func() error {
	return func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-r.wake:
			}
			r.repeat(ctx, r.take())
			select {
			case <-ctx.Done():
				return nil
			case <-r.service.Clock.After(repeatPause):
			}
		}
	}
}

func (r *repeater) repeat(ctx context.Context, ops []Op) {
	var group errgroup.Group
	group.SetLimit(maxRepeatParallel)
	for _, op := range ops {
		group.Go(r.runRepeat(ctx, op))
	}
	_ = group.Wait() // runRepeat returns no error.
}

// runRepeat returns the function that makes one attempt. A failed operation is
// kept until its record would be dropped anyway.
func (r *repeater) runRepeat(ctx context.Context, op Op) func() error {
	return func() error {
		defer r.done()
		callCtx, stop := context.WithTimeout(ctx, repeatTimeout)
		defer stop()
		if _, err := r.service.ask(callCtx, op); err != nil && ctx.Err() == nil && !r.tooOld(op) {
			r.add(op)
		}
		return nil
	}
}

func (r *repeater) tooOld(op Op) bool {
	s := r.service
	age := s.Clock.Now().UnixMilli() - op.subject().CreatedMS
	return age > s.Limits().RetentionMS
}
