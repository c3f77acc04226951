package pool

import (
	"slices"
	"time"

	"bergamotworks/fault"
	"bergamotworks/queue"
)

const (
	maxApart         = 64 // Waiting calls kept apart from the queue.
	shortestRetry    = 100 * time.Millisecond
	longestRetry     = 10 * time.Second
	plainDeadlineGap = time.Microsecond // Keeps the order of arrival in the queue.
)

// submit takes in a new call: it waits or is refused.
func (p *Pool) submit(now time.Time, submitted Call) {
	if p.calls[submitted.Attempt] != nil {
		return
	}
	c := &call{Call: submitted}
	if err := p.check(now, c); err != nil {
		p.refuse(c, err)
		return
	}
	p.calls[c.Attempt] = c
	if (c.Exclusive || len(c.Avoid) > 0) && len(p.apart) < maxApart {
		p.apart = append(p.apart, c)
		return
	}
	if c.Exclusive {
		p.refuse(c, refusal(fault.Busy, longestRetry, "too many calls wait for a target of their own"))
		return
	}
	c.Avoid = nil // Too many calls are kept apart: any target will do.
	p.enqueue(now, c)
}

// check refuses at the door what cannot end in time.
func (p *Pool) check(now time.Time, c *call) *fault.Error {
	switch {
	case p.drained:
		return refusal(fault.Busy, 0, "the owner of the pool leaves")
	case !p.open():
		return refusal(fault.Busy, 0, "the pool takes no new work")
	case !now.Before(c.Deadline):
		return refusal(fault.DeadlineExceeded, 0, "the deadline has passed")
	case p.Policy.plain():
		return nil
	}
	cost := p.cost(c)
	if p.late(now, c) {
		return refusal(fault.DeadlineExceeded, 0, "the call takes %s, longer than the time left", cost.high())
	}
	wait := p.queue.Wait(c.Class, c.Account, c.Deadline, time.Duration(cost.mean), p.speed(now))
	if p.late(now.Add(wait), c) {
		return refusal(fault.Busy, retryAfter(wait), "the wait of %s is longer than the time left", wait)
	}
	return nil
}

func (p *Pool) enqueue(now time.Time, c *call) {
	e := &queue.Entry{
		ID:         c.Attempt,
		Account:    c.Account,
		Class:      c.Class,
		Deadline:   c.Deadline,
		Cost:       p.cost(c).high(),
		MustFinish: c.MustFinish,
	}
	if p.Policy.plain() {
		p.arrivals++
		e.Class, e.Account, e.Cost = "", "", 0
		e.Deadline = time.Time{}.Add(time.Duration(p.arrivals) * plainDeadlineGap)
	}
	if victim := p.queue.Push(e); victim != nil {
		wait := retryAfter(p.expectedWait(now))
		p.refuse(p.calls[victim.ID], refusal(fault.Busy, wait, "the queue is full"))
	}
}

// expire refuses waiting calls that can no longer end in time.
func (p *Pool) expire(now time.Time) {
	if !p.Policy.plain() {
		for _, e := range p.queue.Expired(now) {
			p.refuse(p.calls[e.ID], expired())
		}
	}
	for _, c := range slices.Clone(p.apart) {
		if p.late(now, c) {
			p.withdraw(c)
			p.refuse(c, expired())
		}
	}
}

func expired() *fault.Error {
	return refusal(fault.DeadlineExceeded, 0, "the call waited until it could not end in time")
}

// withdraw takes a waiting call out of the place where it waits.
func (p *Pool) withdraw(c *call) {
	if p.queue.Remove(c.Attempt) {
		return
	}
	p.apart = slices.DeleteFunc(p.apart, func(o *call) bool { return o == c })
	for _, m := range p.members {
		m.release(c)
	}
}

// speed returns the number of calls that the targets may run together.
func (p *Pool) speed(now time.Time) float64 {
	total := 0
	for _, m := range p.members {
		if m.open {
			total += m.target.Limit(now)
		}
	}
	return float64(total)
}

// cost returns the recent time of calls like c on a target.
func (p *Pool) cost(c *call) cost { return p.costs.value(c.Stage, p.typical()) }

func (p *Pool) typical() time.Duration {
	return p.Config.Sections.Services[p.Spec.Service].TypicalLatency()
}

// late reports whether a call that starts at now would end after its deadline.
func (p *Pool) late(now time.Time, c *call) bool {
	if p.Policy.plain() {
		return !now.Before(c.Deadline)
	}
	return now.Add(p.cost(c).high()).After(c.Deadline)
}

// expectedWait returns the time until all that waits would be dispatched.
func (p *Pool) expectedWait(now time.Time) time.Duration {
	count := p.queue.Len() + len(p.apart)
	if count == 0 {
		return 0
	}
	return time.Duration(float64(count) * p.costs.value("", p.typical()).mean / max(1, p.speed(now)))
}

func retryAfter(wait time.Duration) time.Duration {
	return min(longestRetry, max(shortestRetry, wait))
}
