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
	queuedPerSlot    = 8 // Queue capacity per call that the targets may run at once when warm.
	minQueueCapacity = 64
)

// configure applies a configuration at now.
func (p *Pool) configure(now time.Time, config note.Config) {
	previous := p.Config.Sections.Targets
	p.Config = config
	p.Spec = p.Spec.find(config)
	settings := p.Policy.settings(config.Sections.Services[p.Spec.Service], p.Nodes)
	for _, t := range p.targets {
		t.configured = false
		t.accepting = t.accepting && slices.Contains(p.Spec.Targets, t.name)
	}
	for _, n := range p.Spec.Targets {
		t := p.target(n)
		if t == nil {
			t = p.addTarget(n)
			t.admission.Settings = settings
			if old, ok := previous[n]; ok && old.Service == p.Spec.Service {
				p.markInherited(now, t)
			}
		}
		targetConfig := config.Sections.Targets[n]
		t.configure(now, targetConfig, p.accepts(targetConfig), settings)
	}
	for _, t := range slices.Clone(p.targets) {
		p.retire(t)
	}
	p.configureQueue()
	if !p.acceptsCalls() {
		p.rejectWaiting("the pool takes no new work")
	}
}

func (p *Pool) configureQueue() {
	s := p.Config.Sections
	p.queue.Capacity = p.QueueLimit
	if p.QueueLimit <= 0 {
		slots := 0
		for _, t := range p.targets {
			slots += t.admission.Settings.WarmLimit
		}
		p.queue.Capacity = max(minQueueCapacity, queuedPerSlot*slots)
	}
	p.queue.Configure(s.Classes, s.Accounts)
}

// accepts reports whether the configuration allows new calls on a target.
func (p *Pool) accepts(t note.Target) bool {
	domain := p.Config.Sections.Domains[t.Domain]
	return t.State == note.InService && domain.State == note.InService
}

// acceptsCalls reports whether new calls are allowed on any target.
func (p *Pool) acceptsCalls() bool {
	return slices.ContainsFunc(p.targets, func(t *poolTarget) bool { return t.accepting })
}

func (p *Pool) target(name string) *poolTarget {
	i, found := slices.BinarySearchFunc(p.targets, name, compareTarget)
	if !found {
		return nil
	}
	return p.targets[i]
}

func compareTarget(t *poolTarget, name string) int { return cmp.Compare(t.name, name) }

// addTarget adds a target and assigns it a free bit of the prefix index.
func (p *Pool) addTarget(name string) *poolTarget {
	used := uint64(0)
	for _, t := range p.targets {
		used |= 1 << t.bit
	}
	t := &poolTarget{name: name, hash: xxhash.Sum64String(name), bit: bits.TrailingZeros64(^used)}
	i, _ := slices.BinarySearchFunc(p.targets, name, compareTarget)
	p.targets = slices.Insert(p.targets, i, t)
	return t
}

// retire removes a target if it is no longer configured and has no running calls.
func (p *Pool) retire(t *poolTarget) {
	if t.configured || t.admission.Running() > 0 {
		return
	}
	p.prefixes.dropTarget(t.bit)
	p.targets = slices.DeleteFunc(p.targets, func(o *poolTarget) bool { return o == t })
}

// markInherited makes a target cold and assumes that calls of another owner
// occupy it up to its warm limit.
func (p *Pool) markInherited(now time.Time, t *poolTarget) {
	t.admission.MarkCold(now, warm.Inherited)
	t.admission.AssumeUntracked(now, t.admission.Settings.WarmLimit)
}

func (p *Pool) rejectWaiting(reason string) {
	for _, c := range p.takeWaiting() {
		p.reject(c, rejection(fault.Busy, 0, "%s", reason))
	}
}

// takeWaiting removes and returns all waiting calls and cancels the reservations
// of exclusive calls.
func (p *Pool) takeWaiting() []*call {
	all := p.restricted
	p.restricted = nil
	for _, t := range p.targets {
		if t.exclusive != nil && t.exclusive.target == nil {
			t.exclusive = nil
		}
	}
	for _, e := range p.queue.Clear() {
		all = append(all, p.calls[e.ID])
	}
	return all
}
