package ledger

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"bergamotworks/fault"
)

const (
	// storeTimeout limits one call to the store.
	storeTimeout = 2 * time.Second
	// tickInterval is the interval at which the retention cutoff is updated.
	tickInterval = time.Second
	// inboxLength is the buffer size of the message channel of a driver.
	inboxLength = 256
	// maxParallelReads is the maximum number of concurrent calls of one load.
	maxParallelReads = 16
)

// driver runs one shard: it passes events to it and performs its actions.
type driver struct {
	service     *Service
	shard       *Shard
	inbox       chan message
	waiters     map[uint64]chan Respond
	ids         atomic.Uint64
	group       errgroup.Group  // The calls to the store that are in flight.
	idleWaiters []chan struct{} // Closed once the shard is idle.
	timerNS     int64
	timer       <-chan time.Time
	done        chan struct{} // Closed once the loop has returned.
}

// message is an event with the channel for its response, or a request to close
// the idle channel once the shard is idle.
type message struct {
	event    Event
	response chan Respond
	idle     chan struct{}
}

func newDriver(s *Service, shard int) *driver {
	return &driver{
		service: s,
		shard:   &Shard{Index: shard, MinCommitInterval: s.MinCommitInterval, MaxOpenBytes: s.MaxOpenBytes},
		inbox:   make(chan message, inboxLength),
		waiters: make(map[uint64]chan Respond),
		done:    make(chan struct{}),
	}
}

// submit submits an operation and waits for the decision. The verdict of an
// error is NotRun only if the operation is in no commit that may take effect.
func (d *driver) submit(ctx context.Context, op Op, reload bool) (Decision, error) {
	id := d.ids.Add(1)
	response := make(chan Respond, 1)
	select {
	case d.inbox <- message{event: OpSubmitted{ID: id, Op: op, Reload: reload}, response: response}:
	case <-ctx.Done():
		return Decision{}, deadlineError(fault.NotRun)
	case <-d.done:
		return Decision{}, closedError(fault.NotRun)
	}
	select {
	case r := <-response:
		return r.result()
	case <-d.done:
		return Decision{}, closedError(fault.MayHaveRun)
	case <-ctx.Done():
	}
	return d.reportDeadline(id, response)
}

// reportDeadline reports to the shard that the deadline of an operation has passed
// and waits for the shard's response.
func (d *driver) reportDeadline(id uint64, response chan Respond) (Decision, error) {
	select {
	case d.inbox <- message{event: DeadlineExceeded{ID: id}}:
	case r := <-response:
		return r.result()
	case <-d.done:
		return Decision{}, closedError(fault.MayHaveRun)
	}
	select {
	case r := <-response:
		return r.result()
	case <-d.done:
		return Decision{}, closedError(fault.MayHaveRun)
	}
}

func (r Respond) result() (Decision, error) {
	if r.Err != nil {
		return Decision{}, r.Err
	}
	return r.Decision, nil
}

func closedError(verdict fault.Verdict) *fault.Error {
	return fault.New(fault.Unavailable, verdict, "the ledger is closed")
}

// waitIdle waits until the shard is idle.
func (d *driver) waitIdle(ctx context.Context) error {
	idle := make(chan struct{})
	select {
	case d.inbox <- message{idle: idle}:
	case <-ctx.Done():
		return fault.From(ctx.Err())
	case <-d.done:
		return closedError(fault.MayHaveRun)
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return fault.From(ctx.Err())
	case <-d.done:
		return closedError(fault.MayHaveRun)
	}
}

// loop returns the function that processes messages until the context is
// canceled.
func (d *driver) loop(ctx context.Context) func() error {
	return func() error {
		defer close(d.done)
		d.tick(ctx)
		tick := d.service.Clock.After(tickInterval)
		for {
			select {
			case <-ctx.Done():
				return d.group.Wait()
			case m := <-d.inbox:
				d.handle(ctx, m)
			case <-d.timer:
				d.timer, d.timerNS = nil, 0
				d.step(ctx, TimerFired{})
			case <-tick:
				d.tick(ctx)
				tick = d.service.Clock.After(tickInterval)
			}
			d.notifyIdle()
		}
	}
}

func (d *driver) handle(ctx context.Context, m message) {
	if m.idle != nil {
		d.idleWaiters = append(d.idleWaiters, m.idle)
		return
	}
	if e, ok := m.event.(OpSubmitted); ok {
		d.waiters[e.ID] = m.response
	}
	d.step(ctx, m.event)
}

func (d *driver) notifyIdle() {
	if !d.shard.Idle() {
		return
	}
	for _, f := range d.idleWaiters {
		close(f)
	}
	d.idleWaiters = nil
}

// tick updates the retention cutoff of the shard: zero if this node is not its
// writer.
func (d *driver) tick(ctx context.Context) {
	var cutoff int64
	if _, local := d.service.writer(d.shard.Index); local {
		cutoff = d.service.Clock.Now().UnixMilli() - d.service.Limits().RetentionMS
	}
	d.step(ctx, CutoffUpdated{CutoffMS: cutoff})
}

func (d *driver) step(ctx context.Context, event Event) {
	for _, action := range d.shard.Step(d.service.Clock.Now(), event) {
		d.perform(ctx, action)
	}
}

func (d *driver) perform(ctx context.Context, action Action) {
	switch a := action.(type) {
	case Load:
		d.group.Go(d.runLoad(ctx, a))
	case Commit:
		d.group.Go(d.runCommit(ctx, a))
	case SetTimer:
		d.setTimer(a.UntilNS)
	case Respond:
		if response, ok := d.waiters[a.ID]; ok {
			delete(d.waiters, a.ID)
			response <- a
		}
	}
}

func (d *driver) setTimer(untilNS int64) {
	if d.timerNS != 0 && d.timerNS <= untilNS {
		return
	}
	d.timerNS = untilNS
	d.timer = d.service.Clock.After(time.Duration(untilNS - d.service.Clock.Now().UnixNano()))
}

func (d *driver) send(ctx context.Context, event Event) {
	select {
	case d.inbox <- message{event: event}:
	case <-ctx.Done():
	}
}
