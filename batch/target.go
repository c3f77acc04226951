package batch

import (
	"time"

	"bergamotworks/fault"
	"bergamotworks/site"
)

// targetState is the state of one target.
type targetState struct {
	target       site.Target
	usable       bool // The target accepts new calls.
	running      map[uint64]*activeCall
	results      map[string]storedResult // By handle.
	released     []string                // Handles to release with the next tick.
	backoffUntil time.Time
	// rejectedBytes is the size of the smallest result that was rejected for
	// lack of memory. It applies until rejectedUntil.
	rejectedBytes int64
	rejectedUntil time.Time
	// untracked is the memory in bytes of results whose handles are unknown:
	// those of another owner's calls and of calls that failed. It applies
	// until untrackedUntil.
	untracked      int64
	untrackedUntil time.Time
	measuredAt     time.Time
	lacksCapacity  bool // The last dispatch skipped work for lack of memory.
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
	for _, k := range t.targets {
		k.usable = false
	}
	for _, g := range targets {
		k := t.targets[g.ID]
		if k == nil || k.target.Incarnation != g.Incarnation || k.target.Address != g.Address {
			t.requeueCalls(k)
			delete(t.targets, g.ID)
			t.removeAddress(g.Address)
			k = &targetState{running: make(map[uint64]*activeCall), results: make(map[string]storedResult)}
			t.targets[g.ID] = k
			t.actions = append(t.actions, MeasureCapacity{Target: g})
		}
		k.target = g
		k.usable = true
	}
	for id, k := range t.targets {
		if !k.usable && len(k.running) == 0 && k.usedBytes(now) == 0 && !now.Before(k.untrackedUntil) {
			delete(t.targets, id)
		}
	}
	t.dispatch(now)
}

// requeueCalls queues the pieces in flight at a target again, since the
// target has restarted. It does nothing if k is nil.
func (t *Table) requeueCalls(k *targetState) {
	if k == nil {
		return
	}
	for _, r := range k.running {
		for _, p := range r.pieces {
			t.requeue(p, fault.New(fault.ConnectionLost, fault.MayHaveRun, "%s has restarted", k.target.ID))
		}
	}
}

// removeAddress removes targets whose address is now used by another one.
func (t *Table) removeAddress(address string) {
	for id, k := range t.targets {
		if k.target.Address == address {
			t.requeueCalls(k)
			delete(t.targets, id)
		}
	}
}
