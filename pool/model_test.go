package pool_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"bergamotworks/note"
	"bergamotworks/pool"
)

// experiment is a data file: simulated targets under load in virtual time, and
// bounds for the resulting metrics.
type experiment struct {
	About          string             `json:"about"`
	Config         note.Config        `json:"config"`
	Nodes          int                `json:"nodes"`
	Knee           int                `json:"knee"` // Concurrent calls beyond which a warm target slows down.
	LengthMS       int64              `json:"length_ms"`
	WarmUpMS       int64              `json:"settle_ms"` // Requests that arrive earlier are not counted, so that targets are warm.
	Streams        []stream           `json:"streams"`
	Faults         []modelFault       `json:"faults"`
	ReportMS       int64              `json:"report_ms"`
	Prefixes       int                `json:"prefixes"`   // Distinct prompt prefixes; zero means none.
	CachedPrefixes int                `json:"cache_size"` // Prefixes that the cache of a target holds.
	AffinityBound  float64            `json:"bound"`      // See pool.Pool.AffinityBound.
	AtLeast        map[string]float64 `json:"at_least"`
	AtMost         map[string]float64 `json:"at_most"`
}

// stream is a Poisson stream of requests of one client account in one class.
type stream struct {
	Account    string  `json:"account"`
	Class      string  `json:"class"`
	PerSecond  float64 `json:"per_second"`
	DeadlineMS int64   `json:"deadline_ms"`
	RetryMS    int64   `json:"retry_ms"` // Delay before the client retries; zero means that it does not.
}

type modelFault struct {
	AtMS   int64   `json:"at_ms"`
	Kind   string  `json:"kind"` // crash, slow, domain_out, domain_in, kill_owner
	Target string  `json:"target"`
	Factor float64 `json:"factor"`
}

// drainTime is the time after LengthMS in which counted requests may still finish.
const drainTime = time.Second

// env simulates the nodes and targets of an experiment in virtual time.
type env struct {
	experiment
	policy   pool.Policy
	random   *rand.Rand
	now      time.Time
	timers   timerHeap
	specs    []pool.Spec
	pools    []*pool.Pool // By node, then by spec; under Owned, one set for all nodes.
	nodes    []*modelNode
	targets  map[string]*modelTarget
	requests map[string]*modelRequest
	sequence int
	config   note.Config
	counts   map[string]float64
}

// modelTarget is the simulated state of a target.
type modelTarget struct {
	running, successes int
	slowdown           float64
	incarnation        int
	cache              []uint64
}

type modelRequest struct {
	stream      stream
	arrived     time.Time
	deadline    time.Time
	prefix      uint64
	node        int // Index of the node that received the request.
	poolIndex   int // Index in env.pools of the pool that has the call.
	target      string
	incarnation int
	attempts    int // Dispatched attempts.
	rejections  int
	avoidPools  []string // Pools of earlier attempts.
}

type timer struct {
	at       time.Time
	sequence int
	fire     func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].sequence < h[j].sequence
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

func (e *env) after(delay time.Duration, fire func()) {
	e.sequence++
	heap.Push(&e.timers, timer{at: e.now.Add(delay), sequence: e.sequence, fire: fire})
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// run simulates the experiment under a policy and returns its metrics.
func (x experiment) run(policy pool.Policy) map[string]float64 {
	e := &env{experiment: x, policy: policy, random: rand.New(rand.NewPCG(1, 2)), now: origin, config: x.Config,
		targets: make(map[string]*modelTarget), requests: make(map[string]*modelRequest), counts: make(map[string]float64)}
	for n := range x.Config.Sections.Targets {
		e.targets[n] = &modelTarget{slowdown: 1}
	}
	e.specs = pool.Split(x.Config)
	for i := range max(1, x.Nodes) {
		e.nodes = append(e.nodes, e.newNode(i))
		if i == 0 || policy != pool.Owned {
			e.pools = append(e.pools, e.newPools()...)
		}
	}
	for _, s := range x.Streams {
		e.after(0, func() { e.arrive(s) })
	}
	for _, f := range x.Faults {
		e.after(milliseconds(f.AtMS), func() { e.injectFault(f) })
	}
	e.after(0, e.tick)
	end := origin.Add(milliseconds(x.LengthMS) + drainTime)
	for len(e.timers) > 0 && e.timers[0].at.Before(end) {
		next := heap.Pop(&e.timers).(timer)
		e.now = next.at
		next.fire()
	}
	return e.metrics()
}

func (e *env) newPools() []*pool.Pool {
	var pools []*pool.Pool
	for _, s := range e.specs {
		pools = append(pools, &pool.Pool{Spec: s, Config: e.config, Policy: e.policy, Nodes: e.Nodes, AffinityBound: e.AffinityBound})
	}
	return pools
}

func (e *env) tick() {
	for i, p := range e.pools {
		e.perform(i, p.Step(e.now, pool.Ticked{}))
	}
	e.after(20*time.Millisecond, e.tick)
	if e.now.Sub(origin)%(100*time.Millisecond) == 0 {
		e.summarize()
	}
	if e.ReportMS == 0 || e.now.Sub(origin)%milliseconds(e.ReportMS) != 0 {
		return
	}
	for n, t := range e.targets {
		load := pool.LoadReport{Incarnation: uint64(t.incarnation + 1), Running: t.running, Cached: -1, Age: milliseconds(e.ReportMS)}
		e.after(milliseconds(e.ReportMS), func() {
			for i, p := range e.pools {
				e.perform(i, p.Step(e.now, pool.LoadReported{Target: n, Load: load}))
			}
		})
	}
}

func (e *env) arrive(s stream) {
	e.after(time.Duration(e.random.ExpFloat64()/s.PerSecond*float64(time.Second)), func() { e.arrive(s) })
	r := &modelRequest{stream: s, arrived: e.now, deadline: e.now.Add(milliseconds(s.DeadlineMS))}
	if e.Prefixes > 0 {
		r.prefix = uint64(min(e.random.IntN(e.Prefixes), e.random.IntN(e.Prefixes))) + 1
	}
	e.add(r, "offered", 1)
	e.send(r)
}

func (e *env) perform(poolIndex int, actions []pool.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case pool.Dispatch:
			e.serve(poolIndex, a)
		case pool.Reject:
			r := e.requests[a.Attempt]
			delete(e.requests, a.Attempt)
			r.rejections++
			e.failed(r, a.Err)
		}
	}
}

// clientRetry makes the client retry its request, at a random node.
func (e *env) clientRetry(r *modelRequest) {
	delay := milliseconds(r.stream.RetryMS)
	if delay > 0 && e.now.Add(delay).Before(r.deadline) {
		e.after(delay, func() { e.send(r) })
	}
}

// add adds n to a counter, unless the request arrived during the warm-up or the
// drain time of the experiment.
func (e *env) add(r *modelRequest, name string, n float64) {
	age := r.arrived.Sub(origin)
	if age < milliseconds(e.WarmUpMS) || age >= milliseconds(e.LengthMS) {
		return
	}
	e.counts[name] += n
	e.counts[name+"_"+r.stream.Account] += n
	e.counts[name+"_"+r.stream.Class] += n
}
