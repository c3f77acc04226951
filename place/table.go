package place

import (
	"time"

	"bergamotworks/site"
)

const (
	// maxReportAge is how long a reported load is used.
	maxReportAge = 2 * time.Second
	// minBackoff and maxBackoff bound the backoff of an unreachable target,
	// which doubles with each consecutive failure.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 8 * time.Second
	// overloadBackoff is the backoff of a target that rejected a request
	// because it was full.
	overloadBackoff = 150 * time.Millisecond
	// failureWeight is the weight of the newest outcome in the exponentially
	// weighted failure rate.
	failureWeight = 0.15
	// maxFailureExcess is how far a target's failure rate may exceed the mean
	// of the others.
	maxFailureExcess = 0.25
	// probeInterval is the time between two requests to a target that fails
	// often.
	probeInterval = 1500 * time.Millisecond
	// coldWindow is the time window in which requests to a cold target are
	// counted.
	coldWindow = time.Second
)

// Table holds the load and health of targets as observed by this node. The
// zero value is ready for use. It is not safe for concurrent use.
type Table struct {
	targets map[string]*targetState
}

// targetState is the state of one target.
type targetState struct {
	incarnation  int64
	inFlight     int
	reported     Load
	reportedAt   time.Time
	failureRate  failureRate
	unreachable  int // Consecutive failures to reach it or to get a response.
	backoffUntil time.Time
	probedAt     time.Time
	coldSent     []time.Time // Start times of recent requests while it was cold.
	lastColdSent time.Time   // Start time of the last of them.
	coldSince    time.Time   // Time at which this node first considered it cold.
}

// failureRate is an exponentially weighted moving average of failures, from 0
// to 1.
type failureRate struct{ value float64 }

func (h *failureRate) add(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	h.value += failureWeight * (value - h.value)
}

// Load is the load that a target reports.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Outcome says how a call ended, as far as it concerns the target's health.
type Outcome int

// Outcomes of a call.
const (
	// Unknown means that the call says nothing about the target, for example
	// because the client disconnected.
	Unknown Outcome = iota
	// Succeeded means that the target returned a successful response.
	Succeeded
	// Failed means that the target returned an error or an incomplete
	// response.
	Failed
	// Unreachable means that the target could not be reached or did not
	// respond.
	Unreachable
	// Overloaded means that the target rejected the request because it was
	// full.
	Overloaded
	// WrongTarget means that another target now uses the address.
	WrongTarget
)

func (t *Table) state(g site.Target) *targetState {
	if t.targets == nil {
		t.targets = make(map[string]*targetState)
	}
	k := t.targets[g.ID]
	if k == nil || k.incarnation != g.Incarnation {
		k = &targetState{incarnation: g.Incarnation}
		t.targets[g.ID] = k
	}
	return k
}

// CallStarted records that a call is sent to a target at now.
func (t *Table) CallStarted(now time.Time, g site.Target) {
	k := t.state(g)
	k.inFlight++
	if now.Before(g.ColdUntil) {
		k.coldSent, k.lastColdSent = append(k.recentCold(now), now), now
	}
}

// recentCold returns the start times within the last coldWindow and discards
// older ones.
func (k *targetState) recentCold(now time.Time) []time.Time {
	for len(k.coldSent) > 0 && now.Sub(k.coldSent[0]) >= coldWindow {
		k.coldSent = k.coldSent[1:]
	}
	return k.coldSent
}

// LoadReported records the load that a target reported at now.
func (t *Table) LoadReported(now time.Time, g site.Target, l Load) {
	k := t.state(g)
	k.reported, k.reportedAt = l, now
}

// CallEnded records the outcome of a call at now and updates the backoff.
func (t *Table) CallEnded(now time.Time, g site.Target, o Outcome) {
	k := t.state(g)
	k.inFlight = max(0, k.inFlight-1)
	switch o {
	case Succeeded:
		k.unreachable = 0
		k.failureRate.add(false)
	case Failed:
		k.unreachable = 0
		k.failureRate.add(true)
	case Unreachable:
		k.unreachable++
		k.failureRate.add(true)
		k.backoffUntil = now.Add(min(maxBackoff, minBackoff<<min(k.unreachable-1, 8)))
	case Overloaded:
		k.backoffUntil = now.Add(overloadBackoff)
	case WrongTarget:
		k.backoffUntil = now.Add(maxBackoff)
	case Unknown:
	}
}

// Prune discards the state of targets that are not listed and have no calls
// in flight.
func (t *Table) Prune(d site.Directory) {
	for id, k := range t.targets {
		if _, ok := d.Find(id); !ok && k.inFlight == 0 {
			delete(t.targets, id)
		}
	}
}
