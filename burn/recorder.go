package burn

import (
	"sync"
	"time"

	"bergamotworks/fault"
	"bergamotworks/note"
)

// Recorder counts the outcomes of one node. Its memory is bounded by maxSeries of
// at most 8.7 KB each, maxHistogramSeries of them with histograms of 14 KB more, and
// maxCosts of at most 200 bytes each, about 46 MB together. Beyond these limits
// outcomes are counted under the name "(other)", so that sums stay exact. The zero
// value is ready for use. A Recorder is safe for concurrent use.
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
	latency time.Duration // Latency target; zero means the request's deadline.
}

// Configure sets the objectives, which are keyed by name. An outcome to which
// no objective applies is counted under "(none)".
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

// Record counts one outcome under every objective that applies to it.
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

// recordObjective counts the outcome under one objective. A complete response beyond
// the latency target and a failure with the verdict Ran are counted only in Total and
// Retried.
func (r *Recorder) recordObjective(o Outcome, g objective) {
	counts := Counts{Total: 1}
	switch {
	case o.Attained && (g.latency == 0 || o.Latency <= g.latency):
		counts.Good = 1
	case o.Rejected:
		counts.Rejected = 1
	case !o.Attained && o.Verdict == fault.MayHaveRun:
		counts.MayHaveRun = 1
	}
	if o.Retried {
		counts.Retried = 1
	}
	r.seriesFor(Key{Objective: g.name, Dimension: Total}).add(o, counts)
	if o.Domain != "" {
		r.seriesFor(Key{Objective: g.name, Dimension: Domain, Name: o.Domain}).add(o, counts)
	}
	r.seriesFor(Key{Objective: g.name, Dimension: Account, Name: o.Account}).add(o, counts)
}

// seriesFor returns the series of the key and creates it if needed. When the limit
// is reached, which is maxSeries for client accounts and maxHistogramSeries for
// failure domains, it returns the series of the dimension named "(other)".
func (r *Recorder) seriesFor(key Key) *series {
	if s := r.series[key]; s != nil {
		return s
	}
	full := len(r.series) >= maxSeries
	if key.Dimension != Account {
		full = r.histograms >= maxHistogramSeries
	}
	if full && key.Dimension != Total && key.Name != otherName {
		key.Name = otherName
		return r.seriesFor(key)
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
