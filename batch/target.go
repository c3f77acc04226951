package batch

import (
	"time"

	"bergamotworks/fault"
	"bergamotworks/place"
	"bergamotworks/site"
)

// targetState is the state of one target.
type targetState struct {
	target site.Target
	listed bool       // The target is listed as accepting new calls.
	hold   place.Hold // As of the last [Table.updateHolds].
	// excluded means that the version gets no calls now, and canary that it gets only few,
	// as of the last [Table.updateHolds].
	excluded, canary bool
	running          map[uint64]*activeCall
	results          map[string]storedResult // By handle.
	toRelease        []string                // Handles to release with the next tick.
	backoffUntil     time.Time
	// rejectedBytes is the size of the smallest result that was rejected for
	// lack of memory. It applies until rejectedUntil.
	rejectedBytes int64
	rejectedUntil time.Time
	// untracked is the memory in bytes of results whose handles are unknown:
	// those of another owner's calls and of calls that failed. It applies
	// until untrackedUntil.
	untracked      int64
	untrackedUntil time.Time
	measuredAt     time.Time // Last report of the free capacity or repeated query for it.
	lacksCapacity  bool      // The last dispatch skipped work for lack of memory.
	slowness       float64   // Logarithm of the time of its calls as a multiple of the expected one.
	lastCallEnded  time.Time // Whether it failed or not.
	slow           bool      // At the last call of CheckSpeeds.
}

// storedResult is a result that occupies memory at a target.
type storedResult struct {
	bytes       int64
	callStarted time.Time // Start of the call that produced it.
	expires     time.Time
}

// activeCall is a call in flight.
type activeCall struct {
	id      uint64
	pieces  []*piece
	bytes   int64
	started time.Time
}

// SetTargets replaces the list of targets that accept new calls. A target
// that is no longer listed is kept until its calls have ended and its results
// are released or expired. If a target has restarted or changed its address,
// its pieces in flight are queued again.
func (t *Table) SetTargets(now time.Time, targets []site.Target) {
	if t.targets == nil {
		t.targets = make(map[string]*targetState)
	}
	for _, state := range t.targets {
		state.listed = false
	}
	for _, target := range targets {
		state := t.targets[target.ID]
		if state == nil || state.target.Incarnation != target.Incarnation || state.target.Address != target.Address {
			t.requeueCalls(state)
			delete(t.targets, target.ID)
			t.removeAddress(target.Address)
			state = &targetState{running: make(map[uint64]*activeCall), results: make(map[string]storedResult)}
			t.targets[target.ID] = state
			state.target = target
			t.requestMeasurement(now, state)
		}
		state.target = target
		state.listed = true
	}
	for id, state := range t.targets {
		if !state.listed && len(state.running) == 0 && state.usedBytes(now) == 0 && !now.Before(state.untrackedUntil) {
			delete(t.targets, id)
		}
	}
	t.dispatch(now)
}

// requeueCalls queues the pieces in flight at a target again, since the
// target has restarted. It does nothing if state is nil.
func (t *Table) requeueCalls(state *targetState) {
	if state == nil {
		return
	}
	for _, call := range state.running {
		for _, p := range call.pieces {
			t.requeue(p, fault.New(fault.ConnectionLost, fault.MayHaveRun, "%s has restarted", state.target.ID))
		}
	}
}

// removeAddress removes targets whose address is now used by another one.
func (t *Table) removeAddress(address string) {
	for id, state := range t.targets {
		if state.target.Address == address {
			t.requeueCalls(state)
			delete(t.targets, id)
		}
	}
}
