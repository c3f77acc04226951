package place

import (
	"time"

	"bergamotworks/site"
)

const (
	// loadAge is how long a told load counts.
	loadAge = 2 * time.Second
	// firstRest and longestRest bound the time for which a target that cannot
	// be reached gets no requests; each failure in a row doubles it.
	firstRest   = 500 * time.Millisecond
	longestRest = 8 * time.Second
	// fullRest is how long a target that was full gets no requests.
	fullRest = 150 * time.Millisecond
	// failureWeight is the weight of one answer in the share of failures.
	failureWeight = 0.15
	// failingExcess is how far a target's share of failures may lie above the
	// mean of the others.
	failingExcess = 0.25
	// probeEvery is the time between two requests to a target that fails often.
	probeEvery = 1500 * time.Millisecond
	// coldWindow is the time over which requests to a cold target are counted.
	coldWindow = time.Second
)

// Table knows the load and health of targets as far as this node has seen
// them. The zero value is ready for use. It is not safe for concurrent use.
type Table struct {
	targets map[string]*state
}

// state is what is known of one target.
type state struct {
	incarnation int64
	inFlight    int
	told        Load
	toldAt      time.Time
	health      health
	lost        int // Failures in a row to reach it or to get an answer.
	restUntil   time.Time
	probed      time.Time
	sent        []time.Time // Recent requests, while it is cold.
	lastSent    time.Time   // The last of them.
	coldFrom    time.Time   // Time at which it was first found cold.
}

// health is a moving share of failures.
type health struct{ failures float64 }

func (h *health) add(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	h.failures += failureWeight * (value - h.failures)
}

// Load is what a target tells about itself.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Outcome says how a call ended, as far as the target's health goes.
type Outcome int

// The outcomes.
const (
	// Unknown means that nothing was learned, for example since the caller left.
	Unknown Outcome = iota
	// Succeeded means that the target answered with success.
	Succeeded
	// Failed means that the target answered with a failure or broke off.
	Failed
	// Unreachable means that the target could not be reached or fell silent.
	Unreachable
	// Overloaded means that the target refused since it was full.
	Overloaded
	// WrongTarget means that another target has the address now.
	WrongTarget
)

func (t *Table) state(g site.Target) *state {
	if t.targets == nil {
		t.targets = make(map[string]*state)
	}
	k := t.targets[g.ID]
	if k == nil || k.incarnation != g.Incarnation {
		k = &state{incarnation: g.Incarnation}
		t.targets[g.ID] = k
	}
	return k
}

// CallStarted counts a call that is sent at now.
func (t *Table) CallStarted(now time.Time, g site.Target) {
	k := t.state(g)
	k.inFlight++
	if now.Before(g.ColdUntil) {
		k.sent, k.lastSent = append(k.recent(now), now), now
	}
}

// recent returns the requests of the last second.
func (k *state) recent(now time.Time) []time.Time {
	for len(k.sent) > 0 && now.Sub(k.sent[0]) >= coldWindow {
		k.sent = k.sent[1:]
	}
	return k.sent
}

// LoadReported takes in the load that a target tells.
func (t *Table) LoadReported(now time.Time, g site.Target, l Load) {
	k := t.state(g)
	k.told, k.toldAt = l, now
}

// CallEnded counts the end of a call at now.
func (t *Table) CallEnded(now time.Time, g site.Target, o Outcome) {
	k := t.state(g)
	k.inFlight = max(0, k.inFlight-1)
	switch o {
	case Succeeded:
		k.lost = 0
		k.health.add(false)
	case Failed:
		k.lost = 0
		k.health.add(true)
	case Unreachable:
		k.lost++
		k.health.add(true)
		k.restUntil = now.Add(min(longestRest, firstRest<<min(k.lost-1, 8)))
	case Overloaded:
		k.restUntil = now.Add(fullRest)
	case WrongTarget:
		k.restUntil = now.Add(longestRest)
	case Unknown:
	}
}

// Prune drops what is known of targets that are not listed.
func (t *Table) Prune(d site.Directory) {
	for id, k := range t.targets {
		if _, ok := d.Find(id); !ok && k.inFlight == 0 {
			delete(t.targets, id)
		}
	}
}
