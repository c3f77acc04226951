package batch

import (
	"cmp"
	"slices"
	"time"
)

// Under more load than the targets bear, work that can still meet its latency
// target goes before work that cannot, so that a burst does not make every
// request late. Late work takes what capacity is left.

const (
	// unknownWait is the forecast for a service without targets.
	unknownWait = time.Second
	// marginCalls is the margin to the latency target, in full calls.
	marginCalls = 1.25
	// begunShare and freshShare are the parts of the time to its deadline that
	// late work may have ahead of it when it is entered. Work that reads results
	// would waste them.
	begunShare = 0.5
	freshShare = 0.2
)

// callTime returns the time of a call with a number of pieces, or with as many
// as fit.
func (t *Table) callTime(pieces int) time.Duration {
	return t.Limits.CallTime + time.Duration(min(pieces, max(t.Limits.Size, 1)))*t.Limits.PieceTime
}

// late reports whether work that is started now misses its latency target.
func (t *Table) late(now time.Time, w Work) bool {
	return now.Add(t.callTime(w.Pieces) + w.Rest + t.margin()).After(w.Target)
}

// margin returns the time by which work is planned to end before its latency
// target. A piece that just misses a call waits for a whole one, here or at a
// later stage; without it every request is done a little too late under load.
func (t *Table) margin() time.Duration {
	return time.Duration(marginCalls * float64(t.callTime(max(t.Limits.Size, 1))))
}

// begun reports whether pieces of a group have been sent. Their results take
// memory until the last piece is made.
func (g *group) begun() bool { return len(g.waiting) < g.work.Pieces }

// compare orders groups: those that are begun, then those in time by priority
// and latency target, then the late ones by deadline.
func (t *Table) compare(now time.Time, a, b *group) int {
	if a.begun() != b.begun() {
		if a.begun() {
			return -1
		}
		return 1
	}
	lateA, lateB := t.late(now, a.work), t.late(now, b.work)
	if lateA != lateB {
		if lateB {
			return -1
		}
		return 1
	}
	if lateA {
		return cmp.Or(a.work.Deadline.Compare(b.work.Deadline), cmp.Compare(a.id, b.id))
	}
	return cmp.Or(
		cmp.Compare(a.work.Priority, b.work.Priority),
		a.work.Target.Add(-a.work.Rest).Compare(b.work.Target.Add(-b.work.Rest)),
		cmp.Compare(a.id, b.id),
	)
}

// sort brings the queue into the order in which it is sent.
func (t *Table) sort(now time.Time) {
	t.queue = slices.DeleteFunc(t.queue, func(g *group) bool { return len(g.waiting) == 0 })
	slices.SortFunc(t.queue, func(a, b *group) int { return t.compare(now, a, b) })
}

// forecast returns the time until new work begins under the present load, and
// whether it is worth entering: it meets its latency target, or its deadline
// with room for what comes before it.
func (t *Table) forecast(now time.Time, w Work) (time.Duration, bool) {
	usable := t.usable()
	if usable == 0 {
		return unknownWait, false
	}
	entered := &group{id: t.nextID + 1, work: w, waiting: make([]*piece, w.Pieces)}
	before, all := 0, 0
	for _, g := range t.queue {
		all += len(g.waiting)
		if t.compare(now, g, entered) < 0 {
			before += len(g.waiting)
		}
	}
	needed := t.callTime(w.Pieces) + w.Rest
	wait := t.clearTime(before, usable)
	if end := now.Add(wait + needed + t.margin()); !end.After(w.Target) && !end.After(w.Deadline) {
		return wait, true
	}
	wait = t.clearTime(all, usable)
	spare := w.Deadline.Sub(now) - needed
	share := freshShare
	if len(w.Inputs) > 0 {
		share = begunShare
	}
	return wait, spare >= 0 && wait <= time.Duration(share*float64(spare))
}

// EstimateWait returns the time until work that is entered now begins, if it is in time
// and as urgent as what waits.
func (t *Table) EstimateWait(now time.Time) time.Duration {
	usable, before := t.usable(), 0
	if usable == 0 {
		return unknownWait
	}
	for _, g := range t.queue {
		if !t.late(now, g.work) {
			before += len(g.waiting)
		}
	}
	return t.clearTime(before, usable)
}

// usable returns the number of targets that take new calls.
func (t *Table) usable() int {
	n := 0
	for _, k := range t.targets {
		if k.usable {
			n++
		}
	}
	return n
}

// clearTime returns the time that the targets need for a number of pieces.
func (t *Table) clearTime(pieces, usable int) time.Duration {
	size := max(t.Limits.Size, 1)
	parallel := usable * max(t.Limits.Slots, 1)
	return time.Duration(float64(pieces) / float64(size*parallel) * float64(t.callTime(size)))
}
