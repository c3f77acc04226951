package pool

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/warm"
)

const (
	queuedPerSlot    = 8 // Queue capacity per call that the targets may run at once.
	minQueueCapacity = 64
)

// configure applies a configuration at now.
func (p *Pool) configure(now time.Time, config note.Config) {
	previous := p.Config.Sections.Targets
	p.Config = config
	p.Spec = p.Spec.find(config)
	settings := p.Policy.settings(config.Sections.Services[p.Spec.Service], p.Nodes)
	for _, m := range p.members {
		m.configured = false
		m.open = m.open && slices.Contains(p.Spec.Targets, m.name)
	}
	for _, n := range p.Spec.Targets {
		m := p.member(n)
		if m == nil {
			m = p.addMember(n)
			m.target.Settings = settings
			if old, ok := previous[n]; ok && old.Service == p.Spec.Service {
				p.markInherited(now, m)
			}
		}
		t := config.Sections.Targets[n]
		m.configure(now, t, p.admits(t), settings)
	}
	for _, m := range slices.Clone(p.members) {
		p.retire(m)
	}
	p.configureQueue()
	if !p.open() {
		p.refuseWaiting("the pool takes no new work")
	}
}

func (p *Pool) configureQueue() {
	s := p.Config.Sections
	p.queue.Capacity = p.QueueLimit
	if p.QueueLimit <= 0 {
		slots := 0
		for _, m := range p.members {
			slots += m.target.Settings.WarmLimit
		}
		p.queue.Capacity = max(minQueueCapacity, queuedPerSlot*slots)
	}
	p.queue.Configure(s.Classes, s.Accounts)
}

// admits reports whether the configuration allows new calls on a target.
func (p *Pool) admits(t note.Target) bool {
	domain := p.Config.Sections.Domains[t.Domain]
	return t.State == note.InService && domain.State == note.InService
}

// open reports whether new calls are allowed on any target.
func (p *Pool) open() bool {
	return slices.ContainsFunc(p.members, func(m *member) bool { return m.open })
}

func (p *Pool) member(name string) *member {
	i, found := slices.BinarySearchFunc(p.members, name, compareMember)
	if !found {
		return nil
	}
	return p.members[i]
}

func compareMember(m *member, name string) int { return cmp.Compare(m.name, name) }

// addMember adds a target and assigns it a free bit of the prefix index.
func (p *Pool) addMember(name string) *member {
	used := uint64(0)
	for _, m := range p.members {
		used |= 1 << m.bit
	}
	m := &member{name: name, hash: xxhash.Sum64String(name), bit: bits.TrailingZeros64(^used)}
	i, _ := slices.BinarySearchFunc(p.members, name, compareMember)
	p.members = slices.Insert(p.members, i, m)
	return m
}

// retire removes a target that is no longer configured and has no running calls.
func (p *Pool) retire(m *member) {
	if m.configured || m.target.Running() > 0 {
		return
	}
	p.prefixes.dropTarget(m.bit)
	p.members = slices.DeleteFunc(p.members, func(o *member) bool { return o == m })
}

// markInherited makes a target cold and assumes that calls of another owner
// occupy it up to its warm limit.
func (p *Pool) markInherited(now time.Time, m *member) {
	m.target.MarkCold(now, warm.Inherited)
	m.target.AssumeUntracked(now, m.target.Settings.WarmLimit)
}

func (p *Pool) refuseWaiting(reason string) {
	for _, c := range p.takeWaiting() {
		p.refuse(c, refusal(fault.Busy, 0, "%s", reason))
	}
}

// takeWaiting removes and returns all waiting calls.
func (p *Pool) takeWaiting() []*call {
	all := p.restricted
	p.restricted = nil
	for _, m := range p.members {
		if m.exclusive != nil && m.exclusive.member == nil {
			m.exclusive = nil
		}
	}
	for _, e := range p.queue.Clear() {
		all = append(all, p.calls[e.ID])
	}
	return all
}
