package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"bergamotworks/ports"
)

// Table is the membership as seen by one VM. It is a pure state machine without
// sockets, goroutines or a clock: the caller passes the time to Step. Self,
// Settings and Random are set before the first step. A Table is not safe for
// concurrent use.
type Table struct {
	Self     VM // The local VM; its incarnation increases with each restart.
	Settings Settings
	Random   ports.Random

	settings     Settings
	now          time.Time
	actions      []Action
	random       *rand.Rand
	readyVersion uint32 // Number of readiness changes of the local VM.

	members       map[string]*entry // Every other known VM, by ID.
	sorted        []*entry          // The values of members, sorted by ID.
	suspects      map[string]*entry
	detector      failureDetector
	updates       queue[memberUpdate]
	announcements announcementTable
	sync          antiEntropy
	status        selfStatus
	views         viewState
}

// entry is the state kept for another VM.
type entry struct {
	VM
	readyVersion uint32
	suspicionEnd time.Time // When a suspect is declared dead.
	rejoined     time.Time // Last change from Dead to another state.
}

// Step processes an event at the given time and returns the actions to perform,
// in order.
func (t *Table) Step(now time.Time, event Event) []Action {
	t.actions = nil
	t.advance(now)
	switch e := event.(type) {
	case Tick:
		t.tick()
	case DatagramReceived:
		t.receive(e)
	case SeedsUpdated:
		t.sync.seeds = slices.Clone(e.Addresses)
	case AttributesChanged:
		t.setAttributes(e.Attributes)
	case BroadcastRequested:
		t.broadcast(e.Announcement)
	case LeaveStarted:
		t.leave(Leaving)
	case LeaveCompleted:
		t.leave(Left)
	}
	t.publish()
	return t.actions
}

// advance sets the current time and initializes the table on the first call. A
// gap of more than PauseThreshold since the last call means that the process
// was paused.
func (t *Table) advance(now time.Time) {
	if t.members == nil {
		t.start(now)
	}
	elapsed := now.Sub(t.now)
	t.now = now
	if elapsed > t.settings.PauseThreshold {
		t.resume(elapsed)
	}
}

func (t *Table) start(now time.Time) {
	t.now = now
	t.settings = t.Settings.withDefaults()
	t.random = rand.New(t.Random)
	t.members = map[string]*entry{}
	t.suspects = map[string]*entry{}
	t.Self.State = Alive
	t.Self.Since = now
	t.Self.LastHeard = now
	t.detector.start(now)
	t.sync.start(now, t.settings)
	t.status.start(now)
	t.updates.push(t.Self.ID, t.selfUpdate())
	t.views.membersChanged = true
}

func (t *Table) tick() {
	t.expireSuspects()
	t.expireProbes()
	t.probeNext()
	t.syncTables()
	t.updateStatus()
	t.dropTombstones()
}

// setAttributes replaces the attributes of the local VM. A change of readiness
// is gossiped.
func (t *Table) setAttributes(attributes Attributes) {
	if len(attributes.Loads) > MaxLoads {
		attributes.Loads = attributes.Loads[:MaxLoads]
	}
	changed := attributes.Ready != t.Self.Attributes.Ready
	t.Self.Attributes = attributes
	t.views.attributesChanged = true
	if changed {
		t.readyVersion++
		t.views.membersChanged = true
		t.updates.push(t.Self.ID, t.selfUpdate())
	}
}

// leave announces the planned shutdown directly to leaveFanout VMs. The others
// receive the announcement by gossip.
func (t *Table) leave(state State) {
	t.Self.State = max(t.Self.State, state)
	t.Self.Since = t.now
	t.views.membersChanged = true
	t.updates.push(t.Self.ID, t.selfUpdate())
	for _, e := range t.randomEntries(leaveFanout, func(e *entry) bool { return e.State.Live() }) {
		t.send(e.GossipAddress, message{Kind: gossip, Updates: []memberUpdate{t.selfUpdate()}})
	}
}

// leaveFanout is the number of VMs that are notified directly of a planned
// shutdown.
const leaveFanout = 16

// randomEntries returns up to count random entries that satisfy the condition.
func (t *Table) randomEntries(count int, condition func(*entry) bool) []*entry {
	var candidates []*entry
	for _, e := range t.sorted {
		if condition(e) {
			candidates = append(candidates, e)
		}
	}
	t.random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	return candidates[:min(count, len(candidates))]
}

// fleetSize returns the number of VMs that are not gone, including the local
// VM.
func (t *Table) fleetSize() int { return len(t.detector.round) + 1 }

func (t *Table) selfUpdate() memberUpdate {
	return memberUpdate{
		ID:           t.Self.ID,
		Incarnation:  t.Self.Incarnation,
		State:        t.Self.State,
		Ready:        t.Self.Attributes.Ready,
		ReadyVersion: t.readyVersion,
		Details:      t.Self.details(),
		Millicores:   t.Self.Millicores,
	}
}

func (v VM) details() *details {
	return &details{Address: v.Address, Gossip: v.GossipAddress, Domain: v.Domain, Region: v.Region}
}

// send fills in the header of the message, adds queued updates and
// announcements as far as they fit, and emits the message.
func (t *Table) send(to string, m message) {
	m.From = t.Self.ID
	m.Incarnation = t.Self.Incarnation
	m.Flags = t.Self.Attributes.flags()
	m.Revision = t.Self.Attributes.Revision
	m.Loads = t.Self.Attributes.Loads
	if m.Kind == ping || m.Kind == ack || m.Kind == gossip {
		space := t.settings.messageBudget(len(t.updates.items))
		limit := maxTransmissions(t.fleetSize())
		m.Updates, space = t.updates.take(m.Updates, space, limit)
		m.Announcements, _ = t.announcements.pending.take(m.Announcements, space, limit)
	}
	t.actions = append(t.actions, Send{To: to, Payload: encode(m)})
}
