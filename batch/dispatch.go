package batch

import (
	"slices"
	"strings"
	"time"

	"bergamotworks/fault"
)

// dispatch starts calls until no available target can take any of the queued
// work.
func (t *Table) dispatch(now time.Time) {
	for t.anyAvailable(now) {
		t.sortQueue(now)
		best, pieces := t.bestCall(now)
		if best == nil {
			return
		}
		t.startCall(now, best, pieces)
	}
}

// available reports whether a target can take another call now.
func (t *Table) available(now time.Time, k *targetState) bool {
	return k.usable && len(k.running) < max(t.Limits.Slots, 1) && !now.Before(k.backoffUntil)
}

func (t *Table) anyAvailable(now time.Time) bool {
	if len(t.queue) == 0 {
		return false
	}
	for _, k := range t.targets {
		if t.available(now, k) {
			return true
		}
	}
	return false
}

// bestCall returns the next call: the one with the most urgent first piece, then
// the one that keeps the most bytes within their failure domain, then the one
// with the most pieces. It returns a nil target if no call is possible.
func (t *Table) bestCall(now time.Time) (*targetState, []*piece) {
	var best *targetState
	var chosen []*piece
	for _, k := range t.targets {
		if !t.available(now, k) {
			continue
		}
		pieces := t.selectPieces(now, k)
		if len(pieces) == 0 {
			continue
		}
		if best == nil || t.better(k, pieces, best, chosen) {
			best, chosen = k, pieces
		}
	}
	return best, chosen
}

// better reports whether a call to k goes before the best one found so far.
func (t *Table) better(k *targetState, pieces []*piece, best *targetState, chosen []*piece) bool {
	if c := slices.Index(t.queue, pieces[0].group) - slices.Index(t.queue, chosen[0].group); c != 0 {
		return c < 0
	}
	local, bestLocal := localBytes(k, pieces), localBytes(best, chosen)
	if local != bestLocal {
		return local > bestLocal
	}
	if len(pieces) != len(chosen) {
		return len(pieces) > len(chosen)
	}
	return strings.Compare(k.target.ID, best.target.ID) < 0
}

// localBytes returns the number of bytes that stay within the failure domain
// if k processes the pieces.
func localBytes(k *targetState, pieces []*piece) int64 {
	var sum int64
	for _, p := range pieces {
		if p.group.work.Domain == k.target.Domain {
			sum += p.group.work.Crossing / int64(p.group.work.Pieces)
		}
	}
	return sum
}

// selectPieces returns the pieces for a call to a target, in queue order, as
// far as its batch size and free memory allow.
func (t *Table) selectPieces(now time.Time, k *targetState) []*piece {
	size := max(t.Limits.Size, 1)
	free := k.freeCapacity(now, t.Limits.ResultCapacityBytes)
	k.lacksCapacity = false
	var selected []*piece
	for _, g := range t.queue {
		if t.waitsForDomain(now, g, k) {
			continue
		}
		for _, p := range g.waiting {
			if len(selected) == size {
				return selected
			}
			if g.work.Bytes > free || k.rejects(now, g.work.Bytes) {
				k.lacksCapacity = true
				break
			}
			free -= g.work.Bytes
			selected = append(selected, p)
		}
	}
	return selected
}

// waitsForDomain reports whether work that transfers many bytes should still
// wait for a target in its preferred failure domain instead of going to k.
func (t *Table) waitsForDomain(now time.Time, g *group, k *targetState) bool {
	w := g.work
	if w.Crossing < largeTransfer || w.Domain == "" || w.Domain == k.target.Domain {
		return false
	}
	return now.Sub(g.submitted) < domainWait && t.hasTargetIn(w.Domain)
}

func (t *Table) hasTargetIn(domain string) bool {
	for _, k := range t.targets {
		if k.usable && k.target.Domain == domain {
			return true
		}
	}
	return false
}

func (t *Table) startCall(now time.Time, k *targetState, pieces []*piece) {
	t.nextCallID++
	r := &activeCall{id: t.nextCallID, pieces: pieces, started: now}
	call := StartCall{CallID: r.id, Target: k.target}
	for _, p := range pieces {
		p.attempts++
		p.group.waiting = slices.DeleteFunc(p.group.waiting, func(q *piece) bool { return q == p })
		w := p.group.work
		r.bytes += w.Bytes
		call.Pieces = append(call.Pieces, Piece{
			Request: w.Request, Stage: w.Stage, Index: p.index,
			Timeout: w.Deadline.Sub(now), Key: w.Key, Inputs: w.Inputs,
		})
	}
	k.running[r.id] = r
	call.Waiting, call.FreeCapacity = t.Waiting(), k.freeCapacity(now, t.Limits.ResultCapacityBytes)
	t.actions = append(t.actions, call)
}

// CallEnded records the end of a call. After an error the target is in
// backoff and the pieces are queued again.
func (t *Table) CallEnded(now time.Time, target string, id uint64, results []Result, err error) {
	k, r := t.findCall(target, id)
	if r == nil {
		return
	}
	delete(k.running, id)
	if err != nil {
		e := fault.From(err)
		k.backoffUntil = now.Add(failureBackoff)
		if e.Verdict != fault.NotRun {
			k.addUntracked(now, t.Limits, r.bytes)
		}
		for _, p := range r.pieces {
			t.requeue(p, e)
		}
		t.dispatch(now)
		return
	}
	for i, p := range r.pieces {
		t.recordResult(now, r.started, k, p, results[i])
	}
	t.dispatch(now)
}

// findCall returns a call by its ID. It returns a nil call if the target is
// unknown or has restarted since.
func (t *Table) findCall(target string, id uint64) (*targetState, *activeCall) {
	k := t.targets[target]
	if k == nil {
		return nil, nil
	}
	return k, k.running[id]
}

// recordResult records the result of a piece whose call began at started. A
// result that is no longer needed is marked for release.
func (t *Table) recordResult(now, started time.Time, k *targetState, p *piece, r Result) {
	g := p.group
	if r.Handle == "" {
		t.handleMissing(now, k, p, r.Reason)
		return
	}
	k.results[r.Handle] = storedResult{bytes: g.work.Bytes, callStarted: started, expires: now.Add(t.Limits.Retention)}
	if t.groups[g.id] == nil {
		k.released = append(k.released, r.Handle)
		return
	}
	g.handles[p.index] = r.Handle
	g.remaining--
	if g.remaining == 0 {
		delete(t.groups, g.id)
		t.actions = append(t.actions, GroupDone{Group: g.id, Handles: g.handles})
	}
}

func (t *Table) handleMissing(now time.Time, k *targetState, p *piece, reason Reason) {
	g := p.group
	switch reason {
	case Expired:
		t.failPending(g, fault.New(fault.DeadlineExceeded, fault.NotRun, "a piece of %s came too late", g.work.Service))
	case InputMissing:
		t.failPending(g, fault.New(fault.NotFound, fault.NotRun, "an input of %s is gone", g.work.Service))
	case NoCapacity:
		k.recordRejection(now, g.work.Bytes)
		p.attempts--
		t.requeue(p, nil)
	case Failed:
		t.requeue(p, fault.New(fault.TargetFailed, fault.NotRun, "a piece of %s failed", g.work.Service))
	}
}

func (t *Table) failPending(g *group, err error) {
	if t.groups[g.id] != nil {
		t.fail(g, err)
	}
}

// requeue queues a piece again, unless its group is gone. It fails the group
// if the piece has used up its attempts.
func (t *Table) requeue(p *piece, cause error) {
	if t.groups[p.group.id] == nil {
		return
	}
	if p.attempts >= maxAttempts {
		t.fail(p.group, fault.New(fault.TargetFailed, fault.NotRun, "a piece of %s failed %d times: %v", p.group.work.Service, p.attempts, cause))
		return
	}
	if len(p.group.waiting) == 0 && !slices.Contains(t.queue, p.group) {
		t.queue = append(t.queue, p.group)
	}
	p.group.waiting = append(p.group.waiting, p)
}
