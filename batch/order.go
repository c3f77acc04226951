package batch

import (
	"cmp"
	"slices"
	"time"
)

// Under overload, work that can still meet its latency target goes before
// work that cannot, so that a burst does not make every request miss it. The
// remaining capacity goes to the work that misses its target.

const (
	// defaultQueueWait is the estimated wait for a service without usable
	// targets.
	defaultQueueWait = time.Second
	// marginCalls is the safety margin before the latency target, in full
	// calls.
	marginCalls = 1.25
	// laterStageShare and firstStageShare limit the queue wait of work that
	// misses its latency target, as a share of the time it can spare before
	// its deadline. The share is larger for work that reads results of
	// earlier stages, since rejecting it wastes them.
	laterStageShare = 0.5
	firstStageShare = 0.2
)

// callTime returns the duration of a call with the given number of pieces, or
// with a full batch if there are more.
func (t *Table) callTime(pieces int) time.Duration {
	return t.Limits.CallTime + time.Duration(min(pieces, max(t.Limits.Size, 1)))*t.Limits.PieceTime
}

// missesLatencyTarget reports whether work that starts now would end after its
// latency target less the safety margin.
func (t *Table) missesLatencyTarget(now time.Time, w Work) bool {
	return now.Add(t.callTime(w.Pieces) + w.Rest + t.margin()).After(w.Target)
}

// margin returns the safety margin before the latency target. A piece that
// just misses a call waits for a whole one, at this or a later stage; without
// the margin, every request is slightly late under load.
func (t *Table) margin() time.Duration {
	return time.Duration(marginCalls * float64(t.callTime(max(t.Limits.Size, 1))))
}

// started reports whether some pieces of a group have been sent. Their
// results occupy memory until the last piece is processed.
func (g *group) started() bool { return len(g.waiting) < g.work.Pieces }

// compare orders groups: started groups first, then those that can meet their
// latency target by priority, then by the time by which this stage must end to
// meet the latency target, then the others by deadline.
func (t *Table) compare(now time.Time, a, b *group) int {
	if a.started() != b.started() {
		if a.started() {
			return -1
		}
		return 1
	}
	if t.PriorityAdmission {
		if c := t.compareUrgency(now, a, b); c != 0 {
			return c
		}
	}
	missesA, missesB := t.missesLatencyTarget(now, a.work), t.missesLatencyTarget(now, b.work)
	if missesA != missesB {
		if missesB {
			return -1
		}
		return 1
	}
	if missesA {
		return cmp.Or(a.work.Deadline.Compare(b.work.Deadline), cmp.Compare(a.id, b.id))
	}
	return cmp.Or(
		cmp.Compare(a.work.Priority, b.work.Priority),
		a.work.Target.Add(-a.work.Rest).Compare(b.work.Target.Add(-b.work.Rest)),
		cmp.Compare(a.id, b.id),
	)
}

// sortQueue removes groups without waiting pieces and sorts the rest in
// dispatch order.
func (t *Table) sortQueue(now time.Time) {
	t.queue = slices.DeleteFunc(t.queue, func(g *group) bool { return len(g.waiting) == 0 })
	t.findMostUrgent()
	slices.SortFunc(t.queue, func(a, b *group) int { return t.compare(now, a, b) })
}

// forecast returns the estimated time until new work starts and whether to
// accept it. Work is accepted if it should meet its latency target and its
// deadline with the safety margin, or if its queue wait is a small enough share
// of the time that it can spare before its deadline. Without usable targets, it
// is not accepted and the time is defaultQueueWait.
func (t *Table) forecast(now time.Time, w Work) (time.Duration, bool) {
	usable := t.usableTargets()
	if usable == 0 {
		return defaultQueueWait, false
	}
	candidate := &group{id: t.nextGroupID + 1, work: w, submitted: now, waiting: make([]*piece, w.Pieces)}
	ahead, queued := 0, 0
	for _, g := range t.queue {
		queued += len(g.waiting)
		if t.compare(now, g, candidate) < 0 {
			ahead += len(g.waiting)
		}
	}
	needed := t.callTime(w.Pieces) + w.Rest
	wait := t.processingTime(now, ahead)
	if end := now.Add(wait + needed + t.margin()); !end.After(w.Target) && !end.After(w.Deadline) {
		return wait, true
	}
	if t.PriorityAdmission {
		return t.forecastByPriority(now, w, ahead)
	}
	wait = t.processingTime(now, queued)
	spare := w.Deadline.Sub(now) - needed
	share := firstStageShare
	if len(w.Inputs) > 0 {
		share = laterStageShare
	}
	return wait, spare >= 0 && wait <= time.Duration(share*float64(spare))
}

// EstimateWait returns the time until work that is submitted now starts, if
// it can meet its latency target and has the priority of the queued work.
func (t *Table) EstimateWait(now time.Time) time.Duration {
	usable, ahead := t.usableTargets(), 0
	if usable == 0 {
		wait, _ := t.allHeld(now)
		return max(defaultQueueWait, wait)
	}
	for _, g := range t.queue {
		if !t.missesLatencyTarget(now, g.work) {
			ahead += len(g.waiting)
		}
	}
	return t.processingTime(now, ahead)
}

// usableTargets returns the number of targets that accept new calls.
func (t *Table) usableTargets() int {
	n := 0
	for _, state := range t.targets {
		if state.usable() {
			n++
		}
	}
	return n
}

// processingTime returns the time that the usable targets need for the given
// number of pieces.
func (t *Table) processingTime(now time.Time, pieces int) time.Duration {
	size := max(t.Limits.Size, 1)
	return time.Duration(float64(pieces) / (float64(size) * t.capacity(now)) * float64(t.callTime(size)))
}
