package pool

import (
	"time"

	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/queue"
)

// Pool is the state of one pool at its owner. Set the exported fields before
// the first [Pool.Step] and do not change them afterwards.
type Pool struct {
	Spec   Spec
	Config note.Config
	Policy Policy
	// Nodes is the number of live nodes, which only [SplitLimits] uses.
	Nodes int
	// QueueLimit bounds the waiting calls; zero means a multiple of the limits.
	QueueLimit int
	// AffinityBound is how much fuller than the average a target may be that is
	// chosen for its prefix cache; zero means 2.
	AffinityBound float64

	members   []*member // Sorted by name.
	calls     map[string]*call
	queue     queue.Queue
	apart     []*call // Waiting calls that only some of the targets may run.
	prefixes  prefixIndex
	costs     costTable
	arrivals  int64 // Calls submitted so far.
	rotation  int
	suspended bool
	drained   bool
	ready     bool
	actions   []Action
}

// Step takes in an event at now and returns what is to be done.
func (p *Pool) Step(now time.Time, event Event) []Action {
	p.actions = nil
	p.prepare(now)
	p.take(now, event)
	p.dispatch(now)
	return p.actions
}

func (p *Pool) prepare(now time.Time) {
	if p.ready {
		return
	}
	p.ready = true
	p.calls = make(map[string]*call)
	config := p.Config
	p.Config = note.Config{}
	p.configure(now, config)
}

func (p *Pool) take(now time.Time, event Event) {
	switch e := event.(type) {
	case Submitted:
		p.submit(now, e.Call)
	case StreamStarted:
		p.start(now, e)
	case StreamSlowed:
		p.slowed(now, e)
	case Finished:
		p.finish(now, e)
	case CancelRequested:
		p.cancel(e.Attempt)
	case LoadReported:
		p.report(now, e)
	case CacheReported:
		p.reportCache(e)
	case Configured:
		p.configure(now, e.Config)
	case TakenOver:
		p.takeOver(now, e)
	case Suspended:
		p.suspended = true
	case Resumed:
		p.resume(now)
	case Drained:
		p.drained = true
		p.refuseWaiting("the owner of the pool leaves")
	case Ticked:
		p.expire(now)
	}
}

func (p *Pool) start(now time.Time, event StreamStarted) {
	c := p.calls[event.Attempt]
	if c == nil || c.member == nil {
		return
	}
	c.member.target.FirstToken(now, c.epoch, event.FirstToken)
}

func (p *Pool) slowed(now time.Time, event StreamSlowed) {
	c := p.calls[event.Attempt]
	if c == nil || c.member == nil {
		return
	}
	c.member.target.StreamSlowed(now, c.epoch)
}

func (p *Pool) finish(now time.Time, event Finished) {
	c := p.calls[event.Attempt]
	if c == nil || c.member == nil {
		return
	}
	delete(p.calls, event.Attempt)
	m := c.member
	m.target.Finish(now, c.epoch, event.Outcome)
	m.release(c)
	switch event.Outcome.Kind {
	case Succeeded:
		p.costs.add(c.Stage, event.Outcome.Latency)
	case Crashed:
		p.prefixes.drop(m.slot)
	case Canceled, Silent:
		p.costs.addAtLeast(c.Stage, event.Outcome.Latency)
	case Failed, Overloaded:
	}
	p.retire(m)
}

func (p *Pool) cancel(attempt string) {
	c := p.calls[attempt]
	if c == nil {
		return
	}
	if c.member == nil {
		p.withdraw(c)
		p.refuse(c, refusal(fault.Canceled, 0, "the caller no longer waits"))
		return
	}
	if !c.MustFinish {
		p.actions = append(p.actions, Cancel{Attempt: attempt})
	}
}

// refuse answers a call that was never dispatched.
func (p *Pool) refuse(c *call, err *fault.Error) {
	delete(p.calls, c.Attempt)
	p.actions = append(p.actions, Refuse{Attempt: c.Attempt, Err: err})
}
