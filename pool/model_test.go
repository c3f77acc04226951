package pool_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"bergamotworks/note"
	"bergamotworks/pool"
)

// experiment is a data file: modelled targets under load in virtual time.
type experiment struct {
	About     string             `json:"about"`
	Config    note.Config        `json:"config"`
	Nodes     int                `json:"nodes"`
	Knee      int                `json:"knee"` // Calls that a warm target runs at full speed.
	LengthMS  int64              `json:"length_ms"`
	SettleMS  int64              `json:"settle_ms"` // Requests that arrive earlier are not counted.
	Streams   []stream           `json:"streams"`
	Faults    []modelFault       `json:"faults"`
	ReportMS  int64              `json:"report_ms"`
	Prefixes  int                `json:"prefixes"` // Distinct prompt prefixes; zero means none.
	CacheSize int                `json:"cache_size"`
	Bound     float64            `json:"bound"`
	AtLeast   map[string]float64 `json:"at_least"`
	AtMost    map[string]float64 `json:"at_most"`
}

// stream is a flow of requests from one account in one class.
type stream struct {
	Account    string  `json:"account"`
	Class      string  `json:"class"`
	PerSecond  float64 `json:"per_second"`
	DeadlineMS int64   `json:"deadline_ms"`
	RetryMS    int64   `json:"retry_ms"` // Pause of the caller before it repeats; zero means that it gives up.
}

type modelFault struct {
	AtMS   int64   `json:"at_ms"`
	Kind   string  `json:"kind"` // crash, slow, domain_out, domain_in, kill_owner
	Target string  `json:"target"`
	Factor float64 `json:"factor"`
}

// tail is the time that the last counted requests have to end.
const tail = time.Second

// world runs an experiment.
type world struct {
	experiment
	policy  pool.Policy
	random  *rand.Rand
	now     time.Time
	events  schedule
	specs   []pool.Spec
	pools   []*pool.Pool // By node, then by spec; one node owns all under Owned.
	nodes   []*modelNode
	targets map[string]*modelTarget
	runs    map[string]*modelRun
	tries   int
	config  note.Config
	count   map[string]float64
}

// modelTarget is what the target itself knows.
type modelTarget struct {
	running, proofs int
	slow            float64
	life            int
	cache           []uint64
}

type modelRun struct {
	stream  stream
	arrived time.Time
	due     time.Time
	prefix  uint64
	node    int // Entry node.
	host    int // Index of the pool that has the call.
	target  string
	life    int
	tries   int // Attempts that were dispatched.
	refused int
	avoid   []string // Pools that have been tried.
}

type scheduled struct {
	at   time.Time
	tie  int
	work func()
}

type schedule []scheduled

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || s[i].at.Equal(s[j].at) && s[i].tie < s[j].tie
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(scheduled)) }
func (s *schedule) Pop() any {
	last := len(*s) - 1
	x := (*s)[last]
	*s = (*s)[:last]
	return x
}

func (w *world) after(wait time.Duration, work func()) {
	w.tries++
	heap.Push(&w.events, scheduled{at: w.now.Add(wait), tie: w.tries, work: work})
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// run plays the experiment under a policy and returns what was counted.
func (e experiment) run(policy pool.Policy) map[string]float64 {
	w := &world{experiment: e, policy: policy, random: rand.New(rand.NewPCG(1, 2)), now: origin, config: e.Config,
		targets: make(map[string]*modelTarget), runs: make(map[string]*modelRun), count: make(map[string]float64)}
	for n := range e.Config.Sections.Targets {
		w.targets[n] = &modelTarget{slow: 1}
	}
	w.specs = pool.Split(e.Config)
	for i := range max(1, e.Nodes) {
		w.nodes = append(w.nodes, w.newNode(i))
		if i == 0 || policy != pool.Owned {
			w.pools = append(w.pools, w.newPools()...)
		}
	}
	for _, s := range e.Streams {
		w.after(0, func() { w.arrive(s) })
	}
	for _, f := range e.Faults {
		w.after(milliseconds(f.AtMS), func() { w.fault(f) })
	}
	w.after(0, w.tick)
	end := origin.Add(milliseconds(e.LengthMS) + tail)
	for len(w.events) > 0 && w.events[0].at.Before(end) {
		next := heap.Pop(&w.events).(scheduled)
		w.now = next.at
		next.work()
	}
	return w.figures()
}

func (w *world) newPools() []*pool.Pool {
	var pools []*pool.Pool
	for _, s := range w.specs {
		pools = append(pools, &pool.Pool{Spec: s, Config: w.config, Policy: w.policy, Nodes: w.Nodes, AffinityBound: w.Bound})
	}
	return pools
}

func (w *world) tick() {
	for i, p := range w.pools {
		w.act(i, p.Step(w.now, pool.Ticked{}))
	}
	w.after(20*time.Millisecond, w.tick)
	if w.now.Sub(origin)%(100*time.Millisecond) == 0 {
		w.summarize()
	}
	if w.ReportMS == 0 || w.now.Sub(origin)%milliseconds(w.ReportMS) != 0 {
		return
	}
	for n, t := range w.targets {
		load := pool.LoadReport{Incarnation: uint64(t.life + 1), Running: t.running, Cached: -1, Age: milliseconds(w.ReportMS)}
		w.after(milliseconds(w.ReportMS), func() {
			for i, p := range w.pools {
				w.act(i, p.Step(w.now, pool.LoadReported{Target: n, Load: load}))
			}
		})
	}
}

func (w *world) arrive(s stream) {
	w.after(time.Duration(w.random.ExpFloat64()/s.PerSecond*float64(time.Second)), func() { w.arrive(s) })
	r := &modelRun{stream: s, arrived: w.now, due: w.now.Add(milliseconds(s.DeadlineMS))}
	if w.Prefixes > 0 {
		r.prefix = uint64(min(w.random.IntN(w.Prefixes), w.random.IntN(w.Prefixes))) + 1
	}
	w.tally(r, "offered", 1)
	w.enter(r)
}

func (w *world) act(host int, actions []pool.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case pool.Dispatch:
			w.serve(host, a)
		case pool.Refuse:
			r := w.runs[a.Attempt]
			delete(w.runs, a.Attempt)
			r.refused++
			w.failed(r, a.Err)
		}
	}
}

// again lets the caller repeat its request, on whichever node it arrives.
func (w *world) again(r *modelRun) {
	pause := milliseconds(r.stream.RetryMS)
	if pause > 0 && w.now.Add(pause).Before(r.due) {
		w.after(pause, func() { w.enter(r) })
	}
}

// tally counts requests, not those that arrived while the experiment settled or
// in its tail.
func (w *world) tally(r *modelRun, what string, n float64) {
	age := r.arrived.Sub(origin)
	if age < milliseconds(w.SettleMS) || age >= milliseconds(w.LengthMS) {
		return
	}
	w.count[what] += n
	w.count[what+"_"+r.stream.Account] += n
	w.count[what+"_"+r.stream.Class] += n
}
