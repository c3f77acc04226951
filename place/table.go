package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotworks/site"
)

const (
	// maxReportAge is how long a load is used after its report.
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
	// Pace limits the share of requests of targets that start or recover, in services
	// whose targets are chosen by the expected time; may be nil.
	Pace *Pace

	targets map[string]*targetState
	reports map[uint64][]receivedReport // By TargetKey, oldest first; never empty.

	// For services whose targets are chosen by the expected time.
	services     map[string]*serviceState
	speeds       map[uint64][]receivedSpeed // By TargetKey, oldest first; never empty.
	awaited      []*Call                    // Calls whose first event has not come.
	speedChanges []SpeedChange              // Since the last call of CheckSpeeds.
	checkedAt    time.Time                  // Time of that call, or of the first call that was awaited since.
	paceChanges  []PaceChange               // Since the last call of TakePaceChanges.
}

// targetState is the state of one target.
type targetState struct {
	incarnation      int64
	inFlight         int
	reported         Load
	reportedAt       time.Time
	failureRate      failureRate
	unreachableCount int       // Consecutive failures to reach it or to get a response.
	succeededAt      time.Time // End of the last successful call.
	backoffUntil     time.Time
	probedAt         time.Time
	coldStarts       []time.Time // Start times of recent requests while it was cold.
	lastColdStart    time.Time   // Start time of the last of them.
	coldSince        time.Time   // Time of the first choice that considered it while it was cold.

	// For services whose targets are chosen by the expected time.
	idHash           uint64 // Hash of the ID, as in rank.
	inFlightAtReport int
	utilization      mean // Reported running and waiting requests for each slot.
	// Mean of the natural logarithms of the reported work factors. It starts at 0, since few
	// reports of a target arrive here.
	usualFactor   float64
	unread        float64              // Tokens that it reads for calls of this node.
	held          int64                // Tokens that it holds for calls of this node.
	cached        map[uint64]time.Time // Prefixes that this node has sent there, and when.
	learned       float64              // Natural logarithm of the slowdown that this node has learned.
	slow          bool                 // The target counts as slow by the responses to this node.
	goodAt        time.Time            // Time of the last first event that was not late.
	speedProbedAt time.Time
	estimatedFor  string         // Service for which calls were sent there; empty before the first one.
	conditions    [Full + 1]bool // At the last check.
	announced     float64        // Slowdown that was announced last.
	announcedAt   time.Time
}

// failureRate is an exponentially weighted moving average of failures, from 0
// to 1.
type failureRate struct{ value float64 }

func (r *failureRate) add(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	r.value += failureWeight * (value - r.value)
}

// Load is the load that a target reports.
type Load struct {
	Running int // Requests that run.
	Waiting int // Requests that are queued.
	Slots   int // Requests that the target runs at once; used only for the choice by the expected time to the first event.
	// WorkFactor is how long work takes on the target's VM now, in percent of the usual
	// time; zero if it is not reported.
	WorkFactor int
}

// Outcome says how a call ended, as far as it concerns the target's health.
type Outcome int

// Outcomes of a call.
const (
	// Unknown means that the outcome does not depend on the health of the
	// target, for example because the client disconnected.
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

// state returns the state of a target. A new incarnation starts with an empty
// state.
func (t *Table) state(target site.Target) *targetState {
	if t.targets == nil {
		t.targets = make(map[string]*targetState)
	}
	state := t.targets[target.ID]
	if state == nil || state.incarnation != target.Incarnation {
		state = &targetState{incarnation: target.Incarnation, idHash: xxhash.Sum64String(target.ID)}
		t.targets[target.ID] = state
	}
	return state
}

// CallStarted records that a call is sent to a target at now.
func (t *Table) CallStarted(now time.Time, target site.Target) {
	state := t.state(target)
	state.inFlight++
	if now.Before(target.ColdUntil) {
		state.coldStarts, state.lastColdStart = append(state.recentCold(now), now), now
	}
}

// recentCold returns the start times within the last coldWindow and discards
// older ones.
func (s *targetState) recentCold(now time.Time) []time.Time {
	for len(s.coldStarts) > 0 && now.Sub(s.coldStarts[0]) >= coldWindow {
		s.coldStarts = s.coldStarts[1:]
	}
	return s.coldStarts
}

// LoadReported records the load that a target reported at now.
func (t *Table) LoadReported(now time.Time, target site.Target, l Load) {
	state := t.state(target)
	state.reported, state.reportedAt = l, now
	t.observeLoad(target, state)
}

// CallEnded records the outcome of a call at now and updates the backoff.
func (t *Table) CallEnded(now time.Time, target site.Target, o Outcome) {
	state := t.state(target)
	state.inFlight = max(0, state.inFlight-1)
	switch o {
	case Succeeded:
		state.unreachableCount, state.succeededAt = 0, now
		state.failureRate.add(false)
	case Failed:
		state.unreachableCount = 0
		state.failureRate.add(true)
	case Unreachable:
		state.unreachableCount++
		state.failureRate.add(true)
		state.backoffUntil = now.Add(min(maxBackoff, minBackoff<<min(state.unreachableCount-1, 8)))
	case Overloaded:
		state.backoffUntil = now.Add(overloadBackoff)
	case WrongTarget:
		state.backoffUntil = now.Add(maxBackoff)
	case Unknown:
	}
}

// Prune discards the state of targets that are not listed and have no calls
// in flight, and the reports that have expired at now.
func (t *Table) Prune(now time.Time, d site.Directory) {
	t.pruneReports(now)
	t.pruneSpeeds(now)
	t.pruneServices(d)
	for id, state := range t.targets {
		if _, ok := d.Find(id); !ok && state.inFlight == 0 {
			delete(t.targets, id)
		}
	}
}
