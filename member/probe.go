package member

import (
	"slices"
	"time"
)

// probing is the state of the failure detector.
type probing struct {
	order    []string // VMs to probe, shuffled anew after each round.
	next     int
	due      time.Time
	sequence uint32
	open     map[uint32]*probe
	notices  int // Notices sent in this period.
}

// probe is a probe that has not been answered.
type probe struct {
	target   string    // Empty in a probe for another VM.
	indirect time.Time // Time to ask other VMs; zero once they were asked.
	expires  time.Time
	sent     time.Time
	origin   string // Address of the VM for which this is.
	answer   uint32 // Sequence that the origin knows.
}

func (p *probing) start(now time.Time) {
	p.due = now
	p.open = map[uint32]*probe{}
}

// add puts a VM at a random place of the round.
func (p *probing) add(id string, random func(int) int) {
	p.order = slices.Insert(p.order, random(len(p.order)+1), id)
}

func (p *probing) remove(id string) {
	if at := slices.Index(p.order, id); at >= 0 {
		p.order = slices.Delete(p.order, at, at+1)
	}
}

// probeNext sends the probe of this period.
func (t *Table) probeNext() {
	if t.now.Before(t.probes.due) {
		return
	}
	t.probes.due = t.now.Add(t.settings.ProbeInterval)
	t.views.periodEnd = true
	t.probes.notices = 0
	if len(t.probes.order) == 0 {
		return
	}
	if t.probes.next >= len(t.probes.order) {
		t.probes.next = 0
		t.random.Shuffle(len(t.probes.order), func(i, j int) {
			t.probes.order[i], t.probes.order[j] = t.probes.order[j], t.probes.order[i]
		})
	}
	e := t.members[t.probes.order[t.probes.next]]
	t.probes.next++
	t.probe(e)
	t.seekConfirmation()
}

func (t *Table) probe(e *entry) {
	timeout := t.probeTimeout(e)
	sequence := t.track(&probe{
		target:   e.ID,
		sent:     t.now,
		indirect: t.now.Add(timeout),
		expires:  t.now.Add(2 * timeout),
	})
	t.send(e.GossipAddress, message{Kind: ping, Sequence: sequence, Confirmed: e.confirmed(), Deltas: t.warn(e)})
}

// warn returns what the VM must hear first: that it is suspected.
func (t *Table) warn(e *entry) []delta {
	if e.State == Suspect || e.State == Dead {
		return []delta{{ID: e.ID, Incarnation: e.Incarnation, State: e.State}}
	}
	return nil
}

// confirmed returns the incarnation that is held live, or zero.
func (e *entry) confirmed() uint64 {
	if e.State.Gone() {
		return 0
	}
	return e.Incarnation
}

func (t *Table) probeTimeout(e *entry) time.Duration {
	if e.Region != t.Self.Region {
		return t.settings.RemoteProbeTimeout
	}
	return t.settings.ProbeTimeout
}

func (t *Table) track(p *probe) uint32 {
	t.probes.sequence++
	t.probes.open[t.probes.sequence] = p
	return t.probes.sequence
}

// expireProbes asks other VMs to help with late probes and suspects the VMs
// that no one reached.
func (t *Table) expireProbes() {
	for _, sequence := range sortedKeys(t.probes.open) {
		p := t.probes.open[sequence]
		if !p.indirect.IsZero() && !t.now.Before(p.indirect) {
			p.indirect = time.Time{}
			t.askOthers(sequence, p)
		}
		if t.now.Before(p.expires) {
			continue
		}
		delete(t.probes.open, sequence)
		if e := t.members[p.target]; e != nil {
			t.unanswered(e, p)
		}
	}
}

func (t *Table) askOthers(sequence uint32, p *probe) {
	target := t.members[p.target]
	if target == nil {
		return
	}
	for _, h := range t.helpers(target) {
		t.send(h.GossipAddress, message{Kind: pingRequest, Sequence: sequence, Target: target.GossipAddress})
	}
}

// helpers returns VMs that can probe the target as fast as this VM: those of
// the target's region, or any if it has no others.
func (t *Table) helpers(target *entry) []*entry {
	near := t.pick(t.settings.IndirectProbes, func(e *entry) bool {
		return e.State == Alive && e != target && e.Region == target.Region
	})
	if len(near) > 0 {
		return near
	}
	return t.pick(t.settings.IndirectProbes, func(e *entry) bool { return e.State == Alive && e != target })
}

// unanswered judges a VM that neither answered nor was reached by others. While
// nobody answers, this VM may be the one that is not heard; it then suspects no
// VM that it hears.
func (t *Table) unanswered(e *entry, p *probe) {
	if t.trust.confirmed.Before(p.sent) && e.LastHeard.After(p.sent) {
		return
	}
	switch e.State {
	case Alive:
		t.apply(delta{ID: e.ID, Incarnation: e.Incarnation, State: Suspect}, direct)
	case Leaving:
		t.apply(delta{ID: e.ID, Incarnation: e.Incarnation, State: Left}, direct)
	case Suspect, Dead, Left:
	}
}

// expireSuspects declares the suspects dead that did not refute in time.
func (t *Table) expireSuspects() {
	for _, id := range sortedKeys(t.suspects) {
		if e := t.suspects[id]; !t.now.Before(e.expires) {
			t.apply(delta{ID: e.ID, Incarnation: e.Incarnation, State: Dead}, direct)
		}
	}
}

func (t *Table) answerPing(from string, m message, sender *entry) {
	reply := message{Kind: ack, Sequence: m.Sequence}
	if sender != nil {
		reply.Confirmed = sender.confirmed()
		reply.Deltas = t.warn(sender)
	}
	t.send(from, reply)
}

func (t *Table) answerRequest(from string, m message) {
	sequence := t.track(&probe{
		sent:    t.now,
		expires: t.now.Add(2 * t.settings.RemoteProbeTimeout),
		origin:  from,
		answer:  m.Sequence,
	})
	t.send(m.Target, message{Kind: ping, Sequence: sequence})
}

func (t *Table) takeAck(m message) {
	p := t.probes.open[m.Sequence]
	if p == nil {
		return
	}
	if p.origin != "" {
		t.send(p.origin, message{Kind: ack, Sequence: p.answer, Target: m.From})
		delete(t.probes.open, m.Sequence)
		return
	}
	if m.Target == "" {
		t.confirm(m, p.sent)
	}
	if m.From == p.target || m.Target == p.target {
		delete(t.probes.open, m.Sequence)
	}
}
