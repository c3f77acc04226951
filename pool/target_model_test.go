package pool_test

import (
	"slices"
	"time"

	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/pool"
)

// serve simulates a dispatched call on its target.
func (e *env) serve(poolIndex int, a pool.Dispatch) {
	r, t := e.requests[a.Attempt], e.targets[a.Target]
	incarnation := t.incarnation
	r.target, r.incarnation, r.poolIndex = a.Target, incarnation, poolIndex
	r.attempts++
	service := e.Config.Sections.Services["model"]
	t.running++
	e.counts["dispatched"]++
	if !accepts(e.config, a.Target) {
		e.counts["sent_out_of_service"]++
	}
	workMS := float64(service.TypicalMS) * (0.75 + 0.5*e.random.Float64()) * t.slowdown
	workMS *= max(1, float64(t.running)/float64(e.Knee))
	if t.successes < service.WarmUpCalls && t.running > service.ColdLimit {
		e.counts["beyond_cold_limit"]++
		workMS *= 5
	}
	if r.prefix != 0 {
		workMS *= e.cacheFactor(t, r.prefix)
	}
	kind := pool.Succeeded
	if t.running > 3*e.Knee {
		kind, workMS = pool.Overloaded, 1
	}
	if left := float64(r.deadline.Sub(e.now)) / float64(time.Millisecond); workMS > left {
		kind, workMS = pool.Canceled, left // Canceled at its deadline.
	}
	e.after(time.Duration(workMS*float64(time.Millisecond)), func() {
		if t.incarnation == incarnation { // Otherwise the target crashed, which ended the call.
			e.end(a.Attempt, r, kind, workMS)
		}
	})
}

// cacheFactor looks up a prefix in the target's LRU cache, counts a hit or miss,
// and returns the factor by which it changes the call's time.
func (e *env) cacheFactor(t *modelTarget, prefix uint64) float64 {
	e.counts["prefixed"]++
	i := slices.Index(t.cache, prefix)
	if i >= 0 {
		e.counts["cache_hits"]++
		t.cache = append(slices.Delete(t.cache, i, i+1), prefix)
		return 0.5
	}
	t.cache = append(t.cache, prefix)
	t.cache = t.cache[max(0, len(t.cache)-e.CachedPrefixes):]
	return 1
}

func (e *env) end(id string, r *modelRequest, kind pool.OutcomeKind, workMS float64) {
	t := e.targets[r.target]
	t.running--
	e.counts["busy_ms"] += workMS
	switch kind {
	case pool.Succeeded:
		t.successes++
		e.add(r, "good", 1)
	case pool.Canceled:
		e.counts["wasted_ms"] += workMS
	default:
		e.counts["refused_by_target"]++
	}
	e.reportOutcome(id, r, pool.Outcome{Kind: kind, Latency: time.Duration(workMS * float64(time.Millisecond))})
	if kind == pool.Overloaded {
		e.failed(r, fault.New(fault.Busy, fault.NotRun, "overloaded"))
	}
}

func (e *env) reportOutcome(id string, r *modelRequest, outcome pool.Outcome) {
	delete(e.requests, id)
	e.perform(r.poolIndex, e.pools[r.poolIndex].Step(e.now, pool.Finished{Attempt: id, Outcome: outcome}))
}

func (e *env) injectFault(f modelFault) {
	switch f.Kind {
	case "crash":
		e.crash(f.Target)
	case "slow":
		e.targets[f.Target].slowdown = f.Factor
	case "domain_out":
		e.configure(withDomain(e.config, f.Target, note.OutOfService))
	case "domain_in":
		e.configure(withDomain(e.config, f.Target, note.InService))
	case "kill_owner":
		for i, p := range e.newPools() {
			e.pools[i] = p
			e.perform(i, p.Step(e.now, pool.TakenOver{}))
		}
	}
}

func (e *env) configure(config note.Config) {
	e.config = config
	for _, n := range e.nodes {
		n.chooser.Configure(config)
	}
	for i, p := range e.pools {
		e.perform(i, p.Step(e.now, pool.Configured{Config: config}))
	}
}

func (e *env) crash(name string) {
	t := e.targets[name]
	t.incarnation++
	t.running, t.successes, t.cache = 0, 0, nil
	var lost []string
	for id, r := range e.requests {
		if r.target == name && r.incarnation < t.incarnation {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	for _, id := range lost {
		r := e.requests[id]
		e.reportOutcome(id, r, pool.Outcome{Kind: pool.Crashed})
		e.failed(r, fault.New(fault.ConnectionLost, fault.MayHaveRun, "crashed"))
	}
}

// metrics returns the counters and the ratios that experiments check.
func (e *env) metrics() map[string]float64 {
	c := e.counts
	seconds := float64(e.LengthMS-e.WarmUpMS) / 1000
	service := e.Config.Sections.Services["model"]
	capacity := float64(len(e.targets)*e.Knee) * 1000 / float64(service.TypicalMS) * seconds
	c["goodput"] = c["good"] / min(capacity, c["offered"])
	c["wasted"] = c["wasted_ms"] / max(1, c["busy_ms"])
	c["hit_ratio"] = c["cache_hits"] / max(1, c["prefixed"])
	for _, s := range e.Streams {
		c["attainment_"+s.Account] = c["good_"+s.Account] / max(1, c["offered_"+s.Account])
		c["attainment_"+s.Class] = c["good_"+s.Class] / max(1, c["offered_"+s.Class])
	}
	return c
}
