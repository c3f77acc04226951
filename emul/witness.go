package emul

import (
	"sync"
	"time"
)

// CostRecorder keeps, for a whole fleet, what each request cost at each service.
// It serves experiments of bounded length and is never emptied.
type CostRecorder struct {
	mutex sync.Mutex
	costs map[workKey]Cost
}

// workKey names the work of one request at one service.
type workKey struct {
	request string
	service string
}

// Cost is what the runs of one request at one service took.
type Cost struct {
	Service string `json:"service"`
	Runs    int    `json:"runs"`
	// Keyed is the number of runs of non-idempotent calls.
	NonIdempotentRuns int           `json:"keyed"`
	Busy              time.Duration `json:"busy_ns"`
	Tokens            int           `json:"tokens"`
}

// begin counts the start of a run.
func (w *CostRecorder) begin(key workKey, keyed bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	c := w.costs[key]
	c.Service = key.service
	c.Runs++
	if keyed {
		c.NonIdempotentRuns++
	}
	w.set(key, c)
}

// end counts the time and the tokens of a run.
func (w *CostRecorder) end(key workKey, busy time.Duration, tokens int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	c := w.costs[key]
	c.Busy += busy
	c.Tokens += tokens
	w.set(key, c)
}

func (w *CostRecorder) set(key workKey, c Cost) {
	if w.costs == nil {
		w.costs = make(map[workKey]Cost)
	}
	w.costs[key] = c
}

// Costs returns the costs by request.
func (w *CostRecorder) Costs() map[string][]Cost {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	all := make(map[string][]Cost)
	for k, c := range w.costs {
		all[k.request] = append(all[k.request], c)
	}
	return all
}
