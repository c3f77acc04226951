package batch

import (
	"slices"
	"strings"
	"time"

	"bergamotworks/admit"
	"bergamotworks/canary"
	"bergamotworks/fault"
	"bergamotworks/place"
	"bergamotworks/site"
)

const (
	// preferredDomainTimeout is how long work that transfers many bytes waits for
	// a target in its preferred failure domain.
	preferredDomainTimeout = 150 * time.Millisecond
	// largeTransfer is the number of bytes from which work waits for its
	// preferred failure domain.
	largeTransfer = 256 << 10
	// failureBackoff is how long a target gets no calls after a call failed.
	failureBackoff = 500 * time.Millisecond
	// rejectionBackoff is how long a target gets no work with results of the
	// rejected size or larger after it ran out of memory. Sizes are
	// approximate, so smaller results may still fit.
	rejectionBackoff = 100 * time.Millisecond
	// measureInterval is the minimum time between two capacity queries to a
	// target whose memory is occupied by untracked results.
	measureInterval = 300 * time.Millisecond
	// maxCapacityAge is the maximum age of the free capacity in a target's
	// report.
	maxCapacityAge = 300 * time.Millisecond
	// maxAttempts limits the attempts of one piece, without those that were
	// rejected for lack of memory and those that reached no target, unless these
	// are more than there are targets.
	maxAttempts = 3
)

// Table is the scheduler of one service. It is not safe for concurrent use.
type Table struct {
	Limits site.BatchLimits
	// Admission holds the targets that get no calls from this node; may be nil.
	Admission *place.Admission
	// LearnSpeeds means that targets get work according to how long their calls take.
	LearnSpeeds bool
	// PriorityAdmission means that more urgent work goes first, and that the table
	// makes a level of admission.
	PriorityAdmission bool
	// Service is the name of the service, and Rollouts limits the calls to versions of it
	// that are rolled out; nil if there are no rollouts.
	Service  string
	Rollouts *canary.Service

	groups      map[uint64]*group
	queue       []*group // Groups with waiting pieces.
	targets     map[string]*targetState
	nextGroupID uint64
	nextCallID  uint64
	actions     []Action
	meter       admit.Meter
	// mostUrgent is the priority of the most urgent work that waits, as of the last
	// sort, and overtaking the pieces that may go before more urgent ones.
	mostUrgent int
	overtaking float64
}

// group is a submitted [Work] with its waiting pieces and its results.
type group struct {
	id        uint64
	work      Work
	submitted time.Time
	// preferredSince is the time since which work.Domain is preferred. Work that
	// is submitted without one prefers that of its first call.
	preferredSince time.Time
	waiting        []*piece
	handles        []string // Handles of the results by piece index; empty for a piece without a result.
	remaining      int      // Number of pieces without a result.
}

// piece is one piece of a group.
type piece struct {
	group     *group
	index     int
	attempts  int
	unreached int // Calls for which no connection was established.
}

// Action is an operation that a [Table] requests from its [Service].
type Action interface{ action() }

// StartCall requests a call to a target.
type StartCall struct {
	CallID uint64
	Target site.Target
	Pieces []Piece
	// Waiting is the number of pieces that remain queued, and FreeCapacity
	// the memory in bytes that is left at the target, both after this call
	// has started.
	Waiting      int
	FreeCapacity int64
}

// GroupDone delivers the results of a group, or its error, to the submitter.
type GroupDone struct {
	Group   uint64
	Handles []string
	Err     error
}

// ReleaseResults requests that a target deletes results.
type ReleaseResults struct {
	Target  site.Target
	Handles []string
}

// MeasureCapacity requests a query of the free result capacity of a target,
// which [Table.CapacityMeasured] records. It is issued when a target is new and when
// untracked results may have been deleted.
type MeasureCapacity struct{ Target site.Target }

func (StartCall) action()       {}
func (GroupDone) action()       {}
func (ReleaseResults) action()  {}
func (MeasureCapacity) action() {}

// Submit queues work and returns its group ID. It returns a Busy error with a
// retry delay if the work is not expected to finish in time.
func (t *Table) Submit(now time.Time, w Work) (uint64, error) {
	t.updateHolds(now)
	if wait, all := t.allHeld(now); all {
		return 0, t.heldError(w, wait)
	}
	t.recordOffered(now, w)
	wait, ok := t.forecast(now, w)
	if !ok {
		return 0, fault.New(fault.Busy, fault.NotRun, "%s begins %d pieces in %s and the rest takes %s, with %s to the target and %s to the deadline",
			w.Service, w.Pieces, wait.Round(time.Millisecond), w.Rest, w.Target.Sub(now).Round(time.Millisecond), w.Deadline.Sub(now).Round(time.Millisecond)).WithRetryAfter(wait)
	}
	t.nextGroupID++
	g := &group{id: t.nextGroupID, work: w, submitted: now, preferredSince: now, handles: make([]string, w.Pieces), remaining: w.Pieces}
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

// Cancel removes a group whose submitter no longer waits.
func (t *Table) Cancel(now time.Time, id uint64) {
	if g := t.groups[id]; g != nil {
		t.remove(g)
		t.dispatch(now)
	}
}

// Release marks results as no longer needed, including those of calls that a
// previous owner made. They are released with the next tick, so that one
// request to a target releases the results of many requests. If work waits
// for the memory, they are released at once.
func (t *Table) Release(handles []string) {
	for _, h := range handles {
		if state := t.holder(h); state != nil {
			state.toRelease = append(state.toRelease, h)
		}
	}
	for _, state := range t.targets {
		if state.lacksCapacity {
			t.flushReleases(state)
		}
	}
}

// flushReleases requests the release of all results that are marked at a
// target.
func (t *Table) flushReleases(state *targetState) {
	if state.hold.Reason == place.TargetLeaving {
		state.toRelease = nil // They end with the target.
	}
	if len(state.toRelease) == 0 || state.hold.Excludes() {
		return
	}
	t.actions = append(t.actions, ReleaseResults{Target: state.target, Handles: state.toRelease})
	state.toRelease = nil
}

// TargetAddress returns the address of the target that stores the result;
// every handle starts with it.
func TargetAddress(handle string) string {
	address, _, _ := strings.Cut(handle, "/")
	return address
}

// holder returns the target that stores a result, or nil if it is not listed.
func (t *Table) holder(handle string) *targetState {
	address := TargetAddress(handle)
	for _, state := range t.targets {
		if state.target.Address == address {
			return state
		}
	}
	return nil
}

// ResultsReleased records that a target has deleted results. If some of them
// were untracked, it requests a new measurement.
func (t *Table) ResultsReleased(now time.Time, targetID string, handles []string) {
	if state := t.targets[targetID]; state != nil {
		untracked := false
		for _, h := range handles {
			untracked = untracked || !state.tracks(h)
			delete(state.results, h)
		}
		if untracked && now.Before(state.untrackedUntil) {
			t.requestMeasurement(now, state)
		}
	}
	t.dispatch(now)
}

// requestMeasurement queries the free capacity of a target unless it is held.
func (t *Table) requestMeasurement(now time.Time, state *targetState) {
	if !t.Admission.Hold(now, state.target).Excludes() {
		t.actions = append(t.actions, MeasureCapacity{Target: state.target})
	}
}

// CapacityMeasured records the free result capacity of a target in bytes.
func (t *Table) CapacityMeasured(now time.Time, targetID string, free int64) {
	if state := t.targets[targetID]; state != nil {
		state.recordCapacity(now, t.Limits, free)
	}
	t.dispatch(now)
}

// requestMeasurements queries targets again where untracked results keep work
// waiting.
func (t *Table) requestMeasurements(now time.Time) {
	for _, state := range t.targets {
		if state.listed && state.needsMeasurement(now) {
			state.measuredAt = now
			t.requestMeasurement(now, state)
		}
	}
}

// Tick releases marked results, fails groups that cannot meet their deadline
// and dispatches calls.
func (t *Table) Tick(now time.Time) {
	t.updateHolds(now)
	for _, state := range t.targets {
		t.flushReleases(state)
	}
	t.requestMeasurements(now)
	for _, g := range t.groups {
		tooLate := len(g.waiting) > 0 && now.Add(t.callTime(g.work.Pieces)+g.work.Rest).After(g.work.Deadline)
		if tooLate || !now.Before(g.work.Deadline) {
			t.fail(g, fault.New(fault.DeadlineExceeded, fault.NotRun, "%s cannot finish in time", g.work.Service))
		}
	}
	t.dispatch(now)
	t.updateLevel(now)
}

// Abandon fails every group with a Conflict error, so that the work is
// submitted to the VM that now owns the service.
func (t *Table) Abandon() {
	for _, g := range t.groups {
		t.fail(g, fault.New(fault.Conflict, fault.NotRun, "another VM gathers for %s", g.work.Service))
	}
}

// Waiting returns the number of queued pieces.
func (t *Table) Waiting() int {
	n := 0
	for _, g := range t.queue {
		n += len(g.waiting)
	}
	return n
}

// TakeActions returns the actions requested since the last call and clears
// them.
func (t *Table) TakeActions() []Action {
	taken := t.actions
	t.actions = nil
	return taken
}

// remove deletes a group and marks its results for release.
func (t *Table) remove(g *group) {
	delete(t.groups, g.id)
	t.queue = slices.DeleteFunc(t.queue, func(q *group) bool { return q == g })
	handles := slices.DeleteFunc(slices.Clone(g.handles), func(h string) bool { return h == "" })
	t.Release(handles)
}

func (t *Table) fail(g *group, err error) {
	t.remove(g)
	t.actions = append(t.actions, GroupDone{Group: g.id, Err: err})
}
