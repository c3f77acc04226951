package relay

import (
	"context"

	"github.com/sirupsen/logrus"

	"bergamotworks/batch"
	"bergamotworks/fault"
	"bergamotworks/place"
	"bergamotworks/site"
)

// stageRun processes one stage of a request.
type stageRun struct {
	exchange *exchange
	stage    int
	work     batch.Work
	results  chan<- stageResult
}

// stageResult is the outcome of a stage.
type stageResult struct {
	stage   int
	handles []string
	err     error
}

func (r stageRun) run(ctx context.Context) {
	handles, err := r.exchange.server.Stages.Do(ctx, r.work)
	if err == nil && len(handles) != r.work.Pieces {
		err = fault.New(fault.Internal, fault.NotRun, "%d results for %d pieces", len(handles), r.work.Pieces)
	}
	r.results <- stageResult{stage: r.stage, handles: handles, err: err}
}

// maxStageReruns limits how often the stages run again after one of their
// results was lost before it was read.
const maxStageReruns = 1

// runStages runs all stages, each after those whose results it reads.
func (x *exchange) runStages(ctx context.Context) error {
	if len(x.route.Stages) == 0 {
		return nil
	}
	var err error
	for range maxStageReruns + 1 {
		err = x.runStagesOnce(ctx)
		if err == nil || fault.From(err).Kind != fault.NotFound {
			break
		}
		x.releaseAll()
	}
	x.stageDuration = x.server.Clock.Now().Sub(x.arrived)
	if err != nil {
		return x.stageError(err)
	}
	return nil
}

// remakeInputs runs the stages again after a target has found that one of their
// results is gone. It returns err, or that of the stages, if the request cannot be
// sent again.
func (x *exchange) remakeInputs(ctx context.Context, err error) error {
	if len(x.route.Stages) == 0 || x.headerSent || x.inputsRemade || ctx.Err() != nil {
		return err
	}
	x.inputsRemade = true
	x.releaseAll()
	x.server.Metrics.GetOrCreateCounter("relay_inputs_remade_total").Inc()
	x.server.Log.WithFields(logrus.Fields{"request": x.id, "target": x.target, "left_ms": x.timeLeft().Milliseconds()}).Info("a stage's result is gone; running the stages again")
	return x.runStages(ctx)
}

// rerunStages runs the stages again for a stream that continues at another
// target, since the results of the stages were released when the header of the
// stream was sent. It does nothing in any other case.
func (x *exchange) rerunStages(ctx context.Context) error {
	if !x.headerSent || x.handles != nil {
		return nil
	}
	return x.runStages(ctx)
}

// runStagesOnce runs all stages concurrently as far as their dependencies
// allow. It stops at the first error.
func (x *exchange) runStagesOnce(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x.handles = make([][]string, len(x.route.Stages))
	started := make([]bool, len(x.route.Stages))
	results := make(chan stageResult, len(x.route.Stages))
	domain := x.targetDomain()
	running := 0
	var failure error
	for {
		if failure == nil {
			running += x.startStages(ctx, started, results, domain)
		}
		if running == 0 {
			return failure
		}
		r := <-results
		running--
		x.handles[r.stage] = r.handles
		if r.err != nil && failure == nil {
			failure = r.err
			cancel()
		}
		if failure == nil {
			x.releaseConsumed(r.stage)
		}
	}
}

// stageError returns the error for a request whose stages failed. It is of kind
// DeadlineExceeded if the stages ran out of time or were canceled, and otherwise
// Busy with the retry delay of err. The verdict is NotRun, since the request
// itself has not run.
func (x *exchange) stageError(err error) error {
	e := fault.From(err).WithVerdict(fault.NotRun)
	switch e.Kind {
	case fault.DeadlineExceeded, fault.Canceled:
		return fault.New(fault.DeadlineExceeded, fault.NotRun, "stages: %s", e.Message)
	}
	return fault.New(fault.Busy, fault.NotRun, "stages: %s", e.Message).WithRetryAfter(e.RetryAfter)
}

// startStages starts every stage whose inputs are complete and that is due, and
// returns their number.
func (x *exchange) startStages(ctx context.Context, started []bool, results chan<- stageResult, domain string) int {
	n, p := 0, x.plan()
	for i, stage := range x.route.Stages {
		if started[i] || x.pieceCounts[i] == 0 || !p.Ready(i, x.stageDone) || !p.Due(i, x.stageDone) {
			continue
		}
		started[i] = true
		n++
		r := stageRun{exchange: x, stage: i, work: x.stageWork(i, stage, domain), results: results}
		go r.run(ctx)
	}
	return n
}

// plan returns the plan that orders and times the stages.
func (x *exchange) plan() batch.Plan {
	return batch.Plan{Stages: x.route.Stages, Counts: x.pieceCounts, Config: x.config, EstimateWait: x.server.Stages.EstimateWait}
}

// stageDone reports whether all pieces of a stage have been processed.
func (x *exchange) stageDone(stage int) bool { return x.handles[stage] != nil }

// stageWork returns the batch work of a stage. Domain is the failure domain of
// the target that is expected to get the request, which the work prefers unless
// another stage reads its results. If the stage reads more bytes than are read of
// its results, the work prefers the domain that holds most of its inputs instead.
func (x *exchange) stageWork(index int, stage site.RouteStage, domain string) batch.Work {
	p := x.plan()
	w := batch.Work{
		Service: stage.Service, Request: x.id, Stage: index, Pieces: x.pieceCounts[index], Bytes: stage.ResultBytes,
		Domain: domain, Crossing: p.OutputBytes(index), Rest: p.RemainingTime(index), Target: x.arrived.Add(x.route.LatencyTarget), Deadline: x.stageDeadline, Priority: x.priority(),
	}
	if x.server.PriorityAdmission {
		w.Account, w.Weight = x.account.Name, x.stageWeight(index)
		w.Target = w.Target.Add(-x.decision.Waited)
	}
	if p.ReadByStage(index) {
		w.Domain = ""
	}
	for _, a := range stage.After {
		w.Inputs = append(w.Inputs, x.handles[a]...)
	}
	if len(w.Inputs) == 0 {
		w.Key = x.request.Headers.Get(x.server.Names.PieceKey)
		return w
	}
	if inputBytes := p.InputBytes(index); inputBytes > w.Crossing {
		w.Domain, w.Crossing = x.inputDomain(w.Inputs), inputBytes
	}
	return w
}

// inputDomain returns the failure domain that holds most of the results.
func (x *exchange) inputDomain(handles []string) string {
	directory := x.server.Directory()
	counts := make(map[string]int)
	best := ""
	for _, h := range handles {
		t, ok := directory.FindByAddress(batch.TargetAddress(h))
		if !ok {
			continue
		}
		if counts[t.Domain]++; counts[t.Domain] > counts[best] {
			best = t.Domain
		}
	}
	return best
}

// targetDomain returns the failure domain of the target that would get the
// request now, or "". Large results are produced there, so that they do not
// cross failure domains.
func (x *exchange) targetDomain() string {
	s := x.server
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now, c := s.Clock.Now(), x.criteria(nil)
	c.Targets, _ = s.Rollouts.Split(now, x.service, c.Targets)
	t, ok := s.placement.Choose(now, c)
	if !ok {
		return ""
	}
	return t.Domain
}

// releaseConsumed releases the results that the completed stage has read and
// that nothing else needs.
func (x *exchange) releaseConsumed(stage int) {
	p := x.plan()
	for _, a := range x.route.Stages[stage].After {
		if x.pieceCounts[a] == 0 || !p.ResultsConsumed(a, x.stageDone) {
			continue
		}
		x.server.Stages.Release(x.route.Stages[a].Service, x.handles[a])
		x.handles[a] = []string{} // Not nil: the stage has been processed.
	}
}

// inputHandles returns the handles of the results that the request itself
// reads.
func (x *exchange) inputHandles() []string {
	if x.handles == nil {
		return nil
	}
	var list []string
	for _, i := range x.route.FinalStages(x.pieceCounts) {
		list = append(list, x.handles[i]...)
	}
	return list
}

// releaseAll releases the remaining results of the stages.
func (x *exchange) releaseAll() {
	for i, list := range x.handles {
		if len(list) > 0 {
			x.server.Stages.Release(x.route.Stages[i].Service, list)
		}
	}
	x.handles = nil
}

// criteria returns the criteria for the choice of a target.
func (x *exchange) criteria(tried []string) place.Criteria {
	s := x.server
	c := place.Criteria{
		Targets: s.Directory().Usable(x.service), Domain: s.Domain, Tried: tried, ColdRate: x.coldRate(), ColdPhase: s.coldPhase(),
		Admission: s.admission(),
	}
	if x.route.Affinity {
		c.Affinity = affinityHash(x.request.Headers.Get(s.Names.PromptParts))
	}
	x.addWork(&c)
	return c
}

// coldRate returns the requests per second that this node may send to a cold
// target of the service, or 1 if the configuration does not have the service.
func (x *exchange) coldRate() float64 {
	service, ok := x.config.Service(x.service)
	if !ok {
		return 1
	}
	return service.ColdRate * x.server.Bounds().ColdFactor / x.server.nodeCount()
}
