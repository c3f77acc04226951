package conf

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/script"
	"bergamotworks/store"
)

// spreadCase measures the time from acceptance until a note is in force on all
// nodes, in the time of synctest, and the bytes that the peers exchange for it.
type spreadCase struct {
	Nodes   int           `json:"nodes"`
	Runs    int           `json:"runs"`
	Offer   string        `json:"offer"`   // VM of the offer; "operator" goes straight to the store.
	Faults  []store.Fault `json:"faults"`  // Between all nodes and the store.
	Kill    int           `json:"kill"`    // Nodes that die silently at the offer.
	IdleMS  int64         `json:"idle_ms"` // Time in which calls without news are counted.
	LimitMS int64         `json:"limit_ms"`
}

// cost is what one note took.
type cost struct {
	milliseconds int64
	peerBytes    int64 // For each node.
	idleCalls    int64 // To the store, of all nodes.
}

func TestSpread(t *testing.T) {
	script.Run(t, "testdata/spread/*.json", func(t *testing.T, data spreadCase) {
		var costs []cost
		for seed := range data.Runs {
			synctest.Test(t, func(t *testing.T) {
				costs = append(costs, data.measure(t, uint64(seed*data.Nodes)))
			})
		}
		t.Logf("milliseconds until in force: %s", spreadOf(costs, func(c cost) int64 { return c.milliseconds }))
		t.Logf("bytes between peers for each node: %s", spreadOf(costs, func(c cost) int64 { return c.peerBytes }))
		t.Logf("calls to the store without news: %s", spreadOf(costs, func(c cost) int64 { return c.idleCalls }))
		for seed, c := range costs {
			if c.milliseconds > data.LimitMS {
				t.Errorf("seed %d took %d ms", seed, c.milliseconds)
			}
		}
	})
}

func (d spreadCase) measure(t *testing.T, seed uint64) cost {
	c := newCluster(t)
	c.seed = seed
	defer c.close()
	for i := range d.Nodes {
		c.start(fmt.Sprintf("n%d", i))
	}
	first, err := note.Shipped("toits_unis")
	if err != nil {
		t.Fatal(err)
	}
	a := &actor{cluster: c}
	if _, err := a.service(d.Offer).Submit(context.Background(), first); err != nil {
		t.Fatal(err)
	}
	a.await(1)
	time.Sleep(time.Duration(seed%1000) * time.Millisecond)
	for _, vm := range c.names() {
		c.faultsOf(vm).Add(d.Faults...)
	}
	a.kill(d.Kill)
	c.bytes.Store(0)
	second := note.Note{ID: "n2", BaseRevision: 1, Changed: note.Sections{
		Domains: map[string]note.FailureDomain{"north": {State: note.OutOfService}},
	}}
	if _, err := a.service(d.Offer).Submit(context.Background(), second); err != nil {
		t.Fatal(fault.From(err))
	}
	start := time.Now()
	a.await(2)
	result := cost{milliseconds: time.Since(start).Milliseconds(), peerBytes: c.bytes.Load() / int64(d.Nodes)}
	calls := c.calls()
	time.Sleep(time.Duration(d.IdleMS) * time.Millisecond)
	result.idleCalls = c.calls() - calls
	return result
}

// await waits until a revision is in force on all nodes.
func (a *actor) await(revision int64) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for len(Lagging(revision, a.revisions())) > 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
}

// kill cuts off nodes that stay in the list of live VMs, and takes them out of
// those that are awaited.
func (a *actor) kill(count int) {
	for i := range count {
		vm := fmt.Sprintf("n%d", i)
		a.connect([]string{vm}, a.names(), false)
		a.faultsOf(vm).Add(store.Fault{Kind: store.FaultDown})
		a.dead = append(a.dead, vm)
	}
}

// calls returns the number of calls to the store so far.
func (c *cluster) calls() int64 {
	total := int64(0)
	for _, count := range c.memory.Counts() {
		total += count
	}
	return total
}

func spreadOf(costs []cost, value func(cost) int64) string {
	var values []int64
	for _, c := range costs {
		values = append(values, value(c))
	}
	slices.Sort(values)
	return fmt.Sprintf("median %d, most %d of %d runs", values[len(values)/2], values[len(values)-1], len(values))
}
