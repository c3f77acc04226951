package batch

import (
	"time"

	"bergamotworks/fault"
	"bergamotworks/site"
)

// state is what the table knows of one target.
type state struct {
	target    site.Target
	usable    bool // It takes new calls.
	running   map[uint64]*run
	results   map[string]result // By handle.
	released  []string          // Results to give up with the next tick.
	restUntil time.Time
	// crowdedFrom is the size of the results for which there was no room.
	crowdedFrom  int64
	crowdedUntil time.Time
	// foreign is the memory that results of another VM's calls take, or of calls
	// that broke off.
	foreign      int64
	foreignUntil time.Time
	measuredAt   time.Time
	short        bool // Work was left out for want of memory when a call was last looked for.
}

// result is memory that is taken at a target.
type result struct {
	bytes int64
	since time.Time // Begin of its call.
	until time.Time
}

// run is a call in progress.
type run struct {
	id     uint64
	pieces []*piece
	bytes  int64
	since  time.Time
}

// SetTargets replaces the list of targets that take new calls. Targets that are
// gone from the directory are forgotten once their calls have ended.
func (t *Table) SetTargets(now time.Time, targets []site.Target) {
	if t.targets == nil {
		t.targets = make(map[string]*state)
	}
	for _, k := range t.targets {
		k.usable = false
	}
	for _, g := range targets {
		k := t.targets[g.ID]
		if k == nil || k.target.Incarnation != g.Incarnation || k.target.Address != g.Address {
			t.forget(k)
			delete(t.targets, g.ID)
			t.forgetAt(g.Address)
			k = &state{running: make(map[uint64]*run), results: make(map[string]result)}
			t.targets[g.ID] = k
			t.actions = append(t.actions, MeasureCapacity{Target: g})
		}
		k.target = g
		k.usable = true
	}
	for id, k := range t.targets {
		if !k.usable && len(k.running) == 0 && k.used(now) == 0 && !now.Before(k.foreignUntil) {
			delete(t.targets, id)
		}
	}
	t.dispatch(now)
}

// forget puts the pieces back that a target had when it restarted.
func (t *Table) forget(k *state) {
	if k == nil {
		return
	}
	for _, r := range k.running {
		for _, p := range r.pieces {
			t.again(p, fault.New(fault.ConnectionLost, fault.MayHaveRun, "%s has restarted", k.target.ID))
		}
	}
}

// forgetAt forgets a target whose address belongs to another one now.
func (t *Table) forgetAt(address string) {
	for id, k := range t.targets {
		if k.target.Address == address {
			t.forget(k)
			delete(t.targets, id)
		}
	}
}
