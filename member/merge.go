package member

import (
	"cmp"
	"maps"
	"slices"
)

// source is the way in which an update reached this VM.
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
	for _, u := range m.Updates {
		t.handleUpdate(r.From, m, u, from)
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
		t.apply(memberUpdate{ID: e.ID, Incarnation: m.Incarnation, Ready: m.Flags&flagReady != 0}, direct)
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

// handleUpdate processes an update received with a message.
func (t *Table) handleUpdate(address string, m message, u memberUpdate, from source) {
	if u.ID == t.Self.ID {
		t.refute(u, cmp.Or(m.Subject, m.From))
		return
	}
	if u.ID == m.From {
		from = direct
	}
	e := t.members[u.ID]
	if e == nil && u.Details == nil {
		if !u.State.Gone() {
			t.syncUnknown(address, gossip)
		}
		return
	}
	if e != nil && from != direct && u.State == Dead && e.State.Live() && u.Incarnation == e.Incarnation {
		u, from = t.downgradeDeath(e, u, from, m.From)
	}
	if from == synced && u.State == Suspect {
		u.State = Alive
	}
	t.apply(u, from)
}

// downgradeDeath downgrades a report of another VM that a VM is dead which this
// VM considers live. A table received in a sync may be out of date by the length
// of a partition, so such a report is ignored, except that the reported VM is
// notified, so that it can refute the report. Any other report makes an alive VM
// suspect, and a suspect VM dead.
func (t *Table) downgradeDeath(e *entry, u memberUpdate, from source, sender string) (memberUpdate, source) {
	if from == synced {
		t.notifyDead(e, u, sender)
		u.State = Alive
		return u, from
	}
	if e.State == Alive {
		u.State = Suspect
	}
	return u, from
}

// apply merges an update into the table and gossips it if it changes an entry.
func (t *Table) apply(u memberUpdate, from source) {
	e := t.members[u.ID]
	if e == nil {
		t.addMember(u, from)
		return
	}
	if !u.supersedes(e) {
		return
	}
	before := e.VM
	e.Incarnation = u.Incarnation
	e.State = u.State
	if u.State != Suspect && u.State != Dead {
		e.readyVersion = u.ReadyVersion
		e.Attributes.Ready = u.Ready
	}
	e.setDetails(u)
	t.entryChanged(e, before)
	if from != synced || before.State.Live() != e.State.Live() {
		t.gossip(u)
	}
}

// supersedes reports whether the update replaces the entry.
func (u memberUpdate) supersedes(e *entry) bool {
	order := cmp.Or(
		cmp.Compare(u.Incarnation, e.Incarnation),
		cmp.Compare(u.State, e.State),
	)
	if order == 0 && u.State != Suspect && u.State != Dead {
		return u.ReadyVersion > e.readyVersion
	}
	return order > 0
}

func (e *entry) setDetails(u memberUpdate) {
	if u.Details == nil {
		return
	}
	e.Address = u.Details.Address
	e.GossipAddress = u.Details.Gossip
	e.Domain = u.Details.Domain
	e.Region = u.Details.Region
	e.Millicores = u.Millicores
}

// addMember adds a VM that is not in the table. A VM received in a sync is not
// gossiped, since it has announced itself to others.
func (t *Table) addMember(u memberUpdate, from source) {
	if u.Details == nil {
		return
	}
	e := &entry{VM: VM{ID: u.ID, Incarnation: u.Incarnation, State: u.State}, readyVersion: u.ReadyVersion}
	e.Attributes.Ready = u.Ready
	e.setDetails(u)
	t.members[u.ID] = e
	at, _ := slices.BinarySearchFunc(t.sorted, e, compareEntries)
	t.sorted = slices.Insert(t.sorted, at, e)
	t.entryChanged(e, VM{State: Left})
	if from != synced {
		t.gossip(u)
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

// gossip queues an update to be piggybacked on the next messages. An unconfirmed
// VM does not gossip suspicions and deaths: it may be the one that is
// unreachable.
func (t *Table) gossip(u memberUpdate) {
	if t.status.unconfirmed && (u.State == Suspect || u.State == Dead) {
		return
	}
	t.updates.push(u.ID, u)
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
