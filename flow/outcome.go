package flow

import (
	"time"

	"bergamotworks/fault"
)

// Outcome is what became of one run.
type Outcome struct {
	At       time.Time
	Pipeline string
	Class    string
	Account  string
	// Attained says that the answer was whole and in time.
	Attained  bool
	Verdict   fault.Verdict // Valid if there is no answer.
	Succeeded bool
	// Refused says that no stage ran.
	Refused bool
	Latency time.Duration
	// FirstToken is the time to the first token of a streamed answer.
	FirstToken time.Duration
	Stages     []StageReport
}

// outcome describes the run at its end.
func (r *run) outcome(now time.Time) Outcome {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	o := Outcome{
		At: now, Pipeline: r.request.Pipeline, Class: r.pipeline.Class, Account: r.request.Account,
		Succeeded: r.err == nil, Latency: now.Sub(r.started), Stages: r.stages,
	}
	o.Attained = o.Succeeded && !now.After(r.deadline)
	if r.err != nil {
		o.Verdict = fault.VerdictOf(r.err)
		o.Refused = o.Verdict == fault.NotRun
	}
	if r.request.Stream && !r.firstAt.IsZero() {
		o.FirstToken = r.firstAt.Sub(r.started)
	}
	for i := range o.Stages {
		o.Stages[i].Wasted = o.Stages[i].Wasted || !o.Succeeded
	}
	return o
}
