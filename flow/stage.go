package flow

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"bergamotworks/engine"
	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/owner"
	"bergamotworks/pool"
	"bergamotworks/retry"
	"bergamotworks/route"
)

// stageRun is the execution of one stage with all its attempts.
type stageRun struct {
	run      *run
	index    int
	stage    note.Stage
	previous json.RawMessage

	text         strings.Builder // Output generated so far, over all attempts.
	tokens       int             // Number of tokens in text.
	attemptCount int             // Attempts that reached a target.
	// rejectionCount is the number of attempts that were rejected or failed
	// before they reached a target. It is reset by waitForCapacity.
	rejectionCount int
	avoidPools     []string
	avoidDomains   []string
	avoidTargets   []string
}

const (
	prefixBlockBytes   = 64                     // Engines cache prompts in blocks of this many bytes.
	maxPrefixBytes     = 256                    // Longest prefix that is used for cache affinity.
	rejectionBackoff   = 20 * time.Millisecond  // Backoff after an attempt that did not reach a target.
	maxCapacityBackoff = 500 * time.Millisecond // Maximum backoff of waitForCapacity.
)

func (g *stageRun) execute() (json.RawMessage, error) {
	if g.isLast() && g.run.resumeTokens > 0 {
		g.text.WriteString(g.run.resumeText)
		g.tokens = g.run.resumeTokens
		g.replayResumed()
	}
	if !g.stage.Idempotent {
		return g.runOnce()
	}
	return g.runWithRetries()
}

func (g *stageRun) isLast() bool {
	return g.index == len(g.run.pipeline.Stages)-1
}

// replayResumed emits the text that the first client has already received, for
// repeated requests that join the run later. All text is in the first chunk; the
// chunks of the other tokens are empty.
func (g *stageRun) replayResumed() {
	g.run.emit(Chunk{Position: 0, Text: g.run.resumeText})
	for i := 1; i < g.run.resumeTokens; i++ {
		g.run.emit(Chunk{Position: i})
	}
}

// runWithRetries runs attempts until one succeeds or the error is final.
func (g *stageRun) runWithRetries() (json.RawMessage, error) {
	for {
		response, err := g.runAttempt()
		if err != nil {
			return nil, err
		}
		if response.Fault == nil {
			g.clearSuspect()
			return response.Output, nil
		}
		if err := g.handleFailure(response); err != nil {
			return nil, err
		}
	}
}

// runAttempt runs one attempt. A returned error is final; the error of a failed
// attempt, which may be retried, is the Fault of the response.
func (g *stageRun) runAttempt() (owner.StageResponse, error) {
	r := g.run
	if err := r.ctx.Err(); err != nil {
		return owner.StageResponse{}, fault.From(err).WithVerdict(fault.NotRun)
	}
	now := r.service.Clock.Now()
	if !now.Before(r.currentDeadline()) {
		return owner.StageResponse{}, fault.New(fault.DeadlineExceeded, fault.NotRun, "the deadline passed before stage %s", g.stage.Name)
	}
	version := g.chooseVersion(now)
	poolName, err := r.service.choosePool(now, route.Request{
		Service: g.stage.Service, Deadline: r.currentDeadline(), Prefix: g.prefixHash(),
		AvoidPools: g.avoidPools, AvoidDomains: g.avoidDomains, Versions: version.versions,
	})
	if err != nil && len(version.versions) > 0 && fault.From(err).Kind == fault.Unavailable {
		// The directory and the pools may be of different revisions for a moment.
		return owner.StageResponse{Fault: fault.From(err)}, nil
	}
	if err != nil {
		return owner.StageResponse{}, err
	}
	tokensBefore := g.tokens
	response := g.dispatch(poolName, version)
	version.ended(response)
	// Report the tokens of this attempt only. The response also counts those of
	// the text that was resumed.
	response.Tokens = max(response.Tokens, g.tokens) - tokensBefore
	if response.Summary != nil {
		r.service.observeSummary(*response.Summary)
	}
	g.recordAttempt(poolName, response)
	return response, nil
}

func (g *stageRun) dispatch(poolName string, version *versionChoice) owner.StageResponse {
	r := g.run
	call := g.newCall(poolName)
	call.Call.Avoid = append(call.Call.Avoid, version.avoid...)
	if !version.admit() {
		return owner.StageResponse{Fault: fault.New(fault.Busy, fault.NotRun, "a version of %s must not get the call any more", g.stage.Service)}
	}
	sink := &attemptSink{stage: g, version: version}
	defer sink.close()
	if r.service.LocalPools {
		return r.service.Owner.Execute(r.ctx, call, sink.receive)
	}
	vm, ok := r.service.View().Owner(poolName)
	switch {
	case !ok:
		return owner.StageResponse{Fault: fault.New(fault.Unavailable, fault.NotRun, "pool %s has no owner", poolName)}
	case vm.ID == r.service.Self:
		return r.service.Owner.Execute(r.ctx, call, sink.receive)
	default:
		return r.service.dispatchRemote(r.ctx, vm.ID, call, sink.receive)
	}
}

// dispatchRemote runs an attempt through the pool's owner on another node.
func (s *Service) dispatchRemote(ctx context.Context, vm string, call owner.StageCall, onChunk func(owner.Chunk)) owner.StageResponse {
	var response owner.StageResponse
	err := s.Peers.Stream(ctx, vm, owner.MethodExecute, call, &response, func(data json.RawMessage) {
		var c owner.Chunk
		if json.Unmarshal(data, &c) == nil {
			onChunk(c)
		}
	})
	if err != nil {
		return owner.StageResponse{Fault: fault.From(err)}
	}
	return response
}

func (g *stageRun) newCall(poolName string) owner.StageCall {
	r := g.run
	return owner.StageCall{
		Pool:            poolName,
		RequestDeadline: r.currentDeadline(),
		Call: pool.Call{
			Attempt:        uuid.NewString(),
			Request:        r.request.ID,
			Account:        r.request.Account,
			Class:          r.pipeline.Class,
			Stage:          r.request.Pipeline + "/" + g.stage.Name,
			Deadline:       g.stageDeadline(),
			Idempotent:     g.stage.Idempotent,
			MustFinish:     r.class.MustFinish,
			Prefix:         g.prefixHash(),
			Fingerprint:    r.request.Fingerprint,
			ExpectedTokens: max(0, g.stage.MaxTokens-g.tokens),
			Avoid:          slices.Clone(g.avoidTargets),
			Exclusive:      r.service.isSuspect(r.request.Fingerprint),
		},
		Input:          r.request.Input,
		Previous:       g.previous,
		IdempotencyKey: r.request.Key,
		Priority:       r.class.Priority,
		MaxTokens:      g.stage.MaxTokens,
		Resume:         g.text.String(),
		ResumeTokens:   g.tokens,
		Stream:         g.isGenerate(),
	}
}

func (g *stageRun) isGenerate() bool {
	return g.run.service.Config().Sections.Services[g.stage.Service].Kind == note.Generate
}

// prefixHash hashes the first whole blocks of the prompt of a generate stage, in
// the same way as engines hash prefixes for their cache events. It returns zero
// for other stages.
func (g *stageRun) prefixHash() uint64 {
	if !g.isGenerate() {
		return 0
	}
	prompt := engine.Prompt(g.run.request.Input, g.previous)
	length := min(len(prompt), maxPrefixBytes) / prefixBlockBytes * prefixBlockBytes
	if length == 0 {
		return 0
	}
	return xxhash.Sum64String(prompt[:length])
}

// recordAttempt counts an attempt. An attempt that reached a target is reported
// with its cost and, unless its verdict is NotRun, marks the run as one that may
// have run. If it failed, the next attempts avoid its pool, its failure domain
// and its target; if it did not reach a target, they avoid only its pool.
func (g *stageRun) recordAttempt(poolName string, response owner.StageResponse) {
	failed := response.Fault != nil
	reached := response.Target != "" || (failed && response.Fault.Verdict != fault.NotRun)
	if failed && !slices.Contains(g.avoidPools, poolName) {
		g.avoidPools = append(g.avoidPools, poolName)
	}
	if !reached {
		g.rejectionCount++
		return
	}
	g.attemptCount++
	if failed {
		g.avoidTargets = append(g.avoidTargets, response.Target)
		g.avoidDomains = append(g.avoidDomains, response.Domain)
	}
	if !failed || response.Fault.Verdict != fault.NotRun {
		g.run.setMayHaveRun()
	}
	g.run.addReport(StageReport{
		Stage: g.stage.Name, Service: g.stage.Service, Domain: response.Domain, Target: response.Target,
		QueueMS: response.QueueMS, ServiceMS: response.ServiceMS, FirstTokenMS: response.FirstTokenMS,
		Tokens: response.Tokens, Wasted: failed && g.tokens == 0,
	})
}

// clearSuspect clears the crashes of the request after a successful attempt if it
// is suspect now. It does not check whether the attempt ran alone: the request may
// have become suspect since the attempt was started.
func (g *stageRun) clearSuspect() {
	r := g.run
	if r.service.isSuspect(r.request.Fingerprint) {
		r.service.recordCompletion(r.request.Fingerprint)
	}
}

// handleFailure returns the error of a failed attempt if it is final. Otherwise
// it backs off if necessary and returns nil, and the attempt is retried.
func (g *stageRun) handleFailure(response owner.StageResponse) error {
	r := g.run
	s := r.service
	now := s.Clock.Now()
	if response.Cause == engine.Crashed {
		s.recordCrash(now, response.Target, r.request.Fingerprint)
		if s.isQuarantined(r.request.Fingerprint) {
			return response.Fault
		}
	}
	failure := retry.Failure{
		Err: response.Fault, Idempotent: g.stage.Idempotent, Attempts: g.attemptCount, Rejections: g.rejectionCount,
		Deadline: r.currentDeadline(), ExpectedDuration: s.Config().Sections.Services[g.stage.Service].TypicalLatency(),
	}
	switch s.decideRetry(now, failure) {
	case retry.Retry:
		s.Metrics.GetOrCreateCounter("flow_retries_total").Inc()
		return nil
	case retry.Reroute:
		return g.backOff(rejectionBackoff)
	default:
		return g.waitForCapacity(response.Fault)
	}
}

// waitForCapacity backs off if cause has the verdict NotRun and means either that
// no owner of a pool was reached (Unavailable, or Busy without Retry-After) or
// that the pool is Busy, and the request must finish. All pools may be chosen
// again afterwards. Otherwise, or if the deadline would pass meanwhile, it returns
// cause.
func (g *stageRun) waitForCapacity(cause *fault.Error) error {
	noOwner := cause.Kind == fault.Unavailable || (cause.Kind == fault.Busy && cause.RetryAfter == 0)
	mayWait := noOwner || (g.run.class.MustFinish && cause.Kind == fault.Busy)
	if !mayWait || cause.Verdict != fault.NotRun {
		return cause
	}
	wait := min(maxCapacityBackoff, max(cause.RetryAfter, rejectionBackoff))
	if g.run.service.Clock.Now().Add(wait).After(g.run.currentDeadline()) {
		return cause
	}
	g.rejectionCount = 0
	g.avoidPools = nil
	return g.backOff(wait)
}

// backOff waits for a random time from 0.5 to 1.5 times wait, which must be
// positive. It returns an error if the run is canceled.
func (g *stageRun) backOff(wait time.Duration) error {
	jitter := time.Duration(g.run.service.Random.Uint64() % uint64(wait))
	select {
	case <-g.run.ctx.Done():
		return fault.From(g.run.ctx.Err()).WithVerdict(fault.NotRun)
	case <-g.run.service.Clock.After(wait/2 + jitter):
		return nil
	}
}
