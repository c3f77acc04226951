package news

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/member"
	"bergamotworks/ports"
	"bergamotworks/script"
	"bergamotworks/site"
)

// readersCase is a fleet that follows a store.
type readersCase struct {
	Nodes     int   `json:"nodes"`
	Seconds   int   `json:"seconds"`
	ChangesMS []int `json:"changes_ms"` // Times at which a target leaves.
	// KillReadersMS is the time at which all readers end, and DeafReadersMS that
	// at which the store turns them away; zero means never.
	KillReadersMS int `json:"kill_readers_ms"`
	DeafReadersMS int `json:"deaf_readers_ms"`
	// DeafAllMS is the time from which the store turns all away, and BackMS that
	// at which it is back.
	DeafAllMS int `json:"deaf_all_ms"`
	BackMS    int `json:"back_ms"`
	// MostCallsPerSecond bounds the calls to the store in the last five seconds,
	// and MostLagMS the time until every node knows a change.
	MostCallsPerSecond float64 `json:"most_calls_per_second"`
	MostLagMS          int     `json:"most_lag_ms"`
}

func TestReaders(t *testing.T) {
	script.Run(t, "testdata/readers/*.json", func(t *testing.T, data map[string]readersCase) {
		for name, c := range data {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testReaders(t, c) })
			})
		}
	})
}

func testReaders(t *testing.T, c readersCase) {
	w := newReadersWorld(c)
	for _, n := range w.nodes {
		go n.run()
	}
	for at := 0; at < c.Seconds*1000; at += 10 {
		w.at(c, at)
		time.Sleep(10 * time.Millisecond)
		w.watch(t, c)
	}
	for _, n := range w.nodes {
		n.cancel()
		<-n.done
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if rate := float64(w.recent) / 5; rate > c.MostCallsPerSecond {
		t.Errorf("%.1f calls to the store in a second, at most %.1f", rate, c.MostCallsPerSecond)
	}
	if w.waiting {
		t.Error("a change has not arrived everywhere")
	}
}

// readersWorld is the store, the nodes and the connections between them.
type readersWorld struct {
	mutex    sync.Mutex
	began    time.Time
	nodes    map[string]*readersNode
	view     member.View
	revision int64
	changed  time.Time
	waiting  bool // Some node does not know the last change.
	deaf     map[string]bool
	recent   int // Calls in the last five seconds of the case.
	from     time.Time
}

type readersNode struct {
	world   *readersWorld
	service *Service
	context context.Context
	cancel  context.CancelFunc
	done    chan struct{}
	dead    atomic.Bool
}

func newReadersWorld(c readersCase) *readersWorld {
	w := &readersWorld{began: time.Now(), nodes: make(map[string]*readersNode), revision: 1, deaf: make(map[string]bool)}
	w.from = w.began.Add(time.Duration(c.Seconds-5) * time.Second)
	var vms []member.VM
	for i := range c.Nodes {
		vms = append(vms, member.VM{ID: fmt.Sprintf("vm-%02d", i), Attributes: member.Attributes{Ready: true}})
	}
	w.view = member.NewView(vms[0], vms[1:]...)
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, v := range vms {
		n := &readersNode{world: w, done: make(chan struct{})}
		n.context, n.cancel = context.WithCancel(context.Background())
		n.service = &Service{
			Self: v.ID, Source: n, Peers: n, View: w.currentView, Clock: ports.SystemClock{},
			Random: ports.NewSeededRandom(1), Log: logrus.NewEntry(log), Metrics: metrics.NewSet(),
		}
		w.nodes[v.ID] = n
	}
	return w
}

func (w *readersWorld) currentView() member.View {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.view
}

// at does what is due at a time of the case.
func (w *readersWorld) at(c readersCase, ms int) {
	for _, at := range c.ChangesMS {
		if at == ms {
			w.mutex.Lock()
			w.revision++
			w.changed, w.waiting = time.Now(), true
			w.mutex.Unlock()
		}
	}
	first := w.view.Rank(readerKey, readers)
	if c.KillReadersMS == ms && ms > 0 {
		for _, r := range first {
			w.nodes[r.ID].dead.Store(true)
			w.nodes[r.ID].cancel()
		}
	}
	if c.DeafAllMS == ms && ms > 0 {
		first = w.view.Members()
	}
	if c.BackMS == ms && ms > 0 {
		w.mutex.Lock()
		w.deaf = make(map[string]bool)
		w.changed = time.Now() // From here on a change can be known.
		w.mutex.Unlock()
	}
	if ms > 0 && (c.DeafReadersMS == ms || c.DeafAllMS == ms) {
		w.mutex.Lock()
		for _, r := range first {
			w.deaf[r.ID] = true
		}
		w.mutex.Unlock()
	}
}

// watch checks how long a change takes to arrive everywhere.
func (w *readersWorld) watch(t *testing.T, c readersCase) {
	w.mutex.Lock()
	hidden := len(w.deaf) == len(w.nodes)
	w.mutex.Unlock()
	if !w.waiting || hidden {
		return
	}
	for _, n := range w.nodes {
		if _, stale := n.service.Directory().Find("old"); stale && !n.dead.Load() {
			if lag := time.Since(w.changed); lag > time.Duration(c.MostLagMS)*time.Millisecond {
				t.Fatalf("%s does not know a change after %s", n.service.Self, lag)
			}
			return
		}
	}
	w.waiting = false
}

// run runs the node's service.
func (n *readersNode) run() {
	defer close(n.done)
	_ = n.service.Run(n.context) // It ends with its context.
}

// reach counts a call to the store.
func (n *readersNode) reach() error {
	n.world.mutex.Lock()
	defer n.world.mutex.Unlock()
	if time.Now().After(n.world.from) {
		n.world.recent++
	}
	if n.world.deaf[n.service.Self] {
		return fault.New(fault.Unavailable, fault.NotRun, "turned away")
	}
	return nil
}

// Directory returns the targets; the old one leaves with the first change.
func (n *readersNode) Directory(context.Context) (site.Directory, error) {
	if err := n.reach(); err != nil {
		return site.Directory{}, err
	}
	n.world.mutex.Lock()
	defer n.world.mutex.Unlock()
	d := site.Directory{Revision: n.world.revision, Targets: []site.Target{{ID: "one", Address: "1"}}}
	if n.world.revision == 1 {
		d.Targets = append(d.Targets, site.Target{ID: "old", Address: "2"})
	}
	return site.NewDirectory(d), nil
}

// OperatorState returns a configuration.
func (n *readersNode) OperatorState(context.Context) (OperatorState, error) {
	if err := n.reach(); err != nil {
		return OperatorState{}, err
	}
	return OperatorState{Config: site.NewConfig(site.Config{Version: 1}), Revision: 1}, nil
}

// WaitForChange waits in vain.
func (n *readersNode) WaitForChange(ctx context.Context, revision int64, wait time.Duration) (int64, error) {
	if err := n.reach(); err != nil {
		return 0, err
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return revision, nil
}

// Call has another node answer, 2 ms later.
func (n *readersNode) Call(ctx context.Context, vm, _ string, params, result any) error {
	time.Sleep(2 * time.Millisecond)
	other := n.world.nodes[vm]
	if other.dead.Load() {
		return fault.New(fault.Unavailable, fault.NotRun, "no connection to %s", vm)
	}
	answer, err := other.service.HandleFetch(ctx, params.(known))
	if err != nil {
		return err
	}
	text, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, result)
}
