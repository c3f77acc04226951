package ledger_test

import (
	"context"
	"flag"
	"fmt"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotworks/fault"
	"bergamotworks/ledger"
	"bergamotworks/ports"
	"bergamotworks/store"
)

var compareDesigns = flag.Bool("ledger.compare", false, "compare the journal with other designs")

// Parameters of TestCompareDesigns.
const (
	compareRate           = 300 // Stage calls per second.
	compareDuration       = 10 * time.Second
	compareKillAt         = 5 * time.Second
	compareDetectionDelay = time.Second // Time from the kill to the takeover.
	compareServiceTime    = 50 * time.Millisecond
	compareHopDelay       = 1500 * time.Microsecond
	compareStoreDelayMS   = 5
	compareNodes          = 4
	compareResultBytes    = 300 // Bytes.
)

// design is a way to record stage calls.
type design interface {
	// create returns the outcome as text ("created", or a verdict such as
	// "may_have_run") and, if created, the function that records the result.
	create(ctx context.Context, node int, r ledger.Request) (string, func())
	// takeOver makes a node the writer. -1 means that node 0, the writer, was
	// killed and no other node has taken over yet.
	takeOver(node int)
	close()
}

// stageCall is a stage call of a client, which retries it at other nodes.
type stageCall struct {
	sim     *simulation
	number  int
	latency time.Duration
	outcome string
}

// simulation makes stage calls with a design in the fake time of a synctest
// bubble.
type simulation struct {
	design design
	kill   bool
	start  time.Time
	group  sync.WaitGroup
	calls  []*stageCall
}

// TestCompareDesigns logs latencies, outcomes and the load on the store of the
// ledger and of simpler designs, with and without a kill of the writer.
func TestCompareDesigns(t *testing.T) {
	if !*compareDesigns {
		t.Skip("run with -ledger.compare")
	}
	for _, kill := range []bool{false, true} {
		for _, maxOpenBytes := range []int{8 << 10, 16 << 10, 32 << 10, 64 << 10} {
			compare(t, fmt.Sprintf("journal_%dk", maxOpenBytes>>10), kill, func(s ports.Store) design { return newJournalDesign(s, maxOpenBytes) })
		}
		compare(t, "key_per_record", kill, func(s ports.Store) design { return &keyDesign{store: s} })
		compare(t, "owner_memory", kill, func(ports.Store) design { return &memoryDesign{records: map[string]string{}} })
	}
}

func compare(t *testing.T, name string, kill bool, build func(ports.Store) design) {
	synctest.Test(t, func(t *testing.T) {
		m := &store.Memory{}
		f := &store.FaultInjector{Store: m, Clock: ports.SystemClock{}, Random: ports.NewSeededRandom(1)}
		f.Add(store.Fault{Kind: store.FaultSlow, DelayMS: compareStoreDelayMS, Calls: []store.CallKind{store.CallCommit, store.CallRange}})
		sim := &simulation{design: build(f), kill: kill}
		time.Sleep(time.Second)
		commits, bytes := m.Calls(store.CallCommit), m.BytesWritten()
		sim.run()
		seconds := compareDuration.Seconds()
		commits, bytes = m.Calls(store.CallCommit)-commits, m.BytesWritten()-bytes
		sim.design.close()
		t.Logf("%-15s kill=%-5v %s writes/s=%.1f writes/call=%.3f kB/s=%.0f reads=%d", name, kill, sim.summary(),
			float64(commits)/seconds, float64(commits)/float64(len(sim.calls)), float64(bytes)/seconds/1000, m.Calls(store.CallRange))
	})
}

func (s *simulation) run() {
	s.start = time.Now()
	if s.kill {
		s.group.Add(1)
		go s.runKill()
	}
	for i := range int(compareDuration.Seconds() * compareRate) {
		o := &stageCall{sim: s, number: i}
		s.calls = append(s.calls, o)
		s.group.Add(1)
		go o.run()
		time.Sleep(time.Second / compareRate)
	}
	s.group.Wait()
}

// killed reports whether a node has been killed. Only node 0, the writer, is
// ever killed.
func (s *simulation) killed(node int) bool {
	return s.kill && node == 0 && time.Since(s.start) >= compareKillAt
}

func (s *simulation) runKill() {
	defer s.group.Done()
	time.Sleep(compareKillAt)
	s.design.takeOver(-1)
	time.Sleep(compareDetectionDelay)
	s.design.takeOver(1)
}

func (o *stageCall) run() {
	defer o.sim.group.Done()
	r := ledger.Request{
		Key:       ledger.Key{Account: "toits_unis", ID: fmt.Sprintf("01990000-0000-7000-8000-%012d", o.number), Stage: "order"},
		CreatedAt: time.Now(), Fingerprint: "0123456789abcdef",
	}
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	for node := o.number % compareNodes; o.outcome == "" && ctx.Err() == nil; node = (node + 1) % compareNodes {
		o.attempt(ctx, node, r)
	}
}

// attempt makes the call on a node. It returns without an outcome if the node is
// killed; the client then retries at another node.
func (o *stageCall) attempt(ctx context.Context, node int, r ledger.Request) {
	if o.sim.killed(node) {
		return
	}
	start := time.Now()
	outcome, complete := o.sim.design.create(ctx, node, r)
	if o.sim.killed(node) {
		return
	}
	o.latency = time.Since(start)
	if outcome != "created" {
		o.outcome = outcome
		return
	}
	time.Sleep(compareServiceTime)
	if o.sim.killed(node) {
		return
	}
	o.outcome = "done"
	complete()
}

func (s *simulation) summary() string {
	var latencies []time.Duration
	outcomes := map[string]int{}
	for _, o := range s.calls {
		outcomes[o.outcome]++
		latencies = append(latencies, o.latency)
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	n := len(latencies)
	return fmt.Sprintf("p50=%v p99=%v outcomes=%v", latencies[n/2].Round(100*time.Microsecond), latencies[n*99/100].Round(100*time.Microsecond), outcomes)
}

// journalDesign is the ledger itself.
type journalDesign struct{ fleet *fleet }

func newJournalDesign(s ports.Store, maxOpenBytes int) *journalDesign {
	limits := testLimits()
	limits.LedgerShards = 2
	f := &fleet{
		store: s, limits: limits, writer: "n0", hopDelay: compareHopDelay, maxOpenBytes: maxOpenBytes,
		isolated: map[string]bool{}, nodes: map[string]*ledger.Service{},
	}
	f.startAll([]string{"n0", "n1", "n2", "n3"})
	return &journalDesign{fleet: f}
}

func (j *journalDesign) create(ctx context.Context, node int, r ledger.Request) (string, func()) {
	s := j.fleet.node(fmt.Sprint("n", node))
	_, _ = s.Lookup(ctx, r.Key) // A run first looks up the results of its later stages.
	claim, err := s.Create(ctx, r)
	if err != nil {
		return fault.VerdictOf(err).String(), nil
	}
	if !claim.Created {
		return "may_have_run", nil
	}
	return "created", func() { _ = s.Complete(ctx, claim, make([]byte, compareResultBytes)) }
}

func (j *journalDesign) takeOver(node int) {
	if node < 0 {
		j.fleet.setIsolated("n0", true)
		_ = j.fleet.node("n0").Close()
		return
	}
	j.fleet.setWriter(fmt.Sprint("n", node))
}

func (j *journalDesign) close() { j.fleet.close() }

// keyDesign writes one store key per record.
type keyDesign struct{ store ports.Store }

func (k *keyDesign) create(ctx context.Context, _ int, r ledger.Request) (string, func()) {
	key := "record/" + r.Key.ID
	txn := ports.Txn{
		Compares: []ports.Compare{{Key: key}},
		Then:     []ports.Op{ports.Put{Key: key, Value: make([]byte, 200)}},
	}
	response, err := k.store.Commit(ctx, txn)
	if err != nil || !response.Succeeded {
		return "may_have_run", nil
	}
	put := ports.Put{Key: key, Value: make([]byte, 200+compareResultBytes)}
	return "created", func() { _, _ = k.store.Commit(ctx, ports.Txn{Then: []ports.Op{put}}) }
}

func (k *keyDesign) takeOver(int) {}
func (k *keyDesign) close()       {}

// memoryDesign keeps the records only in the memory of the owner. After a crash
// its successor rejects every key that was created before the takeover.
type memoryDesign struct {
	mutex   sync.Mutex
	down    bool
	floor   time.Time
	records map[string]string
}

func (m *memoryDesign) create(ctx context.Context, node int, r ledger.Request) (string, func()) {
	for ctx.Err() == nil {
		time.Sleep(2 * compareHopDelay)
		if outcome := m.tryCreate(node, r); outcome != "" {
			return outcome, func() {}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return "not_run", nil
}

func (m *memoryDesign) tryCreate(node int, r ledger.Request) string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.down {
		return ""
	}
	if _, ok := m.records[r.Key.ID]; ok || !r.CreatedAt.After(m.floor) {
		return "may_have_run"
	}
	m.records[r.Key.ID] = fmt.Sprint(node)
	return "created"
}

func (m *memoryDesign) takeOver(node int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.down = node < 0
	if !m.down {
		m.floor = time.Now()
		m.records = map[string]string{}
	}
}

func (m *memoryDesign) close() {}
