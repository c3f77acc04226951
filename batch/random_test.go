package batch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotworks/batch"
	"bergamotworks/site"
)

// Limits of the service.
const (
	randomSlots    = 1
	randomSize     = 4
	randomCapacity = 1000 // Bytes.
)

// TestRandomTable runs random sequences of events: targets join, drain,
// restart, fail and run out of memory. After each event it checks that no
// call goes to a target that is draining or busy, that no call exceeds the
// known free capacity or the batch size, that no piece is in two calls at once
// and that every group ends exactly once.
func TestRandomTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &randomEnv{
			t: t, now: time.Unix(1000, 0), calls: make(map[uint64]batch.StartCall), pending: make(map[uint64]bool),
			pieces: make(map[string]uint64), stored: make(map[string]map[string]int64), sizes: make(map[string]int64), restarts: make(map[string]int64),
		}
		e.table.Limits = site.BatchLimits{
			Slots: randomSlots, Size: randomSize, CallTime: 100 * time.Millisecond, PieceTime: 10 * time.Millisecond,
			ResultCapacityBytes: randomCapacity, Retention: time.Hour,
		}
		t.Repeat(map[string]func(*rapid.T){
			"targets": e.setTargets, "submit": e.submit, "end": e.end, "cancel": e.cancel,
			"release": e.release, "time": e.advance,
		})
	})
}

// randomEnv simulates the targets of one service and the submitters of work.
type randomEnv struct {
	t          *rapid.T
	now        time.Time
	table      batch.Table
	usable     []site.Target
	restarts   map[string]int64            // Restarts by target.
	calls      map[uint64]batch.StartCall  // In flight.
	pending    map[uint64]bool             // Groups that have not ended.
	pieces     map[string]uint64           // Call of each piece in flight.
	stored     map[string]map[string]int64 // Sizes of results by target incarnation and handle.
	sizes      map[string]int64            // Result size in bytes by request.
	nextResult int
}

func incarnation(target site.Target) string {
	return fmt.Sprintf("%s#%d", target.ID, target.Incarnation)
}

func (e *randomEnv) setTargets(t *rapid.T) {
	e.usable = nil
	for _, id := range []string{"a", "b", "c"} {
		if rapid.Bool().Draw(t, "accepts_"+id) {
			e.restarts[id] += rapid.Int64Range(0, 1).Draw(t, "restarts_"+id)
			e.usable = append(e.usable, site.Target{ID: id, Address: id + ":1", Incarnation: e.restarts[id]})
		}
	}
	e.table.SetTargets(e.now, e.usable)
	e.perform()
}

func (e *randomEnv) submit(t *rapid.T) {
	e.nextResult++
	request := fmt.Sprint("r", e.nextResult)
	e.sizes[request] = rapid.Int64Range(1, randomCapacity/2).Draw(t, "bytes")
	group, err := e.table.Submit(e.now, batch.Work{
		Service: "svc", Request: request, Pieces: rapid.IntRange(1, 6).Draw(t, "pieces"), Bytes: e.sizes[request],
		Target: e.now.Add(time.Second), Deadline: e.now.Add(5 * time.Second), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
	})
	if err == nil {
		e.pending[group] = true
	}
	e.perform()
}

// end ends a random call with results, missing results or an error.
func (e *randomEnv) end(t *rapid.T) {
	if len(e.calls) == 0 {
		t.Skip("no call")
	}
	callID := rapid.SampledFrom(sortedIDs(e.calls)).Draw(t, "call")
	call := e.calls[callID]
	delete(e.calls, callID)
	var results []batch.Result
	for _, p := range call.Pieces {
		delete(e.pieces, pieceName(p))
		r := batch.Result{Reason: batch.Reason(rapid.IntRange(0, 3).Draw(t, "reason"))}
		if rapid.IntRange(0, 4).Draw(t, "has_result") > 0 {
			e.nextResult++
			r.Handle = fmt.Sprintf("%s/%d", call.Target.Address, e.nextResult)
			e.results(call.Target)[r.Handle] = e.sizes[p.Request]
		}
		results = append(results, r)
	}
	var err error
	if rapid.IntRange(0, 4).Draw(t, "fails") == 0 {
		err = fmt.Errorf("call failed")
		results = nil
	}
	e.table.CallEnded(e.now, call.Target.ID, callID, results, err)
	e.perform()
}

func (e *randomEnv) cancel(t *rapid.T) {
	if len(e.pending) == 0 {
		t.Skip("no group")
	}
	group := rapid.SampledFrom(sortedIDs(e.pending)).Draw(t, "group")
	delete(e.pending, group)
	e.table.Cancel(e.now, group)
	e.perform()
}

// release releases all results at a target.
func (e *randomEnv) release(t *rapid.T) {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "target")
	for _, target := range e.usable {
		if target.ID != id {
			continue
		}
		var list []string
		for h := range e.results(target) {
			list = append(list, h)
		}
		slices.Sort(list)
		e.table.Release(list)
	}
	e.perform()
}

func (e *randomEnv) advance(t *rapid.T) {
	e.now = e.now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond)
	e.table.Tick(e.now)
	e.perform()
}

func (e *randomEnv) results(target site.Target) map[string]int64 {
	key := incarnation(target)
	if e.stored[key] == nil {
		e.stored[key] = make(map[string]int64)
	}
	return e.stored[key]
}

// perform checks and executes the requested actions of the table.
func (e *randomEnv) perform() {
	for _, a := range e.table.TakeActions() {
		switch v := a.(type) {
		case batch.StartCall:
			e.start(v)
		case batch.GroupDone:
			if !e.pending[v.Group] {
				e.t.Fatalf("group %d ended twice or after it was canceled", v.Group)
			}
			delete(e.pending, v.Group)
		case batch.ReleaseResults:
			for _, h := range v.Handles {
				delete(e.results(v.Target), h)
			}
			e.table.ResultsReleased(e.now, v.Target.ID, v.Handles)
			e.perform()
		case batch.MeasureCapacity:
		}
	}
}

func (e *randomEnv) start(v batch.StartCall) {
	if !slices.Contains(e.usable, v.Target) {
		e.t.Fatalf("call %d to %s, which accepts no new calls", v.CallID, incarnation(v.Target))
	}
	running := 0
	for _, c := range e.calls {
		if c.Target == v.Target {
			running++
		}
	}
	if running >= randomSlots || len(v.Pieces) > randomSize {
		e.t.Fatalf("call %d with %d pieces in addition to %d others at %s", v.CallID, len(v.Pieces), running, v.Target.ID)
	}
	var bytes int64
	for _, p := range v.Pieces {
		if other, ok := e.pieces[pieceName(p)]; ok && e.calls[other].Target.ID != "" && slices.Contains(e.usable, e.calls[other].Target) {
			e.t.Fatalf("piece %s is in calls %d and %d", pieceName(p), other, v.CallID)
		}
		e.pieces[pieceName(p)] = v.CallID
		bytes += e.sizes[p.Request]
	}
	for _, b := range e.results(v.Target) {
		bytes += b
	}
	if bytes > randomCapacity {
		e.t.Fatalf("call %d raises the results to %d bytes at %s", v.CallID, bytes, v.Target.ID)
	}
	e.calls[v.CallID] = v
}

func pieceName(p batch.Piece) string { return fmt.Sprintf("%s/%d", p.Request, p.Index) }

func sortedIDs[V any](m map[uint64]V) []uint64 {
	var list []uint64
	for id := range m {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}
