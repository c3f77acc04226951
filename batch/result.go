package batch

import (
	"slices"
	"time"

	"bergamotworks/fault"
	"bergamotworks/place"
)

// requeueUnsent queues the pieces of a call that was not sent again. The call does not
// count as an attempt.
func (t *Table) requeueUnsent(call *activeCall) {
	for _, p := range call.pieces {
		p.attempts--
		t.requeue(p, nil)
	}
}

// countUnreached takes back an attempt for which no connection was established: the
// other targets may be well. It counts once there were more than there are targets.
func (t *Table) countUnreached(p *piece, e *fault.Error) {
	if e.Kind != fault.Unavailable {
		return
	}
	p.unreached++
	if p.unreached <= len(t.targets) {
		p.attempts--
	}
}

// CallEnded records the end of a call. If err is nil, results holds one result
// for each piece of the call, in their order. Otherwise results is ignored, the
// target is in backoff and the pieces are queued again. A call that is unknown
// or has already ended is ignored.
func (t *Table) CallEnded(now time.Time, targetID string, callID uint64, results []Result, err error) {
	state, call := t.findCall(targetID, callID)
	if call == nil {
		return
	}
	delete(state.running, callID)
	state.lastCallEnded = now
	if err != nil {
		e := fault.From(err)
		if place.IsHeld(err) {
			t.requeueUnsent(call)
			t.dispatch(now)
			return
		}
		state.backoffUntil = now.Add(failureBackoff)
		if e.Verdict != fault.NotRun {
			state.addUntracked(now, t.Limits, call.bytes)
		}
		for _, p := range call.pieces {
			t.countUnreached(p, e)
			t.requeue(p, e)
		}
		t.dispatch(now)
		return
	}
	t.recordSpeed(now, state, call)
	for i, p := range call.pieces {
		t.recordResult(now, call.started, state, p, results[i])
	}
	t.dispatch(now)
}

// findCall returns a call in flight by its ID. The call is nil if the target is
// unknown or has restarted, or the call has already ended.
func (t *Table) findCall(targetID string, callID uint64) (*targetState, *activeCall) {
	state := t.targets[targetID]
	if state == nil {
		return nil, nil
	}
	return state, state.running[callID]
}

// recordResult records the result of a piece whose call started at started. A
// result that is no longer needed is marked for release.
func (t *Table) recordResult(now, started time.Time, state *targetState, p *piece, r Result) {
	g := p.group
	t.recordProcessed(now, g.work)
	if r.Handle == "" {
		t.handleMissingResult(now, state, p, r.Reason)
		return
	}
	state.results[r.Handle] = storedResult{bytes: g.work.Bytes, callStarted: started, expires: now.Add(t.Limits.Retention)}
	if t.groups[g.id] == nil {
		state.toRelease = append(state.toRelease, r.Handle)
		return
	}
	g.handles[p.index] = r.Handle
	g.remaining--
	if g.remaining == 0 {
		delete(t.groups, g.id)
		t.actions = append(t.actions, GroupDone{Group: g.id, Handles: g.handles})
	}
}

// handleMissingResult fails the group of a piece without a result, or queues
// the piece again if another attempt may succeed. An attempt that was rejected
// for lack of memory does not count.
func (t *Table) handleMissingResult(now time.Time, state *targetState, p *piece, reason Reason) {
	g := p.group
	switch reason {
	case Expired:
		t.failPending(g, fault.New(fault.DeadlineExceeded, fault.NotRun, "a piece of %s came too late", g.work.Service))
	case InputMissing:
		t.failPending(g, fault.New(fault.NotFound, fault.NotRun, "an input of %s is gone", g.work.Service))
	case NoCapacity:
		state.recordRejection(now, g.work.Bytes)
		p.attempts--
		t.requeue(p, nil)
	case Failed:
		t.requeue(p, fault.New(fault.TargetFailed, fault.NotRun, "a piece of %s failed", g.work.Service))
	}
}

// failPending fails a group unless it has already ended.
func (t *Table) failPending(g *group, err error) {
	if t.groups[g.id] != nil {
		t.fail(g, err)
	}
}

// requeue queues a piece again, unless its group has ended. It fails the group
// if the piece has used up its attempts; cause is the error of the last one.
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
