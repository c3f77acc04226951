package burn

import (
	"sync"
	"time"

	"bergamotworks/fault"
	"bergamotworks/note"
)

// Recorder counts the outcomes of one node. Its memory is bounded: 4096 series
// of at most 8.7 KB each, of which 512 carry histograms of 14 KB, and 16384
// costs of at most 200 bytes. What does not fit is counted under "(other)", so
// that sums stay exact. The zero value is ready and safe for concurrent use.
type Recorder struct {
	mutex      sync.Mutex
	since      time.Time
	byPipeline map[string][]objective
	byClass    map[string][]objective
	series     map[Key]*series
	histograms int // Series with histograms.
	costs      map[CostKey]*Cost
}

type objective struct {
	name    string
	latency time.Duration // Zero means the request's deadline.
}

// Configure sets the objectives by name. Outcomes without an objective are
// counted under "(none)".
func (r *Recorder) Configure(objectives map[string]note.Objective) {
	byPipeline, byClass := map[string][]objective{}, map[string][]objective{}
	for name, o := range objectives {
		compiled := objective{name: name, latency: time.Duration(o.LatencyMS) * time.Millisecond}
		if o.Pipeline != "" {
			byPipeline[o.Pipeline] = append(byPipeline[o.Pipeline], compiled)
		} else {
			byClass[o.Class] = append(byClass[o.Class], compiled)
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.byPipeline = byPipeline
	r.byClass = byClass
}

// Record counts one outcome.
func (r *Recorder) Record(o Outcome) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.series == nil {
		r.series = map[Key]*series{}
		r.costs = map[CostKey]*Cost{}
		r.since = o.At
	}
	r.recordCosts(o)
	matched := false
	for _, g := range r.byPipeline[o.Pipeline] {
		r.recordObjective(o, g)
		matched = true
	}
	for _, g := range r.byClass[o.Class] {
		r.recordObjective(o, g)
		matched = true
	}
	if !matched {
		r.recordObjective(o, objective{name: noObjective})
	}
}

func (r *Recorder) recordObjective(o Outcome, g objective) {
	counts := Counts{Total: 1}
	switch {
	case o.Attained && (g.latency == 0 || o.Latency <= g.latency):
		counts.Good = 1
	case o.Refused:
		counts.Refused = 1
	case !o.Attained && o.Verdict == fault.MayHaveRun:
		counts.MayHaveRun = 1
	}
	if o.Retried {
		counts.Retried = 1
	}
	r.find(Key{Objective: g.name, Dimension: Total}).add(o, counts)
	if o.Domain != "" {
		r.find(Key{Objective: g.name, Dimension: Domain, Name: o.Domain}).add(o, counts)
	}
	r.find(Key{Objective: g.name, Dimension: Account, Name: o.Account}).add(o, counts)
}

// find returns the series of the key, or of "(other)" when there is no room.
func (r *Recorder) find(key Key) *series {
	if s := r.series[key]; s != nil {
		return s
	}
	full := len(r.series) >= maxSeries
	if key.Dimension != Account {
		full = r.histograms >= maxDomainSeries
	}
	if full && key.Dimension != Total && key.Name != otherName {
		key.Name = otherName
		return r.find(key)
	}
	s := newSeries(key.Dimension)
	if s.latency != nil {
		r.histograms++
	}
	r.series[key] = s
	return s
}

func (r *Recorder) recordCosts(o Outcome) {
	for _, s := range o.Stages {
		key := CostKey{Account: o.Account, Pipeline: o.Pipeline, Stage: s.Stage, Service: s.Service}
		c := r.costs[key]
		if c == nil && len(r.costs) >= maxCosts {
			key.Account = otherName
			c = r.costs[key]
		}
		if c == nil {
			c = &Cost{}
			r.costs[key] = c
		}
		*c = c.plus(s.cost())
	}
}
