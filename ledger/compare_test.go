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

// The experiment of TestCompareDesigns.
const (
	compareRate    = 300 // Orders per second.
	compareTime    = 10 * time.Second
	compareKillAt  = 5 * time.Second
	compareNotice  = time.Second // From a kill to the takeover.
	compareService = 50 * time.Millisecond
	compareHop     = 1500 * time.Microsecond
	compareStoreMS = 5
	compareNodes   = 4
	compareResult  = 300 // Bytes.
)

// design records orders. Create reports created, existing or may have run.
type design interface {
	create(ctx context.Context, node int, r ledger.Request) (string, func())
	takeOver(node int)
	close()
}

// order is one caller's order with its repeats at other nodes.
type order struct {
	lab     *lab
	number  int
	latency time.Duration
	end     string
}

// lab runs orders against a design in the time of a synctest bubble.
type lab struct {
	design design
	kill   bool
	start  time.Time
	group  sync.WaitGroup
	orders []*order
}

func TestCompareDesigns(t *testing.T) {
	if !*compareDesigns {
		t.Skip("run with -ledger.compare")
	}
	for _, kill := range []bool{false, true} {
		for _, open := range []int{8 << 10, 16 << 10, 32 << 10, 64 << 10} {
			compare(t, fmt.Sprintf("journal_%dk", open>>10), kill, func(s ports.Store) design { return newJournalDesign(s, open) })
		}
		compare(t, "key_per_record", kill, func(s ports.Store) design { return &keyDesign{store: s} })
		compare(t, "owner_memory", kill, func(ports.Store) design { return &memoryDesign{records: map[string]string{}} })
	}
}

func compare(t *testing.T, name string, kill bool, build func(ports.Store) design) {
	synctest.Test(t, func(t *testing.T) {
		m := &store.Memory{}
		f := &store.FaultInjector{Store: m, Clock: ports.SystemClock{}, Random: ports.NewSeededRandom(1)}
		f.Add(store.Fault{Kind: store.FaultSlow, DelayMS: compareStoreMS, Calls: []store.Call{store.CallCommit, store.CallRange}})
		l := &lab{design: build(f), kill: kill}
		time.Sleep(time.Second)
		commits, bytes := m.Calls(store.CallCommit), m.BytesWritten()
		l.run()
		seconds := compareTime.Seconds()
		commits, bytes = m.Calls(store.CallCommit)-commits, m.BytesWritten()-bytes
		l.design.close()
		t.Logf("%-15s kill=%-5v %s writes/s=%.1f writes/order=%.3f kB/s=%.0f reads=%d", name, kill, l.summary(),
			float64(commits)/seconds, float64(commits)/float64(len(l.orders)), float64(bytes)/seconds/1000, m.Calls(store.CallRange))
	})
}

func (l *lab) run() {
	l.start = time.Now()
	if l.kill {
		l.group.Add(1)
		go l.runKill()
	}
	for i := range int(compareTime.Seconds() * compareRate) {
		o := &order{lab: l, number: i}
		l.orders = append(l.orders, o)
		l.group.Add(1)
		go o.run()
		time.Sleep(time.Second / compareRate)
	}
	l.group.Wait()
}

// dead reports whether a node has been killed: node 0, the writer, may be.
func (l *lab) dead(node int) bool {
	return l.kill && node == 0 && time.Since(l.start) >= compareKillAt
}

func (l *lab) runKill() {
	defer l.group.Done()
	time.Sleep(compareKillAt)
	l.design.takeOver(-1)
	time.Sleep(compareNotice)
	l.design.takeOver(1)
}

func (o *order) run() {
	defer o.lab.group.Done()
	r := ledger.Request{
		Key:       ledger.Key{Account: "toits_unis", ID: fmt.Sprintf("01990000-0000-7000-8000-%012d", o.number), Stage: "order"},
		CreatedAt: time.Now(), Fingerprint: "0123456789abcdef",
	}
	ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
	defer stop()
	for node := o.number % compareNodes; o.end == "" && ctx.Err() == nil; node = (node + 1) % compareNodes {
		o.attempt(ctx, node, r)
	}
}

// attempt runs the order on a node. If the node dies, the caller tries another.
func (o *order) attempt(ctx context.Context, node int, r ledger.Request) {
	if o.lab.dead(node) {
		return
	}
	start := time.Now()
	outcome, complete := o.lab.design.create(ctx, node, r)
	if o.lab.dead(node) {
		return
	}
	o.latency = time.Since(start)
	if outcome != "created" {
		o.end = outcome
		return
	}
	time.Sleep(compareService)
	if o.lab.dead(node) {
		return
	}
	o.end = "done"
	complete()
}

func (l *lab) summary() string {
	var latencies []time.Duration
	ends := map[string]int{}
	for _, o := range l.orders {
		ends[o.end]++
		latencies = append(latencies, o.latency)
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	n := len(latencies)
	return fmt.Sprintf("p50=%v p99=%v ends=%v", latencies[n/2].Round(100*time.Microsecond), latencies[n*99/100].Round(100*time.Microsecond), ends)
}

// journalDesign is the ledger itself.
type journalDesign struct{ fleet *fleet }

func newJournalDesign(s ports.Store, open int) *journalDesign {
	limits := testLimits()
	limits.LedgerShards = 2
	f := &fleet{
		store: s, limits: limits, writer: "n0", hop: compareHop, open: open,
		cut: map[string]bool{}, nodes: map[string]*ledger.Service{},
	}
	f.startAll([]string{"n0", "n1", "n2", "n3"})
	return &journalDesign{fleet: f}
}

func (j *journalDesign) create(ctx context.Context, node int, r ledger.Request) (string, func()) {
	s := j.fleet.node(fmt.Sprint("n", node))
	_, _ = s.Lookup(ctx, r.Key) // A run looks for the results of its later stages first.
	claim, err := s.Create(ctx, r)
	if err != nil {
		return fault.VerdictOf(err).String(), nil
	}
	if !claim.Created {
		return "may_have_run", nil
	}
	return "created", func() { _ = s.Complete(ctx, claim, make([]byte, compareResult)) }
}

func (j *journalDesign) takeOver(node int) {
	if node < 0 {
		j.fleet.setCut("n0", true)
		_ = j.fleet.node("n0").Close()
		return
	}
	j.fleet.setWriter(fmt.Sprint("n", node))
}

func (j *journalDesign) close() { j.fleet.close() }

// keyDesign writes one store key for each record.
type keyDesign struct{ store ports.Store }

func (k *keyDesign) create(ctx context.Context, _ int, r ledger.Request) (string, func()) {
	key := "record/" + r.Key.ID
	txn := ports.Txn{
		Compares: []ports.Compare{{Key: key}},
		Then:     []ports.Op{ports.Put{Key: key, Value: make([]byte, 200)}},
	}
	answer, err := k.store.Commit(ctx, txn)
	if err != nil || !answer.Succeeded {
		return "may_have_run", nil
	}
	put := ports.Put{Key: key, Value: make([]byte, 200+compareResult)}
	return "created", func() { _, _ = k.store.Commit(ctx, ports.Txn{Then: []ports.Op{put}}) }
}

func (k *keyDesign) takeOver(int) {}
func (k *keyDesign) close()       {}

// memoryDesign keeps records in the owner's memory only. A successor after a
// crash refuses every key that is older than its takeover.
type memoryDesign struct {
	mutex   sync.Mutex
	down    bool
	floor   time.Time
	records map[string]string
}

func (m *memoryDesign) create(ctx context.Context, node int, r ledger.Request) (string, func()) {
	for ctx.Err() == nil {
		time.Sleep(2 * compareHop)
		if outcome := m.try(node, r); outcome != "" {
			return outcome, func() {}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return "not_run", nil
}

func (m *memoryDesign) try(node int, r ledger.Request) string {
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
