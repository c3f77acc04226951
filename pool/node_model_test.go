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
	retryDelay   = 2 * time.Millisecond  // Time between a failure and the retry by the node.
	summaryDelay = 50 * time.Millisecond // Age of a summary when it reaches other nodes.
)

// modelNode simulates a node that receives requests: it chooses pools and retries.
type modelNode struct {
	chooser *route.Chooser
	budget  *retry.Budget
}

func (e *env) newNode(i int) *modelNode {
	n := &modelNode{chooser: &route.Chooser{Random: ports.NewSeededRandom(uint64(i) + 1)}, budget: &retry.Budget{RetryRatio: 0.1}}
	n.chooser.Configure(e.Config)
	return n
}

// send sends a request of a client to a random node.
func (e *env) send(r *modelRequest) {
	r.node = e.random.IntN(len(e.nodes))
	r.attempts, r.rejections, r.avoidPools = 0, 0, nil
	e.nodes[r.node].budget.RecordFirstAttempt(e.now)
	e.submit(r)
}

func (e *env) submit(r *modelRequest) {
	name, err := e.nodes[r.node].chooser.Choose(e.now, route.Request{Service: "model", Prefix: r.prefix, AvoidPools: r.avoidPools})
	if err != nil {
		e.clientRetry(r)
		return
	}
	r.avoidPools = append(r.avoidPools, name)
	r.poolIndex = slices.IndexFunc(e.specs, func(s pool.Spec) bool { return s.Name == name })
	if e.policy != pool.Owned {
		r.poolIndex += r.node * len(e.specs)
	}
	e.sequence++
	id := fmt.Sprint("c", e.sequence)
	e.requests[id] = r
	r.target = ""
	call := pool.Call{Attempt: id, Account: r.stream.Account, Class: r.stream.Class, Deadline: r.deadline, Prefix: r.prefix, Idempotent: true}
	e.perform(r.poolIndex, e.pools[r.poolIndex].Step(e.now, pool.Submitted{Call: call}))
}

// failed retries a request whose call was rejected or lost. If no retry is allowed,
// the client may send the request again.
func (e *env) failed(r *modelRequest, err *fault.Error) {
	n := e.nodes[r.node]
	if err.Verdict == fault.NotRun {
		n.chooser.RecordRejection(e.now, e.specs[r.poolIndex%len(e.specs)].Name, err.RetryAfter)
	}
	failure := retry.Failure{Err: err, Idempotent: true, Attempts: r.attempts, Rejections: r.rejections, Deadline: r.deadline}
	switch retry.Decide(e.now, failure, n.budget) {
	case retry.Retry, retry.Reroute:
		e.counts["repeated"]++
		e.after(retryDelay, func() { e.submit(r) })
	case retry.Stop:
		e.clientRetry(r)
	}
}

// summarize sends the summaries of all pools to the nodes.
func (e *env) summarize() {
	for i, p := range e.pools {
		s := p.Summary(e.now)
		e.after(summaryDelay, func() {
			for k, n := range e.nodes {
				if e.policy == pool.Owned || i/len(e.specs) == k {
					n.chooser.Observe(e.now, s)
				}
			}
		})
	}
}
