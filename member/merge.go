package member

import (
	"cmp"
	"maps"
	"slices"
)

// source is how an update was learned.
type source int

const (
	direct  source = iota // Determined by this VM or sent by the VM itself.
	relayed               // Piggybacked on a message of another VM.
	synced                // Received in a table sync.
)

// receive handles a datagram. A malformed message is dropped, and so is one
// with the ID of the local VM, which may come from a previous incarnation.
func (t *Table) receive(r DatagramReceived) {
	m, err := decode(r.Payload)
	if err != nil || m.From == "" || m.From == t.Self.ID {
		return
	}
	from := relayed
	if m.Kind == syncDigest || m.Kind == syncState {
		from = synced
	}
	for _, d := range m.Deltas {
		t.handleDelta(r.From, m, d, from)
	}
	sender := t.updateSender(r.From, m)
	for _, a := range m.Announcements {
		t.receiveAnnouncement(a)
	}
	switch m.Kind {
	case ping:
		t.handlePing(r.From, m, sender)
	case ack:
		t.handleAck(m)
	case pingRequest:
		t.handlePingRequest(r.From, m)
	case syncDigest:
		t.handleSyncDigest(r.From, m)
	case syncState:
		t.handleSyncState(r.From, m)
	case gossip:
	}
}

// updateSender records that the sender is running, and its attributes. It
// returns nil if the sender is unknown.
func (t *Table) updateSender(address string, m message) *entry {
	t.status.lastReceived = t.now
	e := t.members[m.From]
	if e == nil {
		t.syncUnknown(address, m.Kind)
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
		t.views.attributesChanged = true
		t.compareRevision(e)
	}
	return e
}

// handleDelta processes an update received with a message.
func (t *Table) handleDelta(address string, m message, d delta, from source) {
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
			t.syncUnknown(address, gossip)
		}
		return
	}
	if e != nil && from != direct && d.State == Dead && e.State.Live() && d.Incarnation == e.Incarnation {
		d, from = t.weakenDeath(e, d, from, m.From)
	}
	if from == synced && d.State == Suspect {
		d.State = Alive
	}
	t.apply(d, from)
}

// weakenDeath downgrades a report that a VM which this VM considers alive is
// dead. A table received in a sync may be out of date by the length of a
// partition, so the VM is notified, which lets it refute the report, and is
// judged by the probes of this VM.
func (t *Table) weakenDeath(e *entry, d delta, from source, sender string) (delta, source) {
	if from == synced {
		t.notifyDead(e, d, sender)
		d.State = Alive
		return d, from
	}
	if e.State == Alive {
		d.State = Suspect
	}
	return d, from
}

// apply merges an update into the table and gossips it if it changes an entry.
func (t *Table) apply(d delta, from source) {
	e := t.members[d.ID]
	if e == nil {
		t.addMember(d, from)
		return
	}
	if !d.supersedes(e) {
		return
	}
	before := e.VM
	e.Incarnation = d.Incarnation
	e.State = d.State
	if d.State != Suspect && d.State != Dead {
		e.readyVersion = d.ReadyVersion
		e.Attributes.Ready = d.Ready
	}
	e.setDetails(d)
	t.entryChanged(e, before)
	if from != synced || before.State.Live() != e.State.Live() {
		t.gossip(d)
	}
}

// supersedes reports whether the update replaces the entry.
func (d delta) supersedes(e *entry) bool {
	order := cmp.Or(
		cmp.Compare(d.Incarnation, e.Incarnation),
		cmp.Compare(d.State, e.State),
	)
	if order == 0 && d.State != Suspect && d.State != Dead {
		return d.ReadyVersion > e.readyVersion
	}
	return order > 0
}

func (e *entry) setDetails(d delta) {
	if d.Details == nil {
		return
	}
	e.Address = d.Details.Address
	e.GossipAddress = d.Details.Gossip
	e.Domain = d.Details.Domain
	e.Region = d.Details.Region
	e.Millicores = d.Millicores
}

// addMember adds a VM that was not known. A VM learned from a sync is not
// gossiped, since it has announced itself to others.
func (t *Table) addMember(d delta, from source) {
	if d.Details == nil {
		return
	}
	e := &entry{VM: VM{ID: d.ID, Incarnation: d.Incarnation, State: d.State}, readyVersion: d.ReadyVersion}
	e.Attributes.Ready = d.Ready
	e.setDetails(d)
	t.members[d.ID] = e
	at, _ := slices.BinarySearchFunc(t.sorted, e, compareEntries)
	t.sorted = slices.Insert(t.sorted, at, e)
	t.entryChanged(e, VM{State: Left})
	if from != synced {
		t.gossip(d)
	}
}

// entryChanged updates the state that depends on an entry after a change of the
// entry.
func (t *Table) entryChanged(e *entry, before VM) {
	t.views.membersChanged = true
	if before.State != e.State || before.Incarnation != e.Incarnation {
		e.Since = t.now
	}
	if before.State == Dead && e.State != Dead {
		e.rejoined = t.now
	}
	if e.State == Dead && before.State != Dead {
		t.status.deaths++
	}
	if before.State.Gone() && !e.State.Gone() {
		t.detector.add(e.ID, t.random.IntN)
	}
	if !before.State.Gone() && e.State.Gone() {
		t.detector.remove(e.ID)
	}
	if e.State != Suspect {
		delete(t.suspects, e.ID)
		return
	}
	e.suspicionEnd = t.now.Add(t.settings.suspicionTimeout(t.fleetSize()))
	t.suspects[e.ID] = e
}

// gossip queues an update for the next messages. An unconfirmed VM does not
// gossip suspicions and deaths: it may be the one that is unreachable.
func (t *Table) gossip(d delta) {
	if t.status.unconfirmed && (d.State == Suspect || d.State == Dead) {
		return
	}
	t.updates.push(d.ID, d)
}

// dropTombstones removes VMs that have been gone for more than TombstoneTTL.
func (t *Table) dropTombstones() {
	if !t.views.intervalEnd {
		return
	}
	old := func(e *entry) bool {
		return e.State.Gone() && t.now.Sub(e.Since) > t.settings.TombstoneTTL
	}
	for _, e := range t.sorted {
		if old(e) {
			delete(t.members, e.ID)
			t.views.membersChanged = true
		}
	}
	t.sorted = slices.DeleteFunc(t.sorted, old)
}

func compareEntries(a, b *entry) int { return byID(a.VM, b.VM) }

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
