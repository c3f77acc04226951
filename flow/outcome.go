package flow

import (
	"time"

	"bergamotworks/fault"
)

// Outcome describes one finished run for the recorder of objectives and costs.
type Outcome struct {
	At       time.Time
	Pipeline string
	Class    string
	Account  string
	// Attained says that the run succeeded by its deadline.
	Attained  bool
	Verdict   fault.Verdict // Valid if the run did not succeed.
	Succeeded bool
	// Rejected says that the run failed before any stage ran.
	Rejected bool
	Latency  time.Duration
	// FirstToken is the time to the first token of a streamed response; zero
	// if there was none.
	FirstToken time.Duration
	Stages     []StageReport
}

// outcome describes a run that finished at now. If the run failed, the work of
// all its attempts was wasted.
func (r *run) outcome(now time.Time) Outcome {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	o := Outcome{
		At: now, Pipeline: r.request.Pipeline, Class: r.pipeline.Class, Account: r.request.Account,
		Succeeded: r.err == nil, Latency: now.Sub(r.startedAt), Stages: r.stages,
	}
	o.Attained = o.Succeeded && !now.After(r.deadline)
	if r.err != nil {
		o.Verdict = fault.VerdictOf(r.err)
		o.Rejected = o.Verdict == fault.NotRun
	}
	if r.request.Stream && !r.firstChunkAt.IsZero() {
		o.FirstToken = r.firstChunkAt.Sub(r.startedAt)
	}
	for i := range o.Stages {
		o.Stages[i].Wasted = o.Stages[i].Wasted || !o.Succeeded
	}
	return o
}
