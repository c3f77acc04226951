package pool

import (
	"slices"
	"time"

	"bergamotworks/fault"
	"bergamotworks/queue"
)

const (
	maxRestricted    = 64 // Maximum number of waiting calls in Pool.restricted.
	minRetryAfter    = 100 * time.Millisecond
	maxRetryAfter    = 10 * time.Second
	fifoDeadlineStep = time.Microsecond // Difference of the synthetic deadlines that order the queue by arrival.
)

// submit queues a new call or rejects it. It ignores an attempt that it already has.
func (p *Pool) submit(now time.Time, submitted Call) {
	if p.calls[submitted.Attempt] != nil {
		return
	}
	c := &call{Call: submitted}
	if err := p.checkAdmission(now, c); err != nil {
		p.reject(c, err)
		return
	}
	p.calls[c.Attempt] = c
	if (c.Exclusive || len(c.Avoid) > 0) && len(p.restricted) < maxRestricted {
		p.restricted = append(p.restricted, c)
		return
	}
	if c.Exclusive {
		p.reject(c, rejection(fault.Busy, maxRetryAfter, "too many calls wait for a target of their own"))
		return
	}
	c.Avoid = nil // Too many restricted calls: accept any target.
	p.enqueue(now, c)
}

// checkAdmission returns the error with which a new call is rejected, or nil. A
// call that cannot meet its deadline is rejected at once.
func (p *Pool) checkAdmission(now time.Time, c *call) *fault.Error {
	switch {
	case p.drained:
		return rejection(fault.Busy, 0, "the owner of the pool leaves")
	case !p.acceptsCalls():
		return rejection(fault.Busy, 0, "the pool takes no new work")
	case !now.Before(c.Deadline):
		return rejection(fault.DeadlineExceeded, 0, "the deadline has passed")
	case p.Policy.fifo():
		return nil
	}
	latency := p.callLatency(c)
	if p.missesDeadline(now, c) {
		return rejection(fault.DeadlineExceeded, 0, "the call takes %s, longer than the time left", latency.upperBound())
	}
	wait := p.queue.Wait(c.Class, c.Account, c.Deadline, time.Duration(latency.mean), p.concurrency(now))
	if p.missesDeadline(now.Add(wait), c) {
		return rejection(fault.Busy, retryAfter(wait), "the wait of %s is longer than the time left", wait)
	}
	return nil
}

// enqueue adds a call to the queue and rejects the call that is evicted for it, if
// any. Under a FIFO policy the queue orders calls by arrival.
func (p *Pool) enqueue(now time.Time, c *call) {
	e := &queue.Entry{
		ID:         c.Attempt,
		Account:    c.Account,
		Class:      c.Class,
		Deadline:   c.Deadline,
		Cost:       p.callLatency(c).upperBound(),
		MustFinish: c.MustFinish,
	}
	if p.Policy.fifo() {
		p.arrivals++
		e.Class, e.Account, e.Cost = "", "", 0
		e.Deadline = time.Time{}.Add(time.Duration(p.arrivals) * fifoDeadlineStep)
	}
	if victim := p.queue.Push(e); victim != nil {
		wait := retryAfter(p.expectedWait(now))
		p.reject(p.calls[victim.ID], rejection(fault.Busy, wait, "the queue is full"))
	}
}

// expire rejects waiting calls that can no longer meet their deadline.
func (p *Pool) expire(now time.Time) {
	if !p.Policy.fifo() {
		for _, e := range p.queue.RemoveExpired(now) {
			p.reject(p.calls[e.ID], expiredError())
		}
	}
	for _, c := range slices.Clone(p.restricted) {
		if p.missesDeadline(now, c) {
			p.removeWaiting(c)
			p.reject(c, expiredError())
		}
	}
}

func expiredError() *fault.Error {
	return rejection(fault.DeadlineExceeded, 0, "the call waited until it could not end in time")
}

// removeWaiting removes a waiting call from the queue or the restricted calls.
func (p *Pool) removeWaiting(c *call) {
	if p.queue.Remove(c.Attempt) {
		return
	}
	p.restricted = slices.DeleteFunc(p.restricted, func(o *call) bool { return o == c })
	for _, t := range p.targets {
		t.releaseExclusive(c)
	}
}

// concurrency returns the number of calls that the targets may run at once at now.
func (p *Pool) concurrency(now time.Time) float64 {
	total := 0
	for _, t := range p.targets {
		if t.accepting {
			total += t.admission.Limit(now)
		}
	}
	return float64(total)
}

// callLatency returns the recent latency of calls of the same stage as c.
func (p *Pool) callLatency(c *call) latencyStats {
	return p.latencies.lookup(c.Stage, p.typicalLatency())
}

func (p *Pool) typicalLatency() time.Duration {
	return p.Config.Sections.Services[p.Spec.Service].TypicalLatency()
}

// missesDeadline reports whether a call dispatched at now would probably finish
// after its deadline.
func (p *Pool) missesDeadline(now time.Time, c *call) bool {
	if p.Policy.fifo() {
		return !now.Before(c.Deadline)
	}
	return now.Add(p.callLatency(c).upperBound()).After(c.Deadline)
}

// expectedWait returns the estimated time until all waiting calls are dispatched.
func (p *Pool) expectedWait(now time.Time) time.Duration {
	count := p.queue.Len() + len(p.restricted)
	if count == 0 {
		return 0
	}
	return time.Duration(float64(count) * p.latencies.lookup("", p.typicalLatency()).mean / max(1, p.concurrency(now)))
}

func retryAfter(wait time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, wait))
}
