package pool

import (
	"slices"
	"time"
)

// dispatch dispatches waiting calls to targets with free capacity.
func (p *Pool) dispatch(now time.Time) {
	if p.suspended || p.drained {
		return
	}
	p.dispatchRestricted(now)
	for p.queue.Len() > 0 && p.anyFree(now) {
		c := p.calls[p.queue.Pop().ID]
		if p.missesDeadline(now, c) {
			p.refuse(c, expiredError())
			continue
		}
		m := p.pick(now, c)
		if m == nil { // The targets with free capacity are too slow for the call.
			p.restricted = append(p.restricted, c)
			continue
		}
		p.send(now, c, m)
	}
}

// dispatchRestricted dispatches the calls that only some of the targets may run.
func (p *Pool) dispatchRestricted(now time.Time) {
	for _, c := range slices.Clone(p.restricted) {
		if p.missesDeadline(now, c) {
			p.removeWaiting(c)
			p.refuse(c, expiredError())
			continue
		}
		m := p.pickRestricted(now, c)
		if m == nil {
			continue
		}
		p.restricted = slices.DeleteFunc(p.restricted, func(o *call) bool { return o == c })
		p.send(now, c, m)
	}
}

// pickRestricted returns the target for a restricted call, or nil while none has
// free capacity. An exclusive call reserves a target, which gets no other calls,
// and waits until the target is idle.
func (p *Pool) pickRestricted(now time.Time, c *call) *member {
	if !c.Exclusive {
		return p.pick(now, c)
	}
	m := p.reserve(now, c)
	if m == nil || !m.readyForExclusive(now) {
		return nil
	}
	return m
}

// reserve returns the target reserved for an exclusive call. It returns nil if a
// quarter of the targets is reserved already or none is left.
func (p *Pool) reserve(now time.Time, c *call) *member {
	var best *member
	for _, m := range p.members {
		if m.exclusive == c {
			if m.open {
				return m
			}
			m.exclusive = nil
		}
	}
	if p.exclusiveCount() >= max(1, len(p.members)/4) {
		return nil
	}
	for _, m := range p.members {
		if !m.open || m.exclusive != nil || p.avoids(c, m) {
			continue
		}
		if best == nil || m.target.Occupied(now) < best.target.Occupied(now) {
			best = m
		}
	}
	if best != nil {
		best.exclusive = c
	}
	return best
}

func (p *Pool) exclusiveCount() int {
	count := 0
	for _, m := range p.members {
		if m.exclusive != nil {
			count++
		}
	}
	return count
}

// avoids reports whether a call avoids a target on which an earlier attempt ran.
// It does so only while another target accepts calls.
func (p *Pool) avoids(c *call, m *member) bool {
	if !slices.Contains(c.Avoid, m.name) {
		return false
	}
	return slices.ContainsFunc(p.members, func(o *member) bool {
		return o.open && !slices.Contains(c.Avoid, o.name)
	})
}

func (p *Pool) anyFree(now time.Time) bool {
	for _, m := range p.members {
		if m.free(now) > 0 {
			return true
		}
	}
	return false
}

// send dispatches a call to a target.
func (p *Pool) send(now time.Time, c *call, m *member) {
	m.target.Start(now)
	c.member = m
	c.epoch = m.target.Epoch()
	p.prefixes.recordDispatch(c.Prefix, m.bit)
	p.actions = append(p.actions, Dispatch{
		Attempt: c.Attempt, Target: m.name, Address: m.address, FirstByteTimeout: m.target.FirstByteTimeout(),
	})
}
