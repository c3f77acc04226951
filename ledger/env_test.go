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
	randomSteps = 160
	nodeCount   = 3
	keyCount    = 2
	maxAttempts = 8
	notRun      = fault.NotRun
)

// phase is the progress of an attempt at its home.
type phase int

const (
	creating phase = iota
	created
	withdrawing
	dispatched
	finished
)

// report is the verdict that was reported to the client.
type report int

const (
	NothingReported report = iota
	NotRunReported
	MayHaveRunReported
)

// attempt is one run of a stage call, with a token of its own. Its home is the
// node that handles the client's request.
type attempt struct {
	key            int
	subject        Subject
	phase          phase
	reported       report
	pendingCreates int // Creates without a response.
	stored         bool
}

func (a *attempt) setReport(e *env, s report) {
	if s == NotRunReported && e.runs[a.key] == a.subject.Token {
		e.t.Fatalf("key %d was dispatched by %s and is reported as not run", a.key, a.subject.Token)
	}
	a.reported = s
	a.phase = finished
}

// call is an operation of an attempt that was submitted to a node.
type call struct {
	attempt *attempt
	op      Op
	node    int
}

// node is a shard with the calls to the store that it waits for.
type node struct {
	shard   *Shard
	load    *Load
	commit  *pendingTxn
	timerNS int64
}

// pendingTxn is a transaction that was sent to the store.
type pendingTxn struct {
	txn       ports.Txn
	processed bool
	result    CommitCompleted
}

// env simulates a store and the nodes and homes that use it.
type env struct {
	t        *rapid.T
	now      time.Time
	nodes    []*node
	attempts []*attempt
	calls    map[uint64]call
	lastID   uint64
	runs     map[int]string // The token that dispatched each key.
	revision int64
	values   map[string]ports.KeyValue
	previous map[string]ports.KeyValue // The values before the last commit.
	inFlight []*pendingTxn
}

func newEnv(t *rapid.T) *env {
	e := &env{
		t: t, now: time.Unix(100, 0), calls: map[uint64]call{}, runs: map[int]string{},
		values: map[string]ports.KeyValue{}, previous: map[string]ports.KeyValue{},
	}
	for range nodeCount {
		e.nodes = append(e.nodes, newNode())
	}
	return e
}

func newNode() *node { return &node{shard: &Shard{MaxOpenBytes: 40}} }

func (e *env) submit(a *attempt, op Op) {
	n := e.pick(nodeCount)
	e.lastID++
	e.calls[e.lastID] = call{attempt: a, op: op, node: n}
	if _, ok := op.(Create); ok {
		a.pendingCreates++
	}
	e.deliver(n, OpSubmitted{ID: e.lastID, Op: op, Reload: e.pick(4) == 0})
}

// deliver passes an event to a node and performs the actions.
func (e *env) deliver(n int, event Event) {
	node := e.nodes[n]
	for _, action := range node.shard.Step(e.now, event) {
		switch a := action.(type) {
		case Load:
			node.load = &a
		case Commit:
			node.commit = &pendingTxn{txn: a.Txn}
			e.inFlight = append(e.inFlight, node.commit)
		case SetTimer:
			node.timerNS = a.UntilNS
		case Respond:
			e.handleResponse(a)
		}
	}
}

// processCommit executes an in-flight transaction at the store. Its node may have
// crashed meanwhile.
func (e *env) processCommit() {
	if len(e.inFlight) == 0 {
		return
	}
	i := e.pick(len(e.inFlight))
	s := e.inFlight[i]
	e.inFlight = append(e.inFlight[:i:i], e.inFlight[i+1:]...)
	s.processed = true
	s.result = CommitCompleted{Result: Conflict}
	for _, c := range s.txn.Compares {
		if e.values[c.Key].ModRevision != c.ModRevision {
			return
		}
	}
	e.previous = maps.Clone(e.values)
	e.revision++
	for _, op := range s.txn.Then {
		switch o := op.(type) {
		case ports.Put:
			e.values[o.Key] = ports.KeyValue{Key: o.Key, Value: o.Value, ModRevision: e.revision}
		case ports.Delete:
			delete(e.values, o.Key)
		}
	}
	s.result = CommitCompleted{Result: Applied, Revision: e.revision}
}

func (e *env) respondCommit() {
	n := e.pick(nodeCount)
	if node := e.nodes[n]; node.commit != nil && node.commit.processed {
		result := node.commit.result
		node.commit = nil
		e.deliver(n, result)
	}
}

// loseResponse reports an unknown outcome to a node. The transaction stays in
// flight and may take effect later.
func (e *env) loseResponse() {
	n := e.pick(nodeCount)
	if node := e.nodes[n]; node.commit != nil {
		node.commit = nil
		e.deliver(n, CommitCompleted{Result: Unknown})
	}
}

func (e *env) rejectCommit() {
	n := e.pick(nodeCount)
	node := e.nodes[n]
	if node.commit == nil || node.commit.processed {
		return
	}
	for i, s := range e.inFlight {
		if s == node.commit {
			e.inFlight = append(e.inFlight[:i:i], e.inFlight[i+1:]...)
			break
		}
	}
	node.commit = nil
	e.deliver(n, CommitCompleted{Result: Rejected})
}

// respondLoad responds to a load with the current values, or in one case of six
// with the values before the last commit.
func (e *env) respondLoad() {
	n := e.pick(nodeCount)
	node := e.nodes[n]
	if node.load == nil {
		return
	}
	values := e.values
	if e.pick(6) == 0 {
		values = e.previous
	}
	var done LoadCompleted
	for _, r := range node.load.Ranges {
		for k, kv := range values {
			if k == r.Key || r.Prefix && strings.HasPrefix(k, r.Key) {
				done.Entries = append(done.Entries, kv)
			}
		}
	}
	node.load = nil
	e.deliver(n, done)
}

func (e *env) failLoad() {
	n := e.pick(nodeCount)
	if node := e.nodes[n]; node.load != nil {
		node.load = nil
		e.deliver(n, LoadCompleted{Err: errors.New("store is down")})
	}
}

func (e *env) fireTimer() {
	n := e.pick(nodeCount)
	node := e.nodes[n]
	if node.timerNS == 0 {
		return
	}
	if due := time.Unix(0, node.timerNS); due.After(e.now) {
		e.now = due
	}
	node.timerNS = 0
	e.deliver(n, TimerFired{})
}

// updateCutoff makes a node the writer with a random cutoff, or not the writer.
func (e *env) updateCutoff() {
	cutoffs := []int64{0, 0, 1, 1000, 2000}
	e.deliver(e.pick(nodeCount), CutoffUpdated{CutoffMS: cutoffs[e.pick(len(cutoffs))]})
}

func (e *env) exceedDeadline() {
	if e.lastID == 0 {
		return
	}
	id := uint64(e.pick(int(e.lastID))) + 1
	if c, ok := e.calls[id]; ok {
		e.deliver(c.node, DeadlineExceeded{ID: id})
	}
}

// crash replaces a node by an empty one. Its waiters get no response.
func (e *env) crash() {
	n := e.pick(nodeCount)
	for id, c := range e.calls {
		if c.node == n {
			delete(e.calls, id)
		}
	}
	e.nodes[n] = newNode()
}

// replay reads the journal from the store.
func (e *env) replay(s *Shard) (head, map[Key]Record) {
	records := map[Key]Record{}
	h := head{}
	if entry, ok := e.values[headKey(s.Index)]; ok {
		h, _ = decodeHead(entry.Value)
	}
	for n := h.First; n < h.Next; n++ {
		for _, r := range e.part(partKey(s.Index, n)) {
			records[r.Key] = r
		}
	}
	open, _ := decodeRecords(h.Open)
	for _, r := range open {
		records[r.Key] = r
	}
	return h, records
}

func (e *env) part(key string) []Record {
	entry, ok := e.values[key]
	if !ok {
		return nil
	}
	var records []Record
	if err := cbor.Unmarshal(entry.Value, &records); err != nil {
		e.t.Fatalf("part %s: %v", key, err)
	}
	return records
}

func (e *env) resultIn(part string, key Key) []byte {
	var result []byte
	for _, r := range e.part(part) {
		if r.Key == key {
			result = r.Result
		}
	}
	return result
}
