package relay

import (
	"context"

	"bergamotworks/batch"
	"bergamotworks/fault"
	"bergamotworks/place"
	"bergamotworks/site"
)

// stageRun is one stage of a request under way.
type stageRun struct {
	job   *job
	stage int
	work  batch.Work
	ended chan<- stageEnd
}

// stageEnd is the end of a stage.
type stageEnd struct {
	stage   int
	handles []string
	err     error
}

func (r stageRun) run(ctx context.Context) {
	made, err := r.job.server.Stages.Do(ctx, r.work)
	if err == nil && len(made) != r.work.Pieces {
		err = fault.New(fault.Internal, fault.NotRun, "%d results for %d pieces", len(made), r.work.Pieces)
	}
	r.ended <- stageEnd{stage: r.stage, handles: made, err: err}
}

// maxRemade bounds how often the stages are made again after a result of them
// was gone before it was read.
const maxRemade = 1

// runStages has the pieces of all stages made, each stage after those whose
// results it reads.
func (j *job) runStages(ctx context.Context) error {
	if len(j.route.Stages) == 0 {
		return nil
	}
	var err error
	for range maxRemade + 1 {
		err = j.makeStages(ctx)
		if err == nil || fault.From(err).Kind != fault.NotFound {
			break
		}
		j.free()
	}
	j.staged = j.server.Clock.Now().Sub(j.arrived)
	if err != nil {
		return j.stageFailure(err)
	}
	return nil
}

// restage has the stages made again for a stream that goes on at another target.
// Their results were given up with its first event.
func (j *job) restage(ctx context.Context) error {
	if !j.begun || j.results != nil {
		return nil
	}
	return j.runStages(ctx)
}

func (j *job) makeStages(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	j.results = make([][]string, len(j.route.Stages))
	begun := make([]bool, len(j.route.Stages))
	ended := make(chan stageEnd, len(j.route.Stages))
	domain := j.engineDomain()
	running := 0
	var failure error
	for {
		if failure == nil {
			running += j.beginStages(ctx, begun, ended, domain)
		}
		if running == 0 {
			return failure
		}
		e := <-ended
		running--
		j.results[e.stage] = e.handles
		if e.err != nil && failure == nil {
			failure = e.err
			cancel()
		}
		if failure == nil {
			j.freeRead(e.stage)
		}
	}
}

// stageFailure returns the refusal of a request whose stages failed. The
// request itself has not run.
func (j *job) stageFailure(err error) error {
	e := fault.From(err).WithVerdict(fault.NotRun)
	switch e.Kind {
	case fault.DeadlineExceeded, fault.Canceled:
		return fault.New(fault.DeadlineExceeded, fault.NotRun, "stages: %s", e.Message)
	}
	return fault.New(fault.Busy, fault.NotRun, "stages: %s", e.Message).WithRetryAfter(e.RetryAfter)
}

// beginStages starts every stage that can begin, and returns their number.
func (j *job) beginStages(ctx context.Context, begun []bool, ended chan<- stageEnd, domain string) int {
	n, p := 0, j.plan()
	for i, stage := range j.route.Stages {
		if begun[i] || j.counts[i] == 0 || !p.Ready(i, j.done) || !p.Due(i, j.done) {
			continue
		}
		begun[i] = true
		n++
		r := stageRun{job: j, stage: i, work: j.work(i, stage, domain), ended: ended}
		go r.run(ctx)
	}
	return n
}

// plan returns the stages of the request as a plan.
func (j *job) plan() batch.Plan {
	return batch.Plan{Stages: j.route.Stages, Counts: j.counts, Config: j.config, EstimateWait: j.server.Stages.EstimateWait}
}

// done reports whether the pieces of a stage have been made.
func (j *job) done(stage int) bool { return j.results[stage] != nil }

// work returns the pieces of a stage as work. Domain is the failure domain of
// the target that will have the request.
func (j *job) work(i int, stage site.Stage, domain string) batch.Work {
	p := j.plan()
	w := batch.Work{
		Service: stage.Service, Request: j.id, Stage: i, Pieces: j.counts[i], Bytes: stage.ResultBytes,
		Domain: domain, Crossing: p.OutputBytes(i), Rest: p.RemainingTime(i), Target: j.arrived.Add(j.route.LatencyTarget), Deadline: j.stageBy, Priority: j.urgency(),
	}
	for _, a := range stage.After {
		w.Inputs = append(w.Inputs, j.results[a]...)
	}
	if len(w.Inputs) == 0 {
		w.Key = j.request.Headers.Get(j.server.Names.PieceKey)
		return w
	}
	if in := p.InputBytes(i); in > w.Crossing {
		w.Domain, w.Crossing = j.inputDomain(w.Inputs), in
	}
	return w
}

// inputDomain returns the failure domain where most of the results lie.
func (j *job) inputDomain(handles []string) string {
	directory := j.server.Directory()
	counts := make(map[string]int)
	best := ""
	for _, h := range handles {
		g, ok := directory.FindByAddress(batch.TargetAddress(h))
		if !ok {
			continue
		}
		if counts[g.Domain]++; counts[g.Domain] > counts[best] {
			best = g.Domain
		}
	}
	return best
}

// engineDomain returns the failure domain of the target that would have the
// request now, so that large results are made there.
func (j *job) engineDomain() string {
	s := j.server
	s.mutex.Lock()
	defer s.mutex.Unlock()
	g, ok := s.places.Choose(s.Clock.Now(), j.need(nil))
	if !ok {
		return ""
	}
	return g.Domain
}

// freeRead gives up the results that only the given stage reads.
func (j *job) freeRead(by int) {
	p := j.plan()
	for _, a := range j.route.Stages[by].After {
		if j.counts[a] == 0 || !p.Read(a, j.done) {
			continue
		}
		j.server.Stages.Release(j.route.Stages[a].Service, j.results[a])
		j.results[a] = []string{} // Not nil: the stage has been done.
	}
}

// inputs returns the handles of the results that the request itself reads.
func (j *job) inputs() []string {
	if j.results == nil {
		return nil
	}
	var list []string
	for _, i := range j.route.FinalStages(j.counts) {
		list = append(list, j.results[i]...)
	}
	return list
}

// free gives up all results of the request that are left.
func (j *job) free() {
	for i, list := range j.results {
		if len(list) > 0 {
			j.server.Stages.Release(j.route.Stages[i].Service, list)
		}
	}
	j.results = nil
}

// need describes the request to the choice of a target.
func (j *job) need(tried []string) place.Criteria {
	s := j.server
	n := place.Criteria{
		Targets: s.Directory().Usable(j.service), Domain: s.Domain, Tried: tried, ColdRate: j.coldRate(), ColdPhase: s.phase(),
	}
	if j.route.Affinity {
		n.Affinity = affinity(j.request.Headers.Get(s.Names.PromptParts))
	}
	return n
}

// coldRate returns the requests per second that this node may send to a cold
// target of the service.
func (j *job) coldRate() float64 {
	service, ok := j.config.Service(j.service)
	if !ok {
		return 1
	}
	return service.ColdRate * j.server.Bounds().ColdFactor / j.server.nodes()
}
