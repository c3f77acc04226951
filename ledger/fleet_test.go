package ledger_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/ledger"
	"bergamotworks/note"
	"bergamotworks/ports"
)

// scriptOpenBytes is the MaxOpenBytes of the ledgers in the scripts.
const scriptOpenBytes = 32 << 10

// fleet is a set of ledgers in one process that share a store.
type fleet struct {
	store        ports.Store
	limits       note.Limits
	mutex        sync.Mutex
	writer       string
	hopDelay     time.Duration // One-way delay of a call between nodes.
	maxOpenBytes int           // MaxOpenBytes of every ledger.
	isolated     map[string]bool
	nodes        map[string]*ledger.Service
	group        sync.WaitGroup
}

func newFleet(store ports.Store, limits note.Limits, names ...string) *fleet {
	f := &fleet{store: store, limits: limits, writer: names[0], maxOpenBytes: scriptOpenBytes, isolated: map[string]bool{}, nodes: map[string]*ledger.Service{}}
	f.startAll(names)
	return f
}

func (f *fleet) startAll(names []string) {
	for i, n := range names {
		f.start(n, uint64(i))
	}
}

func (f *fleet) start(name string, seed uint64) {
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	s := &ledger.Service{
		VM: name, Store: f.store, Peers: f, Assignment: assignment{fleet: f, vm: name},
		Clock: ports.SystemClock{}, Random: ports.NewSeededRandom(seed), Log: log,
		Metrics: metrics.NewSet(), MaxOpenBytes: f.maxOpenBytes, Limits: func() note.Limits { return f.limits },
	}
	f.mutex.Lock()
	f.nodes[name] = s
	f.mutex.Unlock()
	f.group.Add(1)
	go f.run(s)
}

func (f *fleet) node(name string) *ledger.Service {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.nodes[name]
}

func (f *fleet) setWriter(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.writer = name
}

func (f *fleet) setIsolated(name string, isolated bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.isolated[name] = isolated
}

func (f *fleet) close() {
	for _, s := range f.nodes {
		_ = s.Close()
	}
	f.group.Wait()
}

// Call calls another ledger. It fails if that VM is isolated.
func (f *fleet) Call(ctx context.Context, vm string, method string, params, result any) error {
	f.mutex.Lock()
	s, isolated := f.nodes[vm], f.isolated[vm]
	f.mutex.Unlock()
	if isolated || s == nil {
		return fault.New(fault.Unavailable, fault.NotRun, "%s is not reachable", vm)
	}
	request := params.(ledger.OpRequest)
	handlers := map[string]func(context.Context, ledger.OpRequest) (ledger.OpResponse, error){
		ledger.MethodCreate: s.HandleCreate, ledger.MethodComplete: s.HandleComplete,
		ledger.MethodWithdraw: s.HandleWithdraw, ledger.MethodLookup: s.HandleLookup,
	}
	time.Sleep(f.hopDelay)
	response, err := handlers[method](ctx, request)
	time.Sleep(f.hopDelay)
	*result.(*ledger.OpResponse) = response
	return err
}

type assignment struct {
	fleet *fleet
	vm    string
}

func (a assignment) Writer(int) (string, bool) {
	a.fleet.mutex.Lock()
	defer a.fleet.mutex.Unlock()
	return a.fleet.writer, a.fleet.writer == a.vm
}

func describe(claim ledger.Claim, err error) string {
	if err != nil {
		fe := fault.From(err)
		return fmt.Sprintf("%s %s", fe.Kind, fe.Verdict)
	}
	if claim.Created {
		return "created"
	}
	if claim.State == ledger.Completed {
		return fmt.Sprintf("completed %s", claim.Result)
	}
	return claim.State.String()
}

func testLimits() note.Limits {
	l := note.Config{}.Limits()
	l.LedgerShards = 1
	return l
}

func (f *fleet) run(s *ledger.Service) {
	defer f.group.Done()
	_ = s.Run(context.Background())
}
