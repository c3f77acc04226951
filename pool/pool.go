package pool

import (
	"time"

	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/queue"
)

// Pool is the state of one pool at its owner. Set the exported fields before
// the first [Pool.Step] and do not change them afterwards. A Pool is not safe for
// concurrent use.
type Pool struct {
	Spec   Spec
	Config note.Config
	Policy Policy
	// Nodes is the number of live nodes. Only [SplitLimits] uses it.
	Nodes int
	// QueueLimit is the maximum number of queued calls; zero means a multiple of
	// the targets' warm limits.
	QueueLimit int
	// AffinityBound is the maximum load of a target chosen for its prefix cache,
	// as a multiple of the mean load; zero means 2.
	AffinityBound float64

	targets    []*poolTarget // Sorted by name.
	calls      map[string]*call
	queue      queue.Queue
	restricted []*call // Waiting calls that only some of the targets may run.
	prefixes   prefixIndex
	latencies  latencyTable
	arrivals   int64 // Calls enqueued so far under a FIFO policy.
	rotation   int   // Index of the last target chosen under RoundRobin.
	suspended  bool
	drained    bool
	prepared   bool
	actions    []Action
}

// Step applies an event at now and returns the resulting actions.
func (p *Pool) Step(now time.Time, event Event) []Action {
	p.actions = nil
	p.prepare(now)
	p.apply(now, event)
	p.dispatch(now)
	return p.actions
}

func (p *Pool) prepare(now time.Time) {
	if p.prepared {
		return
	}
	p.prepared = true
	p.calls = make(map[string]*call)
	config := p.Config
	p.Config = note.Config{}
	p.configure(now, config)
}

func (p *Pool) apply(now time.Time, event Event) {
	switch e := event.(type) {
	case Submitted:
		p.submit(now, e.Call)
	case StreamStarted:
		p.streamStarted(now, e)
	case StreamSlowed:
		p.streamSlowed(now, e)
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
		p.rejectWaiting("the owner of the pool leaves")
	case Ticked:
		p.expire(now)
	}
}

func (p *Pool) streamStarted(now time.Time, event StreamStarted) {
	c := p.calls[event.Attempt]
	if c == nil || c.target == nil {
		return
	}
	c.target.admission.FirstToken(now, c.epoch, event.FirstToken)
}

func (p *Pool) streamSlowed(now time.Time, event StreamSlowed) {
	c := p.calls[event.Attempt]
	if c == nil || c.target == nil {
		return
	}
	c.target.admission.StreamSlowed(now, c.epoch)
}

func (p *Pool) finish(now time.Time, event Finished) {
	c := p.calls[event.Attempt]
	if c == nil || c.target == nil {
		return
	}
	delete(p.calls, event.Attempt)
	t := c.target
	t.admission.Finish(now, c.epoch, event.Outcome)
	t.releaseExclusive(c)
	switch event.Outcome.Kind {
	case Succeeded:
		p.latencies.add(c.Stage, event.Outcome.Latency)
	case Crashed:
		p.prefixes.dropTarget(t.bit)
	case Canceled, TimedOut:
		p.latencies.addLowerBound(c.Stage, event.Outcome.Latency)
	case Failed, Overloaded:
	}
	p.retire(t)
}

// cancel rejects a waiting call, and requests the cancellation of a running one
// unless it must finish.
func (p *Pool) cancel(attempt string) {
	c := p.calls[attempt]
	if c == nil {
		return
	}
	if c.target == nil {
		p.removeWaiting(c)
		p.reject(c, rejection(fault.Canceled, 0, "the caller no longer waits"))
		return
	}
	if !c.MustFinish {
		p.actions = append(p.actions, Cancel{Attempt: attempt})
	}
}

// reject removes a call that was never dispatched and makes it fail.
func (p *Pool) reject(c *call, err *fault.Error) {
	delete(p.calls, c.Attempt)
	p.actions = append(p.actions, Reject{Attempt: c.Attempt, Err: err})
}
