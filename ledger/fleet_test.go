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

// scriptOpenBytes is the size at which the scripts' open parts are sealed.
const scriptOpenBytes = 32 << 10

// fleet is a set of ledgers over one store in one process.
type fleet struct {
	store  ports.Store
	limits note.Limits
	mutex  sync.Mutex
	writer string
	hop    time.Duration // One-way delay of a call between nodes.
	open   int           // OpenBytes of every ledger.
	cut    map[string]bool
	nodes  map[string]*ledger.Service
	group  sync.WaitGroup
}

func newFleet(store ports.Store, limits note.Limits, names ...string) *fleet {
	f := &fleet{store: store, limits: limits, writer: names[0], open: scriptOpenBytes, cut: map[string]bool{}, nodes: map[string]*ledger.Service{}}
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
		VM: name, Store: f.store, Peers: f, Assignment: owners{fleet: f, vm: name},
		Clock: ports.SystemClock{}, Random: ports.NewSeededRandom(seed), Log: log,
		Metrics: metrics.NewSet(), MaxOpenBytes: f.open, Limits: func() note.Limits { return f.limits },
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

func (f *fleet) setCut(name string, cut bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.cut[name] = cut
}

func (f *fleet) close() {
	for _, s := range f.nodes {
		_ = s.Close()
	}
	f.group.Wait()
}

// Call carries a message to another ledger, unless that VM is cut off.
func (f *fleet) Call(ctx context.Context, vm string, method string, params, result any) error {
	f.mutex.Lock()
	s, cut := f.nodes[vm], f.cut[vm]
	f.mutex.Unlock()
	if cut || s == nil {
		return fault.New(fault.Unavailable, fault.NotRun, "%s is not reachable", vm)
	}
	ask := params.(ledger.OpRequest)
	handlers := map[string]func(context.Context, ledger.OpRequest) (ledger.OpResponse, error){
		ledger.MethodCreate: s.HandleCreate, ledger.MethodComplete: s.HandleComplete,
		ledger.MethodWithdraw: s.HandleWithdraw, ledger.MethodLookup: s.HandleLookup,
	}
	time.Sleep(f.hop)
	told, err := handlers[method](ctx, ask)
	time.Sleep(f.hop)
	*result.(*ledger.OpResponse) = told
	return err
}

type owners struct {
	fleet *fleet
	vm    string
}

func (o owners) Writer(int) (string, bool) {
	o.fleet.mutex.Lock()
	defer o.fleet.mutex.Unlock()
	return o.fleet.writer, o.fleet.writer == o.vm
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
