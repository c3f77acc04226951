package emul

import (
	"sync"
	"time"
)

// CostRecorder records the cost of each request at each service for a whole
// fleet. It serves experiments of bounded length and never drops records.
type CostRecorder struct {
	mutex sync.Mutex
	costs map[workKey]Cost
}

// workKey identifies the work of one request at one service.
type workKey struct {
	request string
	service string
}

// Cost is the cost of all runs of one request at one service.
type Cost struct {
	Service string `json:"service"`
	Runs    int    `json:"runs"`
	// NonIdempotentRuns is the number of runs of non-idempotent calls.
	NonIdempotentRuns int           `json:"keyed"`
	Busy              time.Duration `json:"busy_ns"`
	Tokens            int           `json:"tokens"`
}

// begin records the start of a run.
func (r *CostRecorder) begin(key workKey, nonIdempotent bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	c := r.costs[key]
	c.Service = key.service
	c.Runs++
	if nonIdempotent {
		c.NonIdempotentRuns++
	}
	r.set(key, c)
}

// end records the duration and the number of tokens of a run.
func (r *CostRecorder) end(key workKey, busy time.Duration, tokens int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	c := r.costs[key]
	c.Busy += busy
	c.Tokens += tokens
	r.set(key, c)
}

func (r *CostRecorder) set(key workKey, c Cost) {
	if r.costs == nil {
		r.costs = make(map[workKey]Cost)
	}
	r.costs[key] = c
}

// Costs returns the costs by request; those of one request are in no particular
// order.
func (r *CostRecorder) Costs() map[string][]Cost {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	all := make(map[string][]Cost)
	for k, c := range r.costs {
		all[k.request] = append(all[k.request], c)
	}
	return all
}
