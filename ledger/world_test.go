package ledger

import (
	"errors"
	"maps"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

const (
	worldSteps  = 160
	worldNodes  = 3
	worldKeys   = 2
	maxAttempts = 8
	notRun      = fault.NotRun
)

// phase says how far the home of an attempt has come.
type phase int

const (
	asking phase = iota
	owning
	withdrawing
	dispatched
	over
)

// said is what the caller was told.
type said int

const (
	NothingSaid said = iota
	NotRunSaid
	MayHaveRunSaid
)

type attempt struct {
	key     int
	subject Subject
	phase   phase
	said    said
	open    int // Creates without an answer.
	stored  bool
}

func (a *attempt) say(w *world, s said) {
	if s == NotRunSaid && w.runs[a.key] == a.subject.Token {
		w.t.Fatalf("key %d was dispatched by %s and is refused as not run", a.key, a.subject.Token)
	}
	a.said = s
	a.phase = over
}

type call struct {
	attempt *attempt
	op      Op
	node    int
}

// vm is one node: a shard, and the call to the store that it waits for.
type vm struct {
	shard  *Shard
	load   *Load
	commit *sending
	wakeNS int64
}

// sending is a transaction on its way to the store.
type sending struct {
	txn    ports.Txn
	taken  bool
	answer CommitCompleted
}

type world struct {
	t        *rapid.T
	now      time.Time
	nodes    []*vm
	attempts []*attempt
	calls    map[uint64]call
	ids      uint64
	runs     map[int]string // The token that dispatched each key.
	revision int64
	values   map[string]ports.KeyValue
	before   map[string]ports.KeyValue // The values one commit ago.
	flying   []*sending
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(100, 0), calls: map[uint64]call{}, runs: map[int]string{},
		values: map[string]ports.KeyValue{}, before: map[string]ports.KeyValue{},
	}
	for range worldNodes {
		w.nodes = append(w.nodes, newVM())
	}
	return w
}

func newVM() *vm { return &vm{shard: &Shard{MaxOpenBytes: 40}} }

func (w *world) submit(a *attempt, op Op) {
	n := w.pick(worldNodes)
	w.ids++
	w.calls[w.ids] = call{attempt: a, op: op, node: n}
	if _, ok := op.(Create); ok {
		a.open++
	}
	w.feed(n, OpSubmitted{ID: w.ids, Op: op, Reload: w.pick(4) == 0})
}

// feed gives an event to a node and carries out the actions.
func (w *world) feed(n int, event Event) {
	v := w.nodes[n]
	for _, action := range v.shard.Step(w.now, event) {
		switch a := action.(type) {
		case Load:
			v.load = &a
		case Commit:
			v.commit = &sending{txn: a.Txn}
			w.flying = append(w.flying, v.commit)
		case SetTimer:
			v.wakeNS = a.UntilNS
		case Respond:
			w.take(a)
		}
	}
}

// takeCommit lets a transaction, perhaps of a dead node, reach the store.
func (w *world) takeCommit() {
	if len(w.flying) == 0 {
		return
	}
	i := w.pick(len(w.flying))
	s := w.flying[i]
	w.flying = append(w.flying[:i:i], w.flying[i+1:]...)
	s.taken = true
	s.answer = CommitCompleted{Result: Conflict}
	for _, c := range s.txn.Compares {
		if w.values[c.Key].ModRevision != c.ModRevision {
			return
		}
	}
	w.before = maps.Clone(w.values)
	w.revision++
	for _, op := range s.txn.Then {
		switch o := op.(type) {
		case ports.Put:
			w.values[o.Key] = ports.KeyValue{Key: o.Key, Value: o.Value, ModRevision: w.revision}
		case ports.Delete:
			delete(w.values, o.Key)
		}
	}
	s.answer = CommitCompleted{Result: Applied, Revision: w.revision}
}

func (w *world) answerCommit() {
	n := w.pick(worldNodes)
	if v := w.nodes[n]; v.commit != nil && v.commit.taken {
		answer := v.commit.answer
		v.commit = nil
		w.feed(n, answer)
	}
}

// loseAnswer leaves the transaction where it is: it may take effect later.
func (w *world) loseAnswer() {
	n := w.pick(worldNodes)
	if v := w.nodes[n]; v.commit != nil {
		v.commit = nil
		w.feed(n, CommitCompleted{Result: Unknown})
	}
}

func (w *world) refuseCommit() {
	n := w.pick(worldNodes)
	v := w.nodes[n]
	if v.commit == nil || v.commit.taken {
		return
	}
	for i, s := range w.flying {
		if s == v.commit {
			w.flying = append(w.flying[:i:i], w.flying[i+1:]...)
			break
		}
	}
	v.commit = nil
	w.feed(n, CommitCompleted{Result: Refused})
}

// answerLoad reads the present values, or now and then the ones before.
func (w *world) answerLoad() {
	n := w.pick(worldNodes)
	v := w.nodes[n]
	if v.load == nil {
		return
	}
	values := w.values
	if w.pick(6) == 0 {
		values = w.before
	}
	var e LoadCompleted
	for _, r := range v.load.Ranges {
		for k, entry := range values {
			if k == r.Key || r.Prefix && strings.HasPrefix(k, r.Key) {
				e.Entries = append(e.Entries, entry)
			}
		}
	}
	v.load = nil
	w.feed(n, e)
}

func (w *world) failLoad() {
	n := w.pick(worldNodes)
	if v := w.nodes[n]; v.load != nil {
		v.load = nil
		w.feed(n, LoadCompleted{Err: errors.New("store is down")})
	}
}

func (w *world) wake() {
	n := w.pick(worldNodes)
	v := w.nodes[n]
	if v.wakeNS == 0 {
		return
	}
	if due := time.Unix(0, v.wakeNS); due.After(w.now) {
		w.now = due
	}
	v.wakeNS = 0
	w.feed(n, TimerFired{})
}

// tick makes a node the writer with some cutoff, or not the writer.
func (w *world) tick() {
	cutoffs := []int64{0, 0, 1, 1000, 2000}
	w.feed(w.pick(worldNodes), CutoffUpdated{CutoffMS: cutoffs[w.pick(len(cutoffs))]})
}

func (w *world) expire() {
	if w.ids == 0 {
		return
	}
	id := uint64(w.pick(int(w.ids))) + 1
	if c, ok := w.calls[id]; ok {
		w.feed(c.node, DeadlineExceeded{ID: id})
	}
}

// crash replaces a node by one that knows nothing. Its waiters get no answer.
func (w *world) crash() {
	n := w.pick(worldNodes)
	for id, c := range w.calls {
		if c.node == n {
			delete(w.calls, id)
		}
	}
	w.nodes[n] = newVM()
}

// replay reads the journal as a new operator's tool would.
func (w *world) replay(s *Shard) (head, map[Key]Record) {
	records := map[Key]Record{}
	h := head{}
	if entry, ok := w.values[headKey(s.Index)]; ok {
		h, _ = decodeHead(entry.Value)
	}
	for n := h.First; n < h.Next; n++ {
		for _, r := range w.part(partKey(s.Index, n)) {
			records[r.Key] = r
		}
	}
	open, _ := decodeRecords(h.Open)
	for _, r := range open {
		records[r.Key] = r
	}
	return h, records
}

func (w *world) part(key string) []Record {
	entry, ok := w.values[key]
	if !ok {
		return nil
	}
	var records []Record
	if err := cbor.Unmarshal(entry.Value, &records); err != nil {
		w.t.Fatalf("part %s: %v", key, err)
	}
	return records
}

func (w *world) resultIn(part string, key Key) []byte {
	var result []byte
	for _, r := range w.part(part) {
		if r.Key == key {
			result = r.Result
		}
	}
	return result
}
