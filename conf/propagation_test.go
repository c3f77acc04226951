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

// propagationCase measures the time from the acceptance of a note until it is
// active on all nodes, by the clock of synctest, and the bytes that the peers
// exchange for it.
type propagationCase struct {
	Nodes         int           `json:"nodes"`
	Runs          int           `json:"runs"`
	SubmitVM      string        `json:"offer"`    // VM that the note is submitted at; "operator" submits directly to the store.
	Faults        []store.Fault `json:"faults"`   // Between all nodes and the store.
	IsolatedNodes int           `json:"kill"`     // Number of nodes isolated before the submission.
	IdleMS        int64         `json:"idle_ms"`  // Time during which store calls are counted without a change.
	LimitMS       int64         `json:"limit_ms"` // Maximum propagation time.
}

// cost is the cost of one note.
type cost struct {
	milliseconds int64
	peerBytes    int64 // Per node.
	idleCalls    int64 // Calls of all nodes to the store.
}

func TestPropagation(t *testing.T) {
	script.Run(t, "testdata/spread/*.json", func(t *testing.T, data propagationCase) {
		var costs []cost
		for run := range data.Runs {
			synctest.Test(t, func(t *testing.T) {
				costs = append(costs, data.measure(t, uint64(run*data.Nodes)))
			})
		}
		t.Logf("milliseconds until active on all nodes: %s", distribution(costs, func(c cost) int64 { return c.milliseconds }))
		t.Logf("bytes between peers per node: %s", distribution(costs, func(c cost) int64 { return c.peerBytes }))
		t.Logf("calls to the store without a change: %s", distribution(costs, func(c cost) int64 { return c.idleCalls }))
		for run, c := range costs {
			if c.milliseconds > data.LimitMS {
				t.Errorf("run %d took %d ms", run, c.milliseconds)
			}
		}
	})
}

func (d propagationCase) measure(t *testing.T, seed uint64) cost {
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
	r := &runner{cluster: c}
	if _, err := r.service(d.SubmitVM).Submit(context.Background(), first); err != nil {
		t.Fatal(err)
	}
	r.await(1)
	time.Sleep(time.Duration(seed%1000) * time.Millisecond)
	for _, vm := range c.names() {
		c.faultsOf(vm).Add(d.Faults...)
	}
	r.isolate(d.IsolatedNodes)
	c.bytes.Store(0)
	second := note.Note{ID: "n2", BaseRevision: 1, Changed: note.Sections{
		Domains: map[string]note.FailureDomain{"north": {State: note.OutOfService}},
	}}
	if _, err := r.service(d.SubmitVM).Submit(context.Background(), second); err != nil {
		t.Fatal(fault.From(err))
	}
	start := time.Now()
	r.await(2)
	result := cost{milliseconds: time.Since(start).Milliseconds(), peerBytes: c.bytes.Load() / int64(d.Nodes)}
	calls := c.calls()
	time.Sleep(time.Duration(d.IdleMS) * time.Millisecond)
	result.idleCalls = c.calls() - calls
	return result
}

// await waits up to a minute until a revision is active on all nodes that are
// not isolated.
func (r *runner) await(revision int64) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for len(Lagging(revision, r.revisions())) > 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
}

// isolate cuts the connections of count nodes. They remain in the list of live
// VMs, but await ignores them.
func (r *runner) isolate(count int) {
	for i := range count {
		vm := fmt.Sprintf("n%d", i)
		r.connect([]string{vm}, r.names(), false)
		r.faultsOf(vm).Add(store.Fault{Kind: store.FaultDown})
		r.isolated = append(r.isolated, vm)
	}
}

// calls returns the number of store calls so far.
func (c *cluster) calls() int64 {
	total := int64(0)
	for _, count := range c.memory.Counts() {
		total += count
	}
	return total
}

func distribution(costs []cost, value func(cost) int64) string {
	var values []int64
	for _, c := range costs {
		values = append(values, value(c))
	}
	slices.Sort(values)
	return fmt.Sprintf("median %d, maximum %d in %d runs", values[len(values)/2], values[len(values)-1], len(values))
}
