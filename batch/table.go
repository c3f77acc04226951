package batch

import (
	"slices"
	"strings"
	"time"

	"bergamotworks/fault"
	"bergamotworks/site"
)

const (
	// domainWait is how long work that moves many bytes waits for a target in
	// its failure domain.
	domainWait = 150 * time.Millisecond
	// largeCrossing is the number of bytes from which work waits for its
	// failure domain.
	largeCrossing = 256 << 10
	// restTime is how long a target takes no calls after one failed.
	restTime = 500 * time.Millisecond
	// crowdedTime is how long a target gets no work with results as large as one
	// that it had no room for. Sizes are approximate, so smaller ones may fit.
	crowdedTime = 100 * time.Millisecond
	// measureInterval is the time between two measurements of a target whose
	// memory is taken by results of another VM's calls.
	measureInterval = 300 * time.Millisecond
	// reportLag is the age that a target's account of its memory may have.
	reportLag = 300 * time.Millisecond
	// maxTries bounds the calls in which one piece takes part.
	maxTries = 3
)

// Table gathers the pieces of one service. It is not safe for concurrent use.
type Table struct {
	Limits site.BatchLimits

	groups  map[uint64]*group
	queue   []*group // Those with waiting pieces.
	targets map[string]*state
	nextID  uint64
	nextRun uint64
	actions []Action
}

// group is the work of one stage of one request.
type group struct {
	id      uint64
	work    Work
	since   time.Time
	waiting []*piece
	handles []string
	left    int
}

// piece is one piece of a group.
type piece struct {
	group *group
	index int
	tries int
}

// Action is something that a [Table] asks its shell to do.
type Action interface{ action() }

// StartCall asks for a call.
type StartCall struct {
	CallID uint64
	Target site.Target
	Pieces []Piece
	// Waiting is the number of pieces that go on waiting, and Room the memory in
	// bytes that is left at the target.
	Waiting      int
	FreeCapacity int64
}

// GroupDone hands the results of a group to whoever waits for them.
type GroupDone struct {
	Group   uint64
	Handles []string
	Err     error
}

// ReleaseResults asks to give up results at a target.
type ReleaseResults struct {
	Target  site.Target
	Handles []string
}

// MeasureCapacity asks for the free memory of a target that is new to the table.
type MeasureCapacity struct{ Target site.Target }

func (StartCall) action()       {}
func (GroupDone) action()       {}
func (ReleaseResults) action()  {}
func (MeasureCapacity) action() {}

// Submit enters work and returns its number. Work that cannot end before its
// deadline is refused.
func (t *Table) Submit(now time.Time, w Work) (uint64, error) {
	wait, ok := t.forecast(now, w)
	if !ok {
		return 0, fault.New(fault.Busy, fault.NotRun, "%s begins %d pieces in %s and the rest takes %s, with %s to the target and %s to the deadline",
			w.Service, w.Pieces, wait.Round(time.Millisecond), w.Rest, w.Target.Sub(now).Round(time.Millisecond), w.Deadline.Sub(now).Round(time.Millisecond)).WithRetryAfter(wait)
	}
	t.nextID++
	g := &group{id: t.nextID, work: w, since: now, handles: make([]string, w.Pieces), left: w.Pieces}
	for i := range w.Pieces {
		g.waiting = append(g.waiting, &piece{group: g, index: i})
	}
	if t.groups == nil {
		t.groups = make(map[uint64]*group)
	}
	t.groups[g.id] = g
	t.queue = append(t.queue, g)
	t.dispatch(now)
	return g.id, nil
}

// Cancel gives up a group that nobody waits for.
func (t *Table) Cancel(now time.Time, id uint64) {
	if g := t.groups[id]; g != nil {
		t.drop(g)
		t.dispatch(now)
	}
}

// Release gives up results that have been read, also those of calls that
// another owner made. They leave with the next tick, so that one call to a
// target gives up the results of many requests, but at once if work waits for
// the memory.
func (t *Table) Release(handles []string) {
	for _, h := range handles {
		if k := t.maker(h); k != nil {
			k.released = append(k.released, h)
		}
	}
	for _, k := range t.targets {
		if k.short {
			t.giveUp(k)
		}
	}
}

// giveUp asks a target to give up what has been released.
func (t *Table) giveUp(k *state) {
	if len(k.released) == 0 {
		return
	}
	t.actions = append(t.actions, ReleaseResults{Target: k.target, Handles: k.released})
	k.released = nil
}

// TargetAddress returns the address of the target that made a result. A handle begins
// with it.
func TargetAddress(handle string) string {
	address, _, _ := strings.Cut(handle, "/")
	return address
}

// maker returns the target that holds a result, or nil.
func (t *Table) maker(handle string) *state {
	address := TargetAddress(handle)
	for _, k := range t.targets {
		if k.target.Address == address {
			return k
		}
	}
	return nil
}

// ResultsReleased takes in that a target has given up results.
func (t *Table) ResultsReleased(now time.Time, target string, handles []string) {
	if k := t.targets[target]; k != nil {
		foreign := false
		for _, h := range handles {
			foreign = foreign || !k.holds(h)
			delete(k.results, h)
		}
		if foreign && now.Before(k.foreignUntil) {
			t.actions = append(t.actions, MeasureCapacity{Target: k.target})
		}
	}
	t.dispatch(now)
}

// CapacityMeasured takes in the free memory of a target.
func (t *Table) CapacityMeasured(now time.Time, target string, free int64) {
	if k := t.targets[target]; k != nil {
		k.measure(now, t.Limits, free)
	}
	t.dispatch(now)
}

// measureAgain asks for the free memory of targets where results of another
// VM's calls are in the way.
func (t *Table) measureAgain(now time.Time) {
	for _, k := range t.targets {
		if k.usable && k.outdated(now) {
			k.measuredAt = now
			t.actions = append(t.actions, MeasureCapacity{Target: k.target})
		}
	}
}

// Tick drops what cannot end any more and starts what has become possible.
func (t *Table) Tick(now time.Time) {
	for _, k := range t.targets {
		t.giveUp(k)
	}
	t.measureAgain(now)
	for _, g := range t.groups {
		hopeless := len(g.waiting) > 0 && now.Add(t.callTime(g.work.Pieces)+g.work.Rest).After(g.work.Deadline)
		if hopeless || !now.Before(g.work.Deadline) {
			t.fail(g, fault.New(fault.DeadlineExceeded, fault.NotRun, "%s cannot finish in time", g.work.Service))
		}
	}
	t.dispatch(now)
}

// Abandon fails every group, since another VM owns the service now.
func (t *Table) Abandon() {
	for _, g := range t.groups {
		t.fail(g, fault.New(fault.Conflict, fault.NotRun, "another VM gathers for %s", g.work.Service))
	}
}

// Waiting returns the number of pieces that wait.
func (t *Table) Waiting() int {
	n := 0
	for _, g := range t.queue {
		n += len(g.waiting)
	}
	return n
}

// TakeActions returns the actions since the last call.
func (t *Table) TakeActions() []Action {
	taken := t.actions
	t.actions = nil
	return taken
}

// drop removes a group and gives up what it has.
func (t *Table) drop(g *group) {
	delete(t.groups, g.id)
	t.queue = slices.DeleteFunc(t.queue, func(q *group) bool { return q == g })
	made := slices.DeleteFunc(slices.Clone(g.handles), func(h string) bool { return h == "" })
	t.Release(made)
}

func (t *Table) fail(g *group, err error) {
	t.drop(g)
	t.actions = append(t.actions, GroupDone{Group: g.id, Err: err})
}
