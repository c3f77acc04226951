package ledger

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"bergamotworks/fault"
)

const (
	// storeTimeout bounds one call to the store.
	storeTimeout = 2 * time.Second
	// tickInterval is the time between two checks of the retention.
	tickInterval = time.Second
	// inboxLength is the number of events that a driver takes in without waiting.
	inboxLength = 256
	// maxReadParallel is the number of calls that a takeover makes at once.
	maxReadParallel = 16
)

// driver feeds one shard with events and carries out its actions.
type driver struct {
	service *Service
	shard   *Shard
	inbox   chan message
	waiters map[uint64]chan Respond
	ids     atomic.Uint64
	group   errgroup.Group // The calls to the store that are under way.
	flushes []chan struct{}
	wakeNS  int64
	wake    <-chan time.Time
	ended   chan struct{} // Closed once the loop has ended.
}

// message is an event with the channel for its reply, or a wish to be told
// when the shard is idle.
type message struct {
	event Event
	reply chan Respond
	idle  chan struct{}
}

func newDriver(s *Service, shard int) *driver {
	return &driver{
		service: s,
		shard:   &Shard{Index: shard, MinCommitInterval: s.MinCommitInterval, MaxOpenBytes: s.MaxOpenBytes},
		inbox:   make(chan message, inboxLength),
		waiters: make(map[uint64]chan Respond),
		ended:   make(chan struct{}),
	}
}

// submit waits for the answer to an operation. An error's verdict is NotRun
// only if the operation is in no commit that may take effect.
func (d *driver) submit(ctx context.Context, op Op, fresh bool) (Decision, error) {
	id := d.ids.Add(1)
	reply := make(chan Respond, 1)
	select {
	case d.inbox <- message{event: OpSubmitted{ID: id, Op: op, Reload: fresh}, reply: reply}:
	case <-ctx.Done():
		return Decision{}, expiredError(fault.NotRun)
	case <-d.ended:
		return Decision{}, closedError(fault.NotRun)
	}
	select {
	case r := <-reply:
		return r.unpack()
	case <-d.ended:
		return Decision{}, closedError(fault.MayHaveRun)
	case <-ctx.Done():
	}
	return d.expire(id, reply)
}

func (d *driver) expire(id uint64, reply chan Respond) (Decision, error) {
	select {
	case d.inbox <- message{event: DeadlineExceeded{ID: id}}:
	case r := <-reply:
		return r.unpack()
	case <-d.ended:
		return Decision{}, closedError(fault.MayHaveRun)
	}
	select {
	case r := <-reply:
		return r.unpack()
	case <-d.ended:
		return Decision{}, closedError(fault.MayHaveRun)
	}
}

func (r Respond) unpack() (Decision, error) {
	if r.Err != nil {
		return Decision{}, r.Err
	}
	return r.Decision, nil
}

func closedError(verdict fault.Verdict) *fault.Error {
	return fault.New(fault.Unavailable, verdict, "the ledger is closed")
}

// flush waits until the shard is idle.
func (d *driver) flush(ctx context.Context) error {
	idle := make(chan struct{})
	select {
	case d.inbox <- message{idle: idle}:
	case <-ctx.Done():
		return fault.From(ctx.Err())
	case <-d.ended:
		return closedError(fault.MayHaveRun)
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return fault.From(ctx.Err())
	case <-d.ended:
		return closedError(fault.MayHaveRun)
	}
}

// loop returns the function that takes messages until the context ends.
func (d *driver) loop(ctx context.Context) func() error {
	return func() error {
		defer close(d.ended)
		d.tick(ctx)
		tick := d.service.Clock.After(tickInterval)
		for {
			select {
			case <-ctx.Done():
				return d.group.Wait()
			case m := <-d.inbox:
				d.take(ctx, m)
			case <-d.wake:
				d.wake, d.wakeNS = nil, 0
				d.step(ctx, TimerFired{})
			case <-tick:
				d.tick(ctx)
				tick = d.service.Clock.After(tickInterval)
			}
			d.notifyIdle()
		}
	}
}

func (d *driver) take(ctx context.Context, m message) {
	if m.idle != nil {
		d.flushes = append(d.flushes, m.idle)
		return
	}
	if e, ok := m.event.(OpSubmitted); ok {
		d.waiters[e.ID] = m.reply
	}
	d.step(ctx, m.event)
}

func (d *driver) notifyIdle() {
	if !d.shard.Idle() {
		return
	}
	for _, f := range d.flushes {
		close(f)
	}
	d.flushes = nil
}

// tick tells the shard what may be dropped, if this node is its writer.
func (d *driver) tick(ctx context.Context) {
	var cutoff int64
	if _, local := d.service.writer(d.shard.Index); local {
		cutoff = d.service.Clock.Now().UnixMilli() - d.service.Limits().RetentionMS
	}
	d.step(ctx, CutoffUpdated{CutoffMS: cutoff})
}

func (d *driver) step(ctx context.Context, event Event) {
	for _, action := range d.shard.Step(d.service.Clock.Now(), event) {
		d.act(ctx, action)
	}
}

func (d *driver) act(ctx context.Context, action Action) {
	switch a := action.(type) {
	case Load:
		d.group.Go(d.runLoad(ctx, a))
	case Commit:
		d.group.Go(d.runCommit(ctx, a))
	case SetTimer:
		d.wait(a.UntilNS)
	case Respond:
		if reply, ok := d.waiters[a.ID]; ok {
			delete(d.waiters, a.ID)
			reply <- a
		}
	}
}

func (d *driver) wait(untilNS int64) {
	if d.wakeNS != 0 && d.wakeNS <= untilNS {
		return
	}
	d.wakeNS = untilNS
	d.wake = d.service.Clock.After(time.Duration(untilNS - d.service.Clock.Now().UnixNano()))
}

func (d *driver) post(ctx context.Context, event Event) {
	select {
	case d.inbox <- message{event: event}:
	case <-ctx.Done():
	}
}
