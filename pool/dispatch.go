package pool

import (
	"slices"
	"time"
)

// dispatch sends waiting calls to targets with room.
func (p *Pool) dispatch(now time.Time) {
	if p.suspended || p.drained {
		return
	}
	p.dispatchApart(now)
	for p.queue.Len() > 0 && p.anyFree(now) {
		c := p.calls[p.queue.Pop().ID]
		if p.late(now, c) {
			p.refuse(c, expired())
			continue
		}
		m := p.pick(now, c)
		if m == nil { // The targets with room are too slow for the call.
			p.apart = append(p.apart, c)
			continue
		}
		p.send(now, c, m)
	}
}

// dispatchApart sends the calls that only some of the targets may run.
func (p *Pool) dispatchApart(now time.Time) {
	for _, c := range slices.Clone(p.apart) {
		if p.late(now, c) {
			p.withdraw(c)
			p.refuse(c, expired())
			continue
		}
		m := p.host(now, c)
		if m == nil {
			continue
		}
		p.apart = slices.DeleteFunc(p.apart, func(o *call) bool { return o == c })
		p.send(now, c, m)
	}
}

// host returns the target for a call that is kept apart, or nil while none has
// room. A call that runs alone reserves a target until that has become empty.
func (p *Pool) host(now time.Time, c *call) *member {
	if !c.Exclusive {
		return p.pick(now, c)
	}
	m := p.reserve(now, c)
	if m == nil || !m.room(now) {
		return nil
	}
	return m
}

// reserve returns the target that is kept for a call which runs alone.
func (p *Pool) reserve(now time.Time, c *call) *member {
	var best *member
	for _, m := range p.members {
		if m.guest == c {
			if m.open {
				return m
			}
			m.guest = nil
		}
	}
	if p.guests() >= max(1, len(p.members)/4) {
		return nil
	}
	for _, m := range p.members {
		if !m.open || m.guest != nil || p.avoids(c, m) {
			continue
		}
		if best == nil || m.target.Occupied(now) < best.target.Occupied(now) {
			best = m
		}
	}
	if best != nil {
		best.guest = c
	}
	return best
}

func (p *Pool) guests() int {
	count := 0
	for _, m := range p.members {
		if m.guest != nil {
			count++
		}
	}
	return count
}

// avoids reports whether a call keeps away from a target it has tried, which it
// does while another target is open.
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

// send starts a call on a target.
func (p *Pool) send(now time.Time, c *call, m *member) {
	m.target.Start(now)
	c.member = m
	c.epoch = m.target.Epoch()
	p.prefixes.use(c.Prefix, m.slot)
	p.actions = append(p.actions, Dispatch{
		Attempt: c.Attempt, Target: m.name, Address: m.address, FirstByteTimeout: m.target.FirstByteTimeout(),
	})
}
