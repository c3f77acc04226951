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

// The limits of the service under random events.
const (
	randomSlots = 1
	randomSize  = 4
	randomRoom  = 1000 // Bytes.
)

// TestRandomTable has targets come, leave, restart, fail and run short of
// memory in any order, and checks what must hold whatever happens: no call goes
// to a target that takes no new work or is full, no call is larger than the
// memory that the table knows of, no piece is in two calls at once, and every
// group ends once.
func TestRandomTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &randomWorld{
			t: t, now: time.Unix(1000, 0), calls: make(map[uint64]batch.StartCall), open: make(map[uint64]bool),
			pieces: make(map[string]uint64), held: make(map[string]map[string]int64), sizes: make(map[string]int64), starts: make(map[string]int64),
		}
		w.table.Limits = site.BatchLimits{
			Slots: randomSlots, Size: randomSize, CallTime: 100 * time.Millisecond, PieceTime: 10 * time.Millisecond,
			ResultCapacityBytes: randomRoom, Retention: time.Hour,
		}
		t.Repeat(map[string]func(*rapid.T){
			"targets": w.setTargets, "submit": w.submit, "end": w.end, "cancel": w.cancel,
			"release": w.release, "time": w.pass,
		})
	})
}

// randomWorld is the targets of one service and those who wait for work.
type randomWorld struct {
	t      *rapid.T
	now    time.Time
	table  batch.Table
	usable []site.Target
	starts map[string]int64            // Restarts by target.
	calls  map[uint64]batch.StartCall  // Under way.
	open   map[uint64]bool             // Groups that have not ended.
	pieces map[string]uint64           // Calls of the pieces under way.
	held   map[string]map[string]int64 // Results by target's incarnation.
	sizes  map[string]int64            // Bytes of a result of a request.
	made   int
}

func incarnation(g site.Target) string { return fmt.Sprintf("%s#%d", g.ID, g.Incarnation) }

func (w *randomWorld) setTargets(t *rapid.T) {
	w.usable = nil
	for _, id := range []string{"a", "b", "c"} {
		if rapid.Bool().Draw(t, "takes_"+id) {
			w.starts[id] += rapid.Int64Range(0, 1).Draw(t, "restarts_"+id)
			w.usable = append(w.usable, site.Target{ID: id, Address: id + ":1", Incarnation: w.starts[id]})
		}
	}
	w.table.SetTargets(w.now, w.usable)
	w.act()
}

func (w *randomWorld) submit(t *rapid.T) {
	w.made++
	request := fmt.Sprint("r", w.made)
	w.sizes[request] = rapid.Int64Range(1, randomRoom/2).Draw(t, "bytes")
	id, err := w.table.Submit(w.now, batch.Work{
		Service: "svc", Request: request, Pieces: rapid.IntRange(1, 6).Draw(t, "pieces"), Bytes: w.sizes[request],
		Target: w.now.Add(time.Second), Deadline: w.now.Add(5 * time.Second), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
	})
	if err == nil {
		w.open[id] = true
	}
	w.act()
}

// end ends a call: with results, with a reason instead, or with a failure.
func (w *randomWorld) end(t *rapid.T) {
	if len(w.calls) == 0 {
		t.Skip("no call")
	}
	run := rapid.SampledFrom(sortedRuns(w.calls)).Draw(t, "run")
	call := w.calls[run]
	delete(w.calls, run)
	var results []batch.Result
	for _, p := range call.Pieces {
		delete(w.pieces, name(p))
		r := batch.Result{Reason: batch.Reason(rapid.IntRange(0, 3).Draw(t, "reason"))}
		if rapid.IntRange(0, 4).Draw(t, "works") > 0 {
			w.made++
			r.Handle = fmt.Sprintf("%s/%d", call.Target.Address, w.made)
			w.holds(call.Target)[r.Handle] = w.sizes[p.Request]
		}
		results = append(results, r)
	}
	var err error
	if rapid.IntRange(0, 4).Draw(t, "breaks") == 0 {
		err = fmt.Errorf("broken off")
		results = nil
	}
	w.table.CallEnded(w.now, call.Target.ID, run, results, err)
	w.act()
}

func (w *randomWorld) cancel(t *rapid.T) {
	if len(w.open) == 0 {
		t.Skip("no group")
	}
	id := rapid.SampledFrom(sortedRuns(w.open)).Draw(t, "group")
	delete(w.open, id)
	w.table.Cancel(w.now, id)
	w.act()
}

// release gives up all results that a target holds.
func (w *randomWorld) release(t *rapid.T) {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "at")
	for _, g := range w.usable {
		if g.ID != id {
			continue
		}
		var list []string
		for h := range w.holds(g) {
			list = append(list, h)
		}
		slices.Sort(list)
		w.table.Release(list)
	}
	w.act()
}

func (w *randomWorld) pass(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond)
	w.table.Tick(w.now)
	w.act()
}

func (w *randomWorld) holds(g site.Target) map[string]int64 {
	k := incarnation(g)
	if w.held[k] == nil {
		w.held[k] = make(map[string]int64)
	}
	return w.held[k]
}

// act takes in the actions of the table and checks each.
func (w *randomWorld) act() {
	for _, a := range w.table.TakeActions() {
		switch v := a.(type) {
		case batch.StartCall:
			w.start(v)
		case batch.GroupDone:
			if !w.open[v.Group] {
				w.t.Fatalf("group %d ended twice, or after it was given up", v.Group)
			}
			delete(w.open, v.Group)
		case batch.ReleaseResults:
			for _, h := range v.Handles {
				delete(w.holds(v.Target), h)
			}
			w.table.ResultsReleased(w.now, v.Target.ID, v.Handles)
			w.act()
		case batch.MeasureCapacity:
		}
	}
}

func (w *randomWorld) start(v batch.StartCall) {
	if !slices.Contains(w.usable, v.Target) {
		w.t.Fatalf("call %d to %s, which takes no new work", v.CallID, incarnation(v.Target))
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
		if other, ok := w.pieces[name(p)]; ok && w.calls[other].Target.ID != "" && slices.Contains(w.usable, w.calls[other].Target) {
			w.t.Fatalf("piece %s is in calls %d and %d", name(p), other, v.CallID)
		}
		w.pieces[name(p)] = v.CallID
		bytes += w.sizes[p.Request]
	}
	for _, b := range w.holds(v.Target) {
		bytes += b
	}
	if bytes > randomRoom {
		w.t.Fatalf("call %d makes results of %d bytes in all at %s", v.CallID, bytes, v.Target.ID)
	}
	w.calls[v.CallID] = v
}

func name(p batch.Piece) string { return fmt.Sprintf("%s/%d", p.Request, p.Index) }

func sortedRuns[V any](m map[uint64]V) []uint64 {
	var list []uint64
	for id := range m {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}
