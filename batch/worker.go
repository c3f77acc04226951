package batch

import (
	"slices"
	"strings"
	"time"

	"bergamotworks/fault"
	"bergamotworks/site"
)

// worker is one target of the service.
type worker struct {
	target    site.Target
	usable    bool // It takes new calls.
	measured  bool
	running   map[uint64]*run
	results   map[string]result // By handle.
	released  []string          // Results to give up with the next tick.
	restUntil time.Time
	// foreign is the memory that results of another VM's calls take.
	foreign      int64
	foreignUntil time.Time
}

// result is memory that is taken at a worker.
type result struct {
	bytes int64
	until time.Time
}

// run is a call in progress.
type run struct {
	id     uint64
	pieces []*piece
	bytes  int64
}

func (k *worker) holds(handle string) bool {
	_, ok := k.results[handle]
	return ok
}

// used returns the memory that the table's own results take.
func (k *worker) used(now time.Time) int64 {
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

// room returns the free memory.
func (k *worker) room(now time.Time, limit int64) int64 {
	free := limit - k.used(now)
	if now.Before(k.foreignUntil) {
		free -= k.foreign
	}
	return free
}

// SetTargets replaces the list of targets that take new calls. Targets that are
// gone from the directory are forgotten once their calls have ended.
func (t *Table) SetTargets(now time.Time, targets []site.Target) {
	if t.workers == nil {
		t.workers = make(map[string]*worker)
	}
	for _, k := range t.workers {
		k.usable = false
	}
	for _, g := range targets {
		k := t.workers[g.ID]
		if k == nil || k.target.Incarnation != g.Incarnation || k.target.Address != g.Address {
			t.forget(k)
			delete(t.workers, g.ID)
			t.forgetAt(g.Address)
			k = &worker{running: make(map[uint64]*run), results: make(map[string]result)}
			t.workers[g.ID] = k
			t.actions = append(t.actions, Measure{Target: g})
		}
		k.target = g
		k.usable = true
	}
	for id, k := range t.workers {
		if !k.usable && len(k.running) == 0 && k.used(now) == 0 {
			delete(t.workers, id)
		}
	}
	t.dispatch(now)
}

// forget puts the pieces back that a worker had when it restarted.
func (t *Table) forget(k *worker) {
	if k == nil {
		return
	}
	for _, r := range k.running {
		for _, p := range r.pieces {
			t.again(p, fault.New(fault.ConnectionLost, fault.MayHaveRun, "%s has restarted", k.target.ID))
		}
	}
}

// forgetAt forgets a worker whose address belongs to another one now.
func (t *Table) forgetAt(address string) {
	for id, k := range t.workers {
		if k.target.Address == address {
			t.forget(k)
			delete(t.workers, id)
		}
	}
}

// dispatch starts every call that is possible now.
func (t *Table) dispatch(now time.Time) {
	for t.anyFree(now) {
		t.sort(now)
		best, pieces := t.bestCall(now)
		if best == nil {
			return
		}
		t.start(now, best, pieces)
	}
}

// free reports whether a worker takes a call now.
func (t *Table) free(now time.Time, k *worker) bool {
	return k.usable && len(k.running) < max(t.Limits.Slots, 1) && !now.Before(k.restUntil)
}

func (t *Table) anyFree(now time.Time) bool {
	if len(t.queue) == 0 {
		return false
	}
	for _, k := range t.workers {
		if t.free(now, k) {
			return true
		}
	}
	return false
}

// bestCall returns the free worker whose call would begin with the first piece
// in order, and hold the most pieces.
func (t *Table) bestCall(now time.Time) (*worker, []*piece) {
	var best *worker
	var chosen []*piece
	for _, k := range t.workers {
		if !t.free(now, k) {
			continue
		}
		pieces := t.fit(now, k)
		if len(pieces) == 0 {
			continue
		}
		if best == nil || t.better(k, pieces, best, chosen) {
			best, chosen = k, pieces
		}
	}
	return best, chosen
}

// better reports whether a call comes before the best one so far.
func (t *Table) better(k *worker, pieces []*piece, best *worker, chosen []*piece) bool {
	if c := slices.Index(t.queue, pieces[0].group) - slices.Index(t.queue, chosen[0].group); c != 0 {
		return c < 0
	}
	near, bestNear := nearness(k, pieces), nearness(best, chosen)
	if near != bestNear {
		return near > bestNear
	}
	if len(pieces) != len(chosen) {
		return len(pieces) > len(chosen)
	}
	return strings.Compare(k.target.ID, best.target.ID) < 0
}

// nearness counts the bytes that stay in their failure domain.
func nearness(k *worker, pieces []*piece) int64 {
	var sum int64
	for _, p := range pieces {
		if p.group.work.Domain == k.target.Domain {
			sum += p.group.work.Crossing / int64(p.group.work.Pieces)
		}
	}
	return sum
}

// fit returns the pieces that a worker would take now.
func (t *Table) fit(now time.Time, k *worker) []*piece {
	size := max(t.Limits.Size, 1)
	room := k.room(now, t.Limits.RoomBytes)
	var fitting []*piece
	for _, g := range t.queue {
		if t.waitsForDomain(now, g, k) {
			continue
		}
		for _, p := range g.waiting {
			if len(fitting) == size {
				return fitting
			}
			if g.work.Bytes > room {
				break
			}
			room -= g.work.Bytes
			fitting = append(fitting, p)
		}
	}
	return fitting
}

// waitsForDomain reports whether work that moves many bytes still waits for a
// worker in its failure domain.
func (t *Table) waitsForDomain(now time.Time, g *group, k *worker) bool {
	w := g.work
	if w.Crossing < largeCrossing || w.Domain == "" || w.Domain == k.target.Domain {
		return false
	}
	return now.Sub(g.since) < domainWait && t.hasWorkerIn(w.Domain)
}

func (t *Table) hasWorkerIn(domain string) bool {
	for _, k := range t.workers {
		if k.usable && k.target.Domain == domain {
			return true
		}
	}
	return false
}

func (t *Table) start(now time.Time, k *worker, pieces []*piece) {
	t.nextRun++
	r := &run{id: t.nextRun, pieces: pieces}
	call := Start{Run: r.id, Target: k.target}
	for _, p := range pieces {
		p.tries++
		p.group.waiting = slices.DeleteFunc(p.group.waiting, func(q *piece) bool { return q == p })
		w := p.group.work
		r.bytes += w.Bytes
		call.Pieces = append(call.Pieces, Piece{
			Request: w.Request, Stage: w.Stage, Index: p.index,
			Left: w.Deadline.Sub(now), Key: w.Key, Inputs: w.Inputs,
		})
	}
	k.running[r.id] = r
	t.actions = append(t.actions, call)
}

// Ended takes in the end of a call.
func (t *Table) Ended(now time.Time, target string, id uint64, results []Result, err error) {
	k, r := t.find(target, id)
	if r == nil {
		return
	}
	delete(k.running, id)
	if err != nil {
		k.restUntil = now.Add(restTime)
		for _, p := range r.pieces {
			t.again(p, fault.From(err))
		}
		t.dispatch(now)
		return
	}
	for i, p := range r.pieces {
		t.takeResult(now, k, p, results[i])
	}
	t.dispatch(now)
}

// find returns a call by its number. A worker that has restarted has none.
func (t *Table) find(target string, id uint64) (*worker, *run) {
	k := t.workers[target]
	if k == nil {
		return nil, nil
	}
	return k, k.running[id]
}

func (t *Table) takeResult(now time.Time, k *worker, p *piece, r Result) {
	g := p.group
	if r.Handle == "" {
		t.takeReason(now, k, p, r.Reason)
		return
	}
	k.results[r.Handle] = result{bytes: g.work.Bytes, until: now.Add(t.Limits.Retention)}
	if t.groups[g.id] == nil {
		k.released = append(k.released, r.Handle)
		return
	}
	g.handles[p.index] = r.Handle
	g.left--
	if g.left == 0 {
		delete(t.groups, g.id)
		t.actions = append(t.actions, Done{Group: g.id, Handles: g.handles})
	}
}

func (t *Table) takeReason(now time.Time, k *worker, p *piece, reason Reason) {
	g := p.group
	switch reason {
	case Late:
		t.failLive(g, fault.New(fault.DeadlineExceeded, fault.NotRun, "a piece of %s came too late", g.work.Service))
	case Gone:
		t.failLive(g, fault.New(fault.NotFound, fault.NotRun, "an input of %s is gone", g.work.Service))
	case Room:
		k.restUntil = now.Add(fullTime)
		p.tries--
		t.again(p, nil)
	case Failed:
		t.again(p, fault.New(fault.TargetFailed, fault.NotRun, "a piece of %s failed", g.work.Service))
	}
}

func (t *Table) failLive(g *group, err error) {
	if t.groups[g.id] != nil {
		t.fail(g, err)
	}
}

// again puts a piece back, unless its group is gone or it was tried too often.
func (t *Table) again(p *piece, cause error) {
	if t.groups[p.group.id] == nil {
		return
	}
	if p.tries >= maxTries {
		t.fail(p.group, fault.New(fault.TargetFailed, fault.NotRun, "a piece of %s failed %d times: %v", p.group.work.Service, p.tries, cause))
		return
	}
	if len(p.group.waiting) == 0 && !slices.Contains(t.queue, p.group) {
		t.queue = append(t.queue, p.group)
	}
	p.group.waiting = append(p.group.waiting, p)
}
