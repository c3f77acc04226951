package ledger

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Limits of the operations that are retried in the background.
const (
	maxQueuedRetries   = 1024
	maxRetryBytes      = 16 << 20
	maxParallelRetries = 16
	retryTimeout       = 5 * time.Second
	retryInterval      = 500 * time.Millisecond
)

// retrier retries withdrawals and completions whose first attempt failed, until
// they succeed or their records are past the retention period. An operation that
// exceeds the limits is dropped. Its record then stays pending, which is correct:
// the call may have run.
type retrier struct {
	service *Service
	wake    chan struct{}
	mutex   sync.Mutex
	ops     []Op
	bytes   int
	running int
}

func (r *retrier) add(op Op) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	size := sizeOf(op)
	if len(r.ops) >= maxQueuedRetries || r.bytes+size > maxRetryBytes {
		r.service.Log.WithField("key", op.subject().Key).Warn("ledger retry queue is full; record stays pending")
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

func (r *retrier) take() []Op {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ops := r.ops
	r.ops = nil
	r.bytes = 0
	r.running = len(ops)
	return ops
}

func (r *retrier) done() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.running--
}

func (r *retrier) idle() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.running == 0 && len(r.ops) == 0
}

// loop returns the function that retries operations until the context is
// canceled.
func (r *retrier) loop(ctx context.Context) func() error {
	return func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-r.wake:
			}
			r.retryAll(ctx, r.take())
			select {
			case <-ctx.Done():
				return nil
			case <-r.service.Clock.After(retryInterval):
			}
		}
	}
}

func (r *retrier) retryAll(ctx context.Context, ops []Op) {
	var group errgroup.Group
	group.SetLimit(maxParallelRetries)
	for _, op := range ops {
		group.Go(r.runRetry(ctx, op))
	}
	_ = group.Wait() // runRetry returns no error.
}

// runRetry returns the function that makes one attempt. A failed operation is
// queued again until its record is past the retention period.
func (r *retrier) runRetry(ctx context.Context, op Op) func() error {
	return func() error {
		defer r.done()
		callCtx, cancel := context.WithTimeout(ctx, retryTimeout)
		defer cancel()
		if _, err := r.service.execute(callCtx, op); err != nil && ctx.Err() == nil && !r.tooOld(op) {
			r.add(op)
		}
		return nil
	}
}

func (r *retrier) tooOld(op Op) bool {
	s := r.service
	age := s.Clock.Now().UnixMilli() - op.subject().CreatedMS
	return age > s.Limits().RetentionMS
}
