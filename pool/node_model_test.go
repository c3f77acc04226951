package pool_test

import (
	"fmt"
	"slices"
	"time"

	"bergamotworks/fault"
	"bergamotworks/pool"
	"bergamotworks/ports"
	"bergamotworks/retry"
	"bergamotworks/route"
)

const (
	hopTime      = 2 * time.Millisecond  // Time for one more try inside.
	summaryDelay = 50 * time.Millisecond // Age of a summary when it arrives.
)

// modelNode is one entry node: it chooses pools and retries.
type modelNode struct {
	chooser *route.Chooser
	budget  *retry.Budget
}

func (w *world) newNode(i int) *modelNode {
	n := &modelNode{chooser: &route.Chooser{Random: ports.NewSeededRandom(uint64(i) + 1)}, budget: &retry.Budget{RetryRatio: 0.1}}
	n.chooser.Configure(w.Config)
	return n
}

// enter brings a request to some node.
func (w *world) enter(r *modelRun) {
	r.node = w.random.IntN(len(w.nodes))
	r.tries, r.refused, r.avoid = 0, 0, nil
	w.nodes[r.node].budget.RecordFirstAttempt(w.now)
	w.submit(r)
}

func (w *world) submit(r *modelRun) {
	name, err := w.nodes[r.node].chooser.Choose(w.now, route.Request{Service: "model", Prefix: r.prefix, AvoidPools: r.avoid})
	if err != nil {
		w.again(r)
		return
	}
	r.avoid = append(r.avoid, name)
	r.host = slices.IndexFunc(w.specs, func(s pool.Spec) bool { return s.Name == name })
	if w.policy != pool.Owned {
		r.host += r.node * len(w.specs)
	}
	w.tries++
	id := fmt.Sprint("c", w.tries)
	w.runs[id] = r
	r.target = ""
	call := pool.Call{Attempt: id, Account: r.stream.Account, Class: r.stream.Class, Deadline: r.due, Prefix: r.prefix, Idempotent: true}
	w.act(r.host, w.pools[r.host].Step(w.now, pool.Submitted{Call: call}))
}

// failed decides what becomes of a call that was refused or lost.
func (w *world) failed(r *modelRun, err *fault.Error) {
	n := w.nodes[r.node]
	if err.Verdict == fault.NotRun {
		n.chooser.Refused(w.now, w.specs[r.host%len(w.specs)].Name, err.RetryAfter)
	}
	failure := retry.Failure{Err: err, Idempotent: true, Attempts: r.tries, Refusals: r.refused, Deadline: r.due}
	switch retry.Decide(w.now, failure, n.budget) {
	case retry.Retry, retry.Reroute:
		w.count["repeated"]++
		w.after(hopTime, func() { w.submit(r) })
	case retry.Stop:
		w.again(r)
	}
}

// summarize spreads the summaries of all pools to the nodes.
func (w *world) summarize() {
	for i, p := range w.pools {
		s := p.Summary(w.now)
		w.after(summaryDelay, func() {
			for k, n := range w.nodes {
				if w.policy == pool.Owned || i/len(w.specs) == k {
					n.chooser.Observe(w.now, s)
				}
			}
		})
	}
}
