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
// known free memory or the batch size, that no piece is in two calls at once
// and that every group ends exactly once.
func TestRandomTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &randomEnv{
			t: t, now: time.Unix(1000, 0), calls: make(map[uint64]batch.StartCall), pending: make(map[uint64]bool),
			pieces: make(map[string]uint64), stored: make(map[string]map[string]int64), sizes: make(map[string]int64), restarts: make(map[string]int64),
		}
		w.table.Limits = site.BatchLimits{
			Slots: randomSlots, Size: randomSize, CallTime: 100 * time.Millisecond, PieceTime: 10 * time.Millisecond,
			ResultCapacityBytes: randomCapacity, Retention: time.Hour,
		}
		t.Repeat(map[string]func(*rapid.T){
			"targets": w.setTargets, "submit": w.submit, "end": w.end, "cancel": w.cancel,
			"release": w.release, "time": w.advance,
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

func incarnation(g site.Target) string { return fmt.Sprintf("%s#%d", g.ID, g.Incarnation) }

func (w *randomEnv) setTargets(t *rapid.T) {
	w.usable = nil
	for _, id := range []string{"a", "b", "c"} {
		if rapid.Bool().Draw(t, "takes_"+id) {
			w.restarts[id] += rapid.Int64Range(0, 1).Draw(t, "restarts_"+id)
			w.usable = append(w.usable, site.Target{ID: id, Address: id + ":1", Incarnation: w.restarts[id]})
		}
	}
	w.table.SetTargets(w.now, w.usable)
	w.perform()
}

func (w *randomEnv) submit(t *rapid.T) {
	w.nextResult++
	request := fmt.Sprint("r", w.nextResult)
	w.sizes[request] = rapid.Int64Range(1, randomCapacity/2).Draw(t, "bytes")
	id, err := w.table.Submit(w.now, batch.Work{
		Service: "svc", Request: request, Pieces: rapid.IntRange(1, 6).Draw(t, "pieces"), Bytes: w.sizes[request],
		Target: w.now.Add(time.Second), Deadline: w.now.Add(5 * time.Second), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
	})
	if err == nil {
		w.pending[id] = true
	}
	w.perform()
}

// end ends a random call with results, missing results or an error.
func (w *randomEnv) end(t *rapid.T) {
	if len(w.calls) == 0 {
		t.Skip("no call")
	}
	run := rapid.SampledFrom(sortedRuns(w.calls)).Draw(t, "run")
	call := w.calls[run]
	delete(w.calls, run)
	var results []batch.Result
	for _, p := range call.Pieces {
		delete(w.pieces, pieceName(p))
		r := batch.Result{Reason: batch.Reason(rapid.IntRange(0, 3).Draw(t, "reason"))}
		if rapid.IntRange(0, 4).Draw(t, "works") > 0 {
			w.nextResult++
			r.Handle = fmt.Sprintf("%s/%d", call.Target.Address, w.nextResult)
			w.results(call.Target)[r.Handle] = w.sizes[p.Request]
		}
		results = append(results, r)
	}
	var err error
	if rapid.IntRange(0, 4).Draw(t, "breaks") == 0 {
		err = fmt.Errorf("call failed")
		results = nil
	}
	w.table.CallEnded(w.now, call.Target.ID, run, results, err)
	w.perform()
}

func (w *randomEnv) cancel(t *rapid.T) {
	if len(w.pending) == 0 {
		t.Skip("no group")
	}
	id := rapid.SampledFrom(sortedRuns(w.pending)).Draw(t, "group")
	delete(w.pending, id)
	w.table.Cancel(w.now, id)
	w.perform()
}

// release releases all results at a target.
func (w *randomEnv) release(t *rapid.T) {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "at")
	for _, g := range w.usable {
		if g.ID != id {
			continue
		}
		var list []string
		for h := range w.results(g) {
			list = append(list, h)
		}
		slices.Sort(list)
		w.table.Release(list)
	}
	w.perform()
}

func (w *randomEnv) advance(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond)
	w.table.Tick(w.now)
	w.perform()
}

func (w *randomEnv) results(g site.Target) map[string]int64 {
	k := incarnation(g)
	if w.stored[k] == nil {
		w.stored[k] = make(map[string]int64)
	}
	return w.stored[k]
}

// perform checks and executes the requested actions of the table.
func (w *randomEnv) perform() {
	for _, a := range w.table.TakeActions() {
		switch v := a.(type) {
		case batch.StartCall:
			w.start(v)
		case batch.GroupDone:
			if !w.pending[v.Group] {
				w.t.Fatalf("group %d ended twice or after it was canceled", v.Group)
			}
			delete(w.pending, v.Group)
		case batch.ReleaseResults:
			for _, h := range v.Handles {
				delete(w.results(v.Target), h)
			}
			w.table.ResultsReleased(w.now, v.Target.ID, v.Handles)
			w.perform()
		case batch.MeasureCapacity:
		}
	}
}

func (w *randomEnv) start(v batch.StartCall) {
	if !slices.Contains(w.usable, v.Target) {
		w.t.Fatalf("call %d to %s, which accepts no new calls", v.CallID, incarnation(v.Target))
	}
	running := 0
	for _, c := range w.calls {
		if c.Target == v.Target {
			running++
		}
	}
	if running >= randomSlots || len(v.Pieces) > randomSize {
		w.t.Fatalf("call %d with %d pieces beside %d others at %s", v.CallID, len(v.Pieces), running, v.Target.ID)
	}
	var bytes int64
	for _, p := range v.Pieces {
		if other, ok := w.pieces[pieceName(p)]; ok && w.calls[other].Target.ID != "" && slices.Contains(w.usable, w.calls[other].Target) {
			w.t.Fatalf("piece %s is in calls %d and %d", pieceName(p), other, v.CallID)
		}
		w.pieces[pieceName(p)] = v.CallID
		bytes += w.sizes[p.Request]
	}
	for _, b := range w.results(v.Target) {
		bytes += b
	}
	if bytes > randomCapacity {
		w.t.Fatalf("call %d takes the results to %d bytes at %s", v.CallID, bytes, v.Target.ID)
	}
	w.calls[v.CallID] = v
}

func pieceName(p batch.Piece) string { return fmt.Sprintf("%s/%d", p.Request, p.Index) }

func sortedRuns[V any](m map[uint64]V) []uint64 {
	var list []uint64
	for id := range m {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}
