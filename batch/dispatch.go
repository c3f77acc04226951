package batch

import (
	"slices"
	"strings"
	"time"

	"bergamotworks/place"
)

// callsToFillMemory is the number of full calls whose results fill the memory of a
// target if they are large.
const callsToFillMemory = 3

// dispatch starts calls until no available target can accept any of the queued
// work.
func (t *Table) dispatch(now time.Time) {
	t.updateHolds(now)
	t.failHeld(now)
	for t.anyAvailable(now) {
		t.sortQueue(now)
		best, pieces := t.bestCall(now)
		if best == nil || !t.admit(now, best) {
			return
		}
		t.startCall(now, best, pieces)
	}
}

// available reports whether another call to a target can start now.
func (t *Table) available(now time.Time, state *targetState) bool {
	return state.listed && !state.excluded && state.hold.Reason == place.NotHeld && len(state.running) < max(t.Limits.Slots, 1) && !now.Before(state.backoffUntil)
}

func (t *Table) anyAvailable(now time.Time) bool {
	if len(t.queue) == 0 {
		return false
	}
	for _, state := range t.targets {
		if t.available(now, state) {
			return true
		}
	}
	return false
}

// bestCall returns the next call to the targets that it may choose from; see bestCallTo.
func (t *Table) bestCall(now time.Time) (*targetState, []*piece) {
	if t.Rollouts == nil {
		return t.bestCallTo(now, nil)
	}
	listed := t.listedTargets()
	selected := t.Rollouts.Select(now, t.Service, listed)
	if len(selected) == len(listed) {
		return t.bestCallTo(now, nil)
	}
	if best, pieces := t.bestCallTo(now, idsOf(selected)); best != nil {
		return best, pieces
	}
	return t.bestCallTo(now, idsOf(t.Rollouts.Fallback(now, t.Service, listed, selected)))
}

// bestCallTo returns the next call to the targets with the given IDs, any if they are
// nil: the one with the most urgent first piece, then the one that keeps the most bytes
// within their failure domain, then the one with the most pieces. It returns a nil target
// if no call is possible.
func (t *Table) bestCallTo(now time.Time, ids map[string]bool) (*targetState, []*piece) {
	var best *targetState
	var chosen []*piece
	relative := t.relativeSlowdowns(now)
	if state, pieces := t.probe(now, relative); state != nil && (ids == nil || ids[state.target.ID]) {
		return state, pieces
	}
	for _, state := range t.targets {
		if !t.available(now, state) || ids != nil && !ids[state.target.ID] {
			continue
		}
		pieces := t.selectPieces(now, state, t.queue, t.callSize(now, state, relative))
		if len(pieces) == 0 {
			continue
		}
		if best == nil || t.better(state, pieces, best, chosen) {
			best, chosen = state, pieces
		}
	}
	return best, chosen
}

// better reports whether a call to the target in state, with the given pieces,
// goes before the best call found so far.
func (t *Table) better(state *targetState, pieces []*piece, best *targetState, chosen []*piece) bool {
	if c := slices.Index(t.queue, pieces[0].group) - slices.Index(t.queue, chosen[0].group); c != 0 {
		return c < 0
	}
	local, bestLocal := localBytes(state, pieces), localBytes(best, chosen)
	if local != bestLocal {
		return local > bestLocal
	}
	if len(pieces) != len(chosen) {
		return len(pieces) > len(chosen)
	}
	return strings.Compare(state.target.ID, best.target.ID) < 0
}

// localBytes returns the number of bytes that stay within the failure domain
// if the target processes the pieces.
func localBytes(state *targetState, pieces []*piece) int64 {
	var sum int64
	for _, p := range pieces {
		if p.group.work.Domain == state.target.Domain {
			sum += p.group.work.Crossing / int64(p.group.work.Pieces)
		}
	}
	return sum
}

// selectPieces returns the pieces for a call to a target, at most size, in the order of
// the queue, as far as its free capacity allows.
func (t *Table) selectPieces(now time.Time, state *targetState, queue []*group, size int) []*piece {
	free := state.freeCapacity(now, t.Limits.ResultCapacityBytes)
	state.lacksCapacity = false
	var selected []*piece
	for _, g := range queue {
		if t.waitsForDomain(now, g, state) {
			continue
		}
		if t.waitsForMemory(g, free) {
			state.lacksCapacity = true
			continue
		}
		for _, p := range g.waiting {
			if len(selected) == size {
				return selected
			}
			if g.work.Bytes > free || state.rejects(now, g.work.Bytes) {
				state.lacksCapacity = true
				break
			}
			free -= g.work.Bytes
			selected = append(selected, p)
		}
	}
	return selected
}

// waitsForMemory reports whether a group should not begin at a target because the
// free memory does not hold the results of all its pieces: those of the first ones
// would occupy it while the others wait for some. A group whose results no target
// can hold does not wait.
func (t *Table) waitsForMemory(g *group, free int64) bool {
	needed := int64(len(g.waiting)) * g.work.Bytes
	if needed <= free || g.started() || !t.fillsMemory(g.work.Bytes) {
		return false
	}
	return needed <= t.Limits.ResultCapacityBytes
}

// fillsMemory reports whether a few full calls with results of the given size fill
// the memory of a target.
func (t *Table) fillsMemory(bytes int64) bool {
	return bytes*int64(t.Limits.Size)*callsToFillMemory > t.Limits.ResultCapacityBytes
}

// waitsForDomain reports whether work that transfers many bytes should still
// wait for a target in its preferred failure domain instead of going to the
// given one.
func (t *Table) waitsForDomain(now time.Time, g *group, state *targetState) bool {
	w := g.work
	if w.Crossing < largeTransfer || w.Domain == "" || w.Domain == state.target.Domain {
		return false
	}
	return now.Sub(g.preferredSince) < preferredDomainTimeout && t.hasTargetIn(w.Domain)
}

// keepTogether makes the failure domain of the group's first call the preferred one
// of its other pieces, unless the work prefers one itself: the stage that reads the
// results runs in one failure domain, too.
func (g *group) keepTogether(now time.Time, domain string) {
	if g.work.Domain == "" {
		g.work.Domain, g.preferredSince = domain, now
	}
}

func (t *Table) hasTargetIn(domain string) bool {
	for _, state := range t.targets {
		if state.usable() && state.target.Domain == domain {
			return true
		}
	}
	return false
}

func (t *Table) startCall(now time.Time, state *targetState, pieces []*piece) {
	t.nextCallID++
	call := &activeCall{id: t.nextCallID, pieces: pieces, started: now}
	action := StartCall{CallID: call.id, Target: state.target}
	t.countOvertaking(now, pieces)
	for _, p := range pieces {
		p.attempts++
		p.group.waiting = slices.DeleteFunc(p.group.waiting, func(q *piece) bool { return q == p })
		p.group.keepTogether(now, state.target.Domain)
		w := p.group.work
		call.bytes += w.Bytes
		action.Pieces = append(action.Pieces, Piece{
			Request: w.Request, Stage: w.Stage, Index: p.index,
			Timeout: w.Deadline.Sub(now), Key: w.Key, Inputs: w.Inputs,
		})
	}
	state.running[call.id] = call
	action.Waiting, action.FreeCapacity = t.Waiting(), state.freeCapacity(now, t.Limits.ResultCapacityBytes)
	t.actions = append(t.actions, action)
}
