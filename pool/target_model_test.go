package pool_test

import (
	"slices"
	"time"

	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/pool"
)

// serve runs a dispatched call on its modelled target.
func (w *world) serve(host int, a pool.Dispatch) {
	r, t := w.runs[a.Attempt], w.targets[a.Target]
	life := t.life
	r.target, r.life, r.host = a.Target, life, host
	r.tries++
	service := w.Config.Sections.Services["model"]
	t.running++
	w.count["dispatched"]++
	if !open(w.config, a.Target) {
		w.count["sent_out_of_service"]++
	}
	work := float64(service.TypicalMS) * (0.75 + 0.5*w.random.Float64()) * t.slow
	work *= max(1, float64(t.running)/float64(w.Knee))
	if t.proofs < service.WarmUpCalls && t.running > service.ColdLimit {
		w.count["beyond_cold_limit"]++
		work *= 5
	}
	if r.prefix != 0 {
		work *= w.cacheFactor(t, r.prefix)
	}
	kind := pool.Succeeded
	if t.running > 3*w.Knee {
		kind, work = pool.Overloaded, 1
	}
	if left := float64(r.due.Sub(w.now)) / float64(time.Millisecond); work > left {
		kind, work = pool.Canceled, left // Nobody waits any longer.
	}
	w.after(time.Duration(work*float64(time.Millisecond)), func() {
		if t.life == life { // Otherwise a crash has ended the call.
			w.end(a.Attempt, r, kind, work)
		}
	})
}

// cacheFactor counts a hit or miss of the target's cache of recent prefixes.
func (w *world) cacheFactor(t *modelTarget, prefix uint64) float64 {
	w.count["prefixed"]++
	i := slices.Index(t.cache, prefix)
	if i >= 0 {
		w.count["cache_hits"]++
		t.cache = append(slices.Delete(t.cache, i, i+1), prefix)
		return 0.5
	}
	t.cache = append(t.cache, prefix)
	t.cache = t.cache[max(0, len(t.cache)-w.CacheSize):]
	return 1
}

func (w *world) end(id string, r *modelRun, kind pool.OutcomeKind, work float64) {
	t := w.targets[r.target]
	t.running--
	w.count["busy_ms"] += work
	switch kind {
	case pool.Succeeded:
		t.proofs++
		w.tally(r, "good", 1)
	case pool.Canceled:
		w.count["wasted_ms"] += work
	default:
		w.count["refused_by_target"]++
	}
	w.tell(id, r, pool.Outcome{Kind: kind, Latency: time.Duration(work * float64(time.Millisecond))})
	if kind == pool.Overloaded {
		w.failed(r, fault.New(fault.Busy, fault.NotRun, "overloaded"))
	}
}

func (w *world) tell(id string, r *modelRun, outcome pool.Outcome) {
	delete(w.runs, id)
	w.act(r.host, w.pools[r.host].Step(w.now, pool.Finished{Attempt: id, Outcome: outcome}))
}

func (w *world) fault(f modelFault) {
	switch f.Kind {
	case "crash":
		w.crash(f.Target)
	case "slow":
		w.targets[f.Target].slow = f.Factor
	case "domain_out":
		w.configure(withDomain(w.config, f.Target, note.OutOfService))
	case "domain_in":
		w.configure(withDomain(w.config, f.Target, note.InService))
	case "kill_owner":
		for i, p := range w.newPools() {
			w.pools[i] = p
			w.act(i, p.Step(w.now, pool.TakenOver{}))
		}
	}
}

func (w *world) configure(config note.Config) {
	w.config = config
	for _, n := range w.nodes {
		n.chooser.Configure(config)
	}
	for i, p := range w.pools {
		w.act(i, p.Step(w.now, pool.Configured{Config: config}))
	}
}

func (w *world) crash(name string) {
	t := w.targets[name]
	t.life++
	t.running, t.proofs, t.cache = 0, 0, nil
	var lost []string
	for id, r := range w.runs {
		if r.target == name && r.life < t.life {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	for _, id := range lost {
		r := w.runs[id]
		w.tell(id, r, pool.Outcome{Kind: pool.Crashed})
		w.failed(r, fault.New(fault.ConnectionLost, fault.MayHaveRun, "crashed"))
	}
}

// figures returns the counts and the ratios that experiments are judged by.
func (w *world) figures() map[string]float64 {
	c := w.count
	seconds := float64(w.LengthMS-w.SettleMS) / 1000
	service := w.Config.Sections.Services["model"]
	capacity := float64(len(w.targets)*w.Knee) * 1000 / float64(service.TypicalMS) * seconds
	c["goodput"] = c["good"] / min(capacity, c["offered"])
	c["wasted"] = c["wasted_ms"] / max(1, c["busy_ms"])
	c["hit_ratio"] = c["cache_hits"] / max(1, c["prefixed"])
	for _, s := range w.Streams {
		c["attainment_"+s.Account] = c["good_"+s.Account] / max(1, c["offered_"+s.Account])
		c["attainment_"+s.Class] = c["good_"+s.Class] / max(1, c["offered_"+s.Class])
	}
	return c
}
