package member

import (
	"cmp"
	"maps"
	"slices"
)

// source says how an entry was learned.
type source int

const (
	direct source = iota // Found by this VM or told by the VM itself.
	spread               // Carried on a message of another VM.
	synced               // Read from the table of another VM.
)

// receive handles a datagram. One that is malformed or from a former life of
// the own VM is dropped.
func (t *Table) receive(r DatagramReceived) {
	m, err := decode(r.Payload)
	if err != nil || m.From == "" || m.From == t.Self.ID {
		return
	}
	from := spread
	if m.Kind == syncDigest || m.Kind == syncState {
		from = synced
	}
	for _, d := range m.Deltas {
		t.learn(r.From, m, d, from)
	}
	sender := t.updateSender(r.From, m)
	for _, w := range m.Rumors {
		t.receiveRumor(w)
	}
	switch m.Kind {
	case ping:
		t.answerPing(r.From, m, sender)
	case ack:
		t.takeAck(m)
	case pingRequest:
		t.answerRequest(r.From, m)
	case syncDigest:
		t.answerSync(r.From, m)
	case syncState:
		t.takeSync(r.From, m)
	case gossip:
	}
}

// updateSender notes that the sender lives and what it says about itself. It returns
// nil for a sender that is not known yet.
func (t *Table) updateSender(address string, m message) *entry {
	t.trust.heard = t.now
	e := t.members[m.From]
	if e == nil {
		t.askUnknown(address, m.Kind)
		return nil
	}
	if m.Incarnation > e.Incarnation {
		t.apply(delta{ID: e.ID, Incarnation: m.Incarnation, Ready: m.Flags&flagReady != 0}, direct)
	}
	if m.Incarnation == e.Incarnation {
		ready := e.Attributes.Ready
		e.LastHeard = t.now
		e.Attributes = m.attributes()
		e.Attributes.Ready = ready
		t.views.worn = true
		t.compareRevision(e)
	}
	return e
}

// learn takes in an entry that came with a message.
func (t *Table) learn(address string, m message, d delta, from source) {
	if d.ID == t.Self.ID {
		t.refute(d, cmp.Or(m.Target, m.From))
		return
	}
	if d.ID == m.From {
		from = direct
	}
	e := t.members[d.ID]
	if e == nil && d.Details == nil {
		if !d.State.Gone() {
			t.askUnknown(address, gossip)
		}
		return
	}
	if e != nil && from != direct && d.State == Dead && e.State.Live() && d.Incarnation == e.Incarnation {
		d, from = t.doubtful(e, d, from, m.From)
	}
	if from == synced && d.State == Suspect {
		d.State = Alive
	}
	t.apply(d, from)
}

// doubtful weakens the news that a VM is dead which this VM holds alive. An
// entry of another table may be as old as a partition: the VM is told, so that
// it can refute, and is judged by own probes.
func (t *Table) doubtful(e *entry, d delta, from source, sender string) (delta, source) {
	if from == synced {
		t.notify(e, d, sender)
		d.State = Alive
		return d, from
	}
	if e.State == Alive {
		d.State = Suspect
	}
	return d, from
}

// apply merges an entry into the table and passes it on if it is news.
func (t *Table) apply(d delta, from source) {
	e := t.members[d.ID]
	if e == nil {
		t.admit(d, from)
		return
	}
	if !d.newer(e) {
		return
	}
	before := e.VM
	e.Incarnation = d.Incarnation
	e.State = d.State
	if d.State != Suspect && d.State != Dead {
		e.turn = d.Turn
		e.Attributes.Ready = d.Ready
	}
	e.withDetails(d)
	t.moved(e, before)
	if from != synced || before.State.Live() != e.State.Live() {
		t.spread(d)
	}
}

// newer reports whether the delta replaces the entry.
func (d delta) newer(e *entry) bool {
	order := cmp.Or(
		cmp.Compare(d.Incarnation, e.Incarnation),
		cmp.Compare(d.State, e.State),
	)
	if order == 0 && d.State != Suspect && d.State != Dead {
		return d.Turn > e.turn
	}
	return order > 0
}

func (e *entry) withDetails(d delta) {
	if d.Details == nil {
		return
	}
	e.Address = d.Details.Address
	e.GossipAddress = d.Details.Gossip
	e.Domain = d.Details.Domain
	e.Region = d.Details.Region
	e.Millicores = d.Millicores
}

// admit adds a VM that was not known. A VM read from another table is no news:
// it announced itself to others.
func (t *Table) admit(d delta, from source) {
	if d.Details == nil {
		return
	}
	e := &entry{VM: VM{ID: d.ID, Incarnation: d.Incarnation, State: d.State}, turn: d.Turn}
	e.Attributes.Ready = d.Ready
	e.withDetails(d)
	t.members[d.ID] = e
	at, _ := slices.BinarySearchFunc(t.sorted, e, compareEntries)
	t.sorted = slices.Insert(t.sorted, at, e)
	t.moved(e, VM{State: Left})
	if from != synced {
		t.spread(d)
	}
}

// moved follows a change of an entry in the state that depends on it.
func (t *Table) moved(e *entry, before VM) {
	t.views.stale = true
	if before.State != e.State || before.Incarnation != e.Incarnation {
		e.Since = t.now
	}
	if before.State == Dead && e.State != Dead {
		e.rejoined = t.now
	}
	if e.State == Dead && before.State != Dead {
		t.trust.lost++
	}
	if before.State.Gone() && !e.State.Gone() {
		t.probes.add(e.ID, t.random.IntN)
	}
	if !before.State.Gone() && e.State.Gone() {
		t.probes.remove(e.ID)
	}
	if e.State != Suspect {
		delete(t.suspects, e.ID)
		return
	}
	e.expires = t.now.Add(t.settings.suspicionTimeout(t.fleet()))
	t.suspects[e.ID] = e
}

// spread queues a change for the next messages. A VM that nobody confirms
// keeps its suspicions to itself.
func (t *Table) spread(d delta) {
	if t.trust.doubt && (d.State == Suspect || d.State == Dead) {
		return
	}
	t.changes.push(d.ID, d)
}

// forget drops the VMs that have been gone for long.
func (t *Table) forget() {
	if !t.views.periodEnd {
		return
	}
	old := func(e *entry) bool {
		return e.State.Gone() && t.now.Sub(e.Since) > t.settings.TombstoneTTL
	}
	for _, e := range t.sorted {
		if old(e) {
			delete(t.members, e.ID)
			t.views.stale = true
		}
	}
	t.sorted = slices.DeleteFunc(t.sorted, old)
}

func compareEntries(a, b *entry) int { return byID(a.VM, b.VM) }

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
