package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"bergamotworks/ports"
)

// Table is the membership as one VM sees it. It owns no socket, goroutine or
// clock: Step is told the time. Self, Settings and Random are set before the
// first step. A Table must not be used by two goroutines at once.
type Table struct {
	Self     VM // The own VM, with an incarnation that rises over its restarts.
	Settings Settings
	Random   ports.Random

	settings Settings
	now      time.Time
	actions  []Action
	random   *rand.Rand
	turn     uint32 // Counts the changes of readiness of the own VM.

	members  map[string]*entry // Every other VM that is known.
	sorted   []*entry          // The same by ID.
	suspects map[string]*entry
	probes   probing
	changes  queue[delta]
	rumors   rumorTable
	contacts contacts
	trust    trust
	views    views
}

// entry is another VM with what is needed to judge it.
type entry struct {
	VM
	turn     uint32
	expires  time.Time // End of the suspicion.
	rejoined time.Time // Last time it came back from the dead.
}

// Step takes the time and an event and returns what is to be done, in order.
func (t *Table) Step(now time.Time, event Event) []Action {
	t.actions = nil
	t.advance(now)
	switch e := event.(type) {
	case Tick:
		t.tick()
	case DatagramReceived:
		t.receive(e)
	case SeedsUpdated:
		t.contacts.seeds = slices.Clone(e.Addresses)
	case AttributesChanged:
		t.change(e.Attributes)
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

// advance sets the time. The first call prepares the table; a gap since the
// last one is a pause of the process.
func (t *Table) advance(now time.Time) {
	if t.members == nil {
		t.start(now)
	}
	gap := now.Sub(t.now)
	t.now = now
	if gap > t.settings.PauseThreshold {
		t.resume(gap)
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
	t.probes.start(now)
	t.contacts.start(now, t.settings)
	t.trust.start(now)
	t.changes.push(t.Self.ID, t.selfDelta())
	t.views.stale = true
}

func (t *Table) tick() {
	t.expireSuspects()
	t.expireProbes()
	t.probeNext()
	t.contact()
	t.review()
	t.forget()
}

// change replaces the own attributes. A change of readiness is spread.
func (t *Table) change(attributes Attributes) {
	if len(attributes.Loads) > MaxLoads {
		attributes.Loads = attributes.Loads[:MaxLoads]
	}
	changed := attributes.Ready != t.Self.Attributes.Ready
	t.Self.Attributes = attributes
	t.views.worn = true
	if changed {
		t.turn++
		t.views.stale = true
		t.changes.push(t.Self.ID, t.selfDelta())
	}
}

// leave announces the planned stop to some VMs at once and to the others by
// their probes.
func (t *Table) leave(state State) {
	t.Self.State = max(t.Self.State, state)
	t.Self.Since = t.now
	t.views.stale = true
	t.changes.push(t.Self.ID, t.selfDelta())
	for _, e := range t.pick(noticeFanout, func(e *entry) bool { return e.State.Live() }) {
		t.send(e.GossipAddress, message{Kind: gossip, Deltas: []delta{t.selfDelta()}})
	}
}

// noticeFanout is the number of VMs that are told of a planned stop directly.
const noticeFanout = 16

// pick returns up to count random members that satisfy the condition.
func (t *Table) pick(count int, condition func(*entry) bool) []*entry {
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

// fleet returns the number of VMs that are not gone, the own one included.
func (t *Table) fleet() int { return len(t.probes.order) + 1 }

func (t *Table) selfDelta() delta {
	return delta{
		ID:          t.Self.ID,
		Incarnation: t.Self.Incarnation,
		State:       t.Self.State,
		Ready:       t.Self.Attributes.Ready,
		Turn:        t.turn,
		Details:     t.Self.details(),
		Millicores:  t.Self.Millicores,
	}
}

func (v VM) details() *details {
	return &details{Address: v.Address, Gossip: v.GossipAddress, Domain: v.Domain, Region: v.Region}
}

// send adds the own header and a share of the pending changes to the message.
func (t *Table) send(to string, m message) {
	m.From = t.Self.ID
	m.Incarnation = t.Self.Incarnation
	m.Flags = t.Self.Attributes.flags()
	m.Revision = t.Self.Attributes.Revision
	m.Loads = t.Self.Attributes.Loads
	if m.Kind == ping || m.Kind == ack || m.Kind == gossip {
		room := t.settings.piggyback(len(t.changes.items))
		limit := transmissions(t.fleet())
		m.Deltas, room = t.changes.take(m.Deltas, room, limit)
		m.Rumors, _ = t.rumors.pending.take(m.Rumors, room, limit)
	}
	t.actions = append(t.actions, Send{To: to, Payload: encode(m)})
}
