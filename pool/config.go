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
	queuePerSlot = 8 // Waiting calls for each call that targets may run.
	minimumQueue = 64
)

// configure puts a configuration in force at now.
func (p *Pool) configure(now time.Time, config note.Config) {
	before := p.Config.Sections.Targets
	p.Config = config
	p.Spec = p.Spec.find(config)
	settings := p.Policy.settings(config.Sections.Services[p.Spec.Service], p.Nodes)
	for _, m := range p.members {
		m.listed = false
		m.open = m.open && slices.Contains(p.Spec.Targets, m.name)
	}
	for _, n := range p.Spec.Targets {
		m := p.member(n)
		if m == nil {
			m = p.join(n)
			m.target.Settings = settings
			if old, known := before[n]; known && old.Service == p.Spec.Service {
				p.inherit(now, m)
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
		p.queue.Capacity = max(minimumQueue, queuePerSlot*slots)
	}
	p.queue.Configure(s.Classes, s.Accounts)
}

// admits reports whether a target may get new work.
func (p *Pool) admits(t note.Target) bool {
	domain := p.Config.Sections.Domains[t.Domain]
	return t.State == note.InService && domain.State == note.InService
}

// open reports whether any target may get new work.
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

// join adds a target under a free slot of the prefix index.
func (p *Pool) join(name string) *member {
	used := uint64(0)
	for _, m := range p.members {
		used |= 1 << m.slot
	}
	m := &member{name: name, hash: xxhash.Sum64String(name), slot: bits.TrailingZeros64(^used)}
	i, _ := slices.BinarySearchFunc(p.members, name, compareMember)
	p.members = slices.Insert(p.members, i, m)
	return m
}

// retire forgets a target that is no longer configured and has ended its work.
func (p *Pool) retire(m *member) {
	if m.listed || m.target.Running() > 0 {
		return
	}
	p.prefixes.drop(m.slot)
	p.members = slices.DeleteFunc(p.members, func(o *member) bool { return o == m })
}

// inherit makes a target cold and full, as another node may have left it.
func (p *Pool) inherit(now time.Time, m *member) {
	m.target.MarkCold(now, warm.Inherited)
	m.target.AssumeUntracked(now, m.target.Settings.WarmLimit)
}

func (p *Pool) refuseWaiting(reason string) {
	for _, c := range p.waiting() {
		p.refuse(c, refusal(fault.Busy, 0, "%s", reason))
	}
}

// waiting takes out every waiting call.
func (p *Pool) waiting() []*call {
	all := p.apart
	p.apart = nil
	for _, m := range p.members {
		if m.guest != nil && m.guest.member == nil {
			m.guest = nil
		}
	}
	for _, e := range p.queue.Clear() {
		all = append(all, p.calls[e.ID])
	}
	return all
}
