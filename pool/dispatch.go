package pool

import (
	"slices"
	"time"
)

// dispatch dispatches waiting calls to targets with free slots.
func (p *Pool) dispatch(now time.Time) {
	if p.suspended || p.drained {
		return
	}
	p.dispatchRestricted(now)
	for p.queue.Len() > 0 && p.anyFreeSlot(now) {
		c := p.calls[p.queue.Pop().ID]
		if p.missesDeadline(now, c) {
			p.reject(c, expiredError())
			continue
		}
		t := p.pick(now, c)
		if t == nil { // The targets with free slots are too slow for the call.
			p.restricted = append(p.restricted, c)
			continue
		}
		p.send(now, c, t)
	}
}

// dispatchRestricted dispatches the calls that only some of the targets may run.
func (p *Pool) dispatchRestricted(now time.Time) {
	for _, c := range slices.Clone(p.restricted) {
		if p.missesDeadline(now, c) {
			p.removeWaiting(c)
			p.reject(c, expiredError())
			continue
		}
		t := p.pickRestricted(now, c)
		if t == nil {
			continue
		}
		p.restricted = slices.DeleteFunc(p.restricted, func(o *call) bool { return o == c })
		p.send(now, c, t)
	}
}

// pickRestricted returns the target for a restricted call, or nil while none has
// a free slot. An exclusive call reserves a target, which gets no other calls,
// and waits until the target is idle.
func (p *Pool) pickRestricted(now time.Time, c *call) *poolTarget {
	if !c.Exclusive {
		return p.pick(now, c)
	}
	t := p.reserve(now, c)
	if t == nil || !t.readyForExclusive(now) {
		return nil
	}
	return t
}

// reserve returns the target reserved for an exclusive call. It returns nil if a
// quarter of the targets is reserved already or none is left.
func (p *Pool) reserve(now time.Time, c *call) *poolTarget {
	var best *poolTarget
	for _, t := range p.targets {
		if t.exclusive == c {
			if t.accepting {
				return t
			}
			t.exclusive = nil
		}
	}
	if p.exclusiveCount() >= max(1, len(p.targets)/4) {
		return nil
	}
	for _, t := range p.targets {
		if !t.accepting || t.exclusive != nil || p.avoids(c, t) {
			continue
		}
		if best == nil || t.admission.Occupied(now) < best.admission.Occupied(now) {
			best = t
		}
	}
	if best != nil {
		best.exclusive = c
	}
	return best
}

func (p *Pool) exclusiveCount() int {
	count := 0
	for _, t := range p.targets {
		if t.exclusive != nil {
			count++
		}
	}
	return count
}

// avoids reports whether a call avoids a target on which an earlier attempt ran.
// It does so only while another target accepts calls.
func (p *Pool) avoids(c *call, t *poolTarget) bool {
	if !slices.Contains(c.Avoid, t.name) {
		return false
	}
	return slices.ContainsFunc(p.targets, func(o *poolTarget) bool {
		return o.accepting && !slices.Contains(c.Avoid, o.name)
	})
}

// anyFreeSlot reports whether some target has a free slot.
func (p *Pool) anyFreeSlot(now time.Time) bool {
	for _, t := range p.targets {
		if t.freeSlots(now) > 0 {
			return true
		}
	}
	return false
}

// send dispatches a call to a target.
func (p *Pool) send(now time.Time, c *call, t *poolTarget) {
	t.admission.Start(now)
	c.target = t
	c.epoch = t.admission.Epoch()
	p.prefixes.recordDispatch(c.Prefix, t.bit)
	p.actions = append(p.actions, Dispatch{
		Attempt: c.Attempt, Target: t.name, Address: t.address, FirstByteTimeout: t.admission.FirstByteTimeout(),
	})
}
