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

func (k *state) holds(handle string) bool {
	_, ok := k.results[handle]
	return ok
}

// used returns the memory that the table's own results take.
func (k *state) used(now time.Time) int64 {
	var sum int64
	for h, r := range k.results {
		if now.After(r.until) {
			delete(k.results, h)
			continue
		}
		sum += r.bytes
	}
	for _, r := range k.running {
		sum += r.bytes
	}
	return sum
}

// usedSince returns the part of the used memory that calls begun at a time or
// later take.
func (k *state) usedSince(begin time.Time) int64 {
	var sum int64
	for _, r := range k.results {
		if !r.since.Before(begin) {
			sum += r.bytes
		}
	}
	for _, r := range k.running {
		if !r.since.Before(begin) {
			sum += r.bytes
		}
	}
	return sum
}

// measure takes in that a target has told its free memory. What it tells is as
// of a short time ago, so the latest calls may be missing in it.
func (k *state) measure(now time.Time, limits site.Batch, free int64) {
	if !now.Before(k.foreignUntil) {
		k.foreignUntil = now.Add(limits.Retention)
	}
	known := k.used(now) - k.usedSince(now.Add(-reportLag))
	k.foreign = max(0, limits.RoomBytes-free-known)
	k.measuredAt = now
}

// leave notes that results may have been made whose handles are not known.
func (k *state) leave(now time.Time, limits site.Batch, bytes int64) {
	if !now.Before(k.foreignUntil) {
		k.foreign = 0
	}
	k.foreign += bytes
	k.foreignUntil = now.Add(limits.Retention)
}

// outdated reports whether work waits for memory that results of another VM's
// calls took when the target was last measured.
func (k *state) outdated(now time.Time) bool {
	return k.short && k.foreign > 0 && now.Before(k.foreignUntil) && now.Sub(k.measuredAt) >= measureInterval
}

// room returns the free memory.
func (k *state) room(now time.Time, limit int64) int64 {
	free := limit - k.used(now)
	if now.Before(k.foreignUntil) {
		free -= k.foreign
	}
	return free
}

// crowd notes that a result of a size found no room.
func (k *state) crowd(now time.Time, bytes int64) {
	if !now.Before(k.crowdedUntil) || bytes < k.crowdedFrom {
		k.crowdedFrom = bytes
	}
	k.crowdedUntil = now.Add(crowdedTime)
}

// crowded reports whether a result of a size would find no room.
func (k *state) crowded(now time.Time, bytes int64) bool {
	return now.Before(k.crowdedUntil) && bytes >= k.crowdedFrom
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
			t.actions = append(t.actions, Measure{Target: g})
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
