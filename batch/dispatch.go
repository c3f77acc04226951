package batch

import (
	"slices"
	"strings"
	"time"

	"bergamotworks/fault"
)

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

// free reports whether a target takes a call now.
func (t *Table) free(now time.Time, k *state) bool {
	return k.usable && len(k.running) < max(t.Limits.Slots, 1) && !now.Before(k.restUntil)
}

func (t *Table) anyFree(now time.Time) bool {
	if len(t.queue) == 0 {
		return false
	}
	for _, k := range t.targets {
		if t.free(now, k) {
			return true
		}
	}
	return false
}

// bestCall returns the free target whose call would begin with the first piece
// in order, and hold the most pieces.
func (t *Table) bestCall(now time.Time) (*state, []*piece) {
	var best *state
	var chosen []*piece
	for _, k := range t.targets {
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
func (t *Table) better(k *state, pieces []*piece, best *state, chosen []*piece) bool {
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
func nearness(k *state, pieces []*piece) int64 {
	var sum int64
	for _, p := range pieces {
		if p.group.work.Domain == k.target.Domain {
			sum += p.group.work.Crossing / int64(p.group.work.Pieces)
		}
	}
	return sum
}

// fit returns the pieces that a target would take now.
func (t *Table) fit(now time.Time, k *state) []*piece {
	size := max(t.Limits.Size, 1)
	room := k.room(now, t.Limits.ResultCapacityBytes)
	k.short = false
	var fitting []*piece
	for _, g := range t.queue {
		if t.waitsForDomain(now, g, k) {
			continue
		}
		for _, p := range g.waiting {
			if len(fitting) == size {
				return fitting
			}
			if g.work.Bytes > room || k.crowded(now, g.work.Bytes) {
				k.short = true
				break
			}
			room -= g.work.Bytes
			fitting = append(fitting, p)
		}
	}
	return fitting
}

// waitsForDomain reports whether work that moves many bytes still waits for a
// target in its failure domain.
func (t *Table) waitsForDomain(now time.Time, g *group, k *state) bool {
	w := g.work
	if w.Crossing < largeCrossing || w.Domain == "" || w.Domain == k.target.Domain {
		return false
	}
	return now.Sub(g.since) < domainWait && t.hasTargetIn(w.Domain)
}

func (t *Table) hasTargetIn(domain string) bool {
	for _, k := range t.targets {
		if k.usable && k.target.Domain == domain {
			return true
		}
	}
	return false
}

func (t *Table) start(now time.Time, k *state, pieces []*piece) {
	t.nextRun++
	r := &run{id: t.nextRun, pieces: pieces, since: now}
	call := StartCall{CallID: r.id, Target: k.target}
	for _, p := range pieces {
		p.tries++
		p.group.waiting = slices.DeleteFunc(p.group.waiting, func(q *piece) bool { return q == p })
		w := p.group.work
		r.bytes += w.Bytes
		call.Pieces = append(call.Pieces, Piece{
			Request: w.Request, Stage: w.Stage, Index: p.index,
			Timeout: w.Deadline.Sub(now), Key: w.Key, Inputs: w.Inputs,
		})
	}
	k.running[r.id] = r
	call.Waiting, call.FreeCapacity = t.Waiting(), k.room(now, t.Limits.ResultCapacityBytes)
	t.actions = append(t.actions, call)
}

// CallEnded takes in the end of a call.
func (t *Table) CallEnded(now time.Time, target string, id uint64, results []Result, err error) {
	k, r := t.find(target, id)
	if r == nil {
		return
	}
	delete(k.running, id)
	if err != nil {
		e := fault.From(err)
		k.restUntil = now.Add(restTime)
		if e.Verdict != fault.NotRun {
			k.leave(now, t.Limits, r.bytes)
		}
		for _, p := range r.pieces {
			t.again(p, e)
		}
		t.dispatch(now)
		return
	}
	for i, p := range r.pieces {
		t.takeResult(now, r.since, k, p, results[i])
	}
	t.dispatch(now)
}

// find returns a call by its number. A target that has restarted has none.
func (t *Table) find(target string, id uint64) (*state, *run) {
	k := t.targets[target]
	if k == nil {
		return nil, nil
	}
	return k, k.running[id]
}

// takeResult takes in the result of a piece whose call began at since.
func (t *Table) takeResult(now, since time.Time, k *state, p *piece, r Result) {
	g := p.group
	if r.Handle == "" {
		t.takeReason(now, k, p, r.Reason)
		return
	}
	k.results[r.Handle] = result{bytes: g.work.Bytes, since: since, until: now.Add(t.Limits.Retention)}
	if t.groups[g.id] == nil {
		k.released = append(k.released, r.Handle)
		return
	}
	g.handles[p.index] = r.Handle
	g.left--
	if g.left == 0 {
		delete(t.groups, g.id)
		t.actions = append(t.actions, GroupDone{Group: g.id, Handles: g.handles})
	}
}

func (t *Table) takeReason(now time.Time, k *state, p *piece, reason Reason) {
	g := p.group
	switch reason {
	case Expired:
		t.failLive(g, fault.New(fault.DeadlineExceeded, fault.NotRun, "a piece of %s came too late", g.work.Service))
	case InputMissing:
		t.failLive(g, fault.New(fault.NotFound, fault.NotRun, "an input of %s is gone", g.work.Service))
	case NoCapacity:
		k.crowd(now, g.work.Bytes)
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
