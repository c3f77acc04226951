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

// stageRun is the run of one stage, over all its attempts.
type stageRun struct {
	run      *run
	index    int
	stage    note.Stage
	previous json.RawMessage

	text     strings.Builder // Generated so far.
	tokens   int
	attempt  int // Attempts that reached a target.
	refusals int // Attempts that did not.
	pools    []string
	domains  []string
	targets  []string
}

const (
	prefixBlock = 64  // Engines cache prompts in blocks of so many bytes.
	prefixBytes = 256 // Length of the prompt's prefix that chooses among caches.
	refusalWait = 20 * time.Millisecond
	longestWait = 500 * time.Millisecond
)

func (g *stageRun) execute() (json.RawMessage, error) {
	if g.last() && g.run.resumeTokens > 0 {
		g.text.WriteString(g.run.resume)
		g.tokens = g.run.resumeTokens
		g.replay()
	}
	if !g.stage.Idempotent {
		return g.guarded()
	}
	return g.attempts()
}

func (g *stageRun) last() bool {
	return g.index == len(g.run.pipeline.Stages)-1
}

// replay gives later repeats the text that the first caller already had.
func (g *stageRun) replay() {
	g.run.emit(Chunk{Position: 0, Text: g.run.resume})
	for i := 1; i < g.run.resumeTokens; i++ {
		g.run.emit(Chunk{Position: i})
	}
}

// attempts runs the stage until it succeeds or the error is final.
func (g *stageRun) attempts() (json.RawMessage, error) {
	for {
		answer, err := g.try()
		if err != nil {
			return nil, err
		}
		if answer.Fault == nil {
			g.succeeded()
			return answer.Output, nil
		}
		if err := g.failed(answer); err != nil {
			return nil, err
		}
	}
}

// try runs one attempt. The error is final; a failed attempt is in the answer.
func (g *stageRun) try() (owner.StageResponse, error) {
	r := g.run
	if err := r.ctx.Err(); err != nil {
		return owner.StageResponse{}, fault.From(err).WithVerdict(fault.NotRun)
	}
	now := r.service.Clock.Now()
	if !now.Before(r.limit()) {
		return owner.StageResponse{}, fault.New(fault.DeadlineExceeded, fault.NotRun, "the deadline passed before stage %s", g.stage.Name)
	}
	name, err := r.service.choose(now, route.Request{
		Service: g.stage.Service, Deadline: r.limit(), Prefix: g.prefix(),
		AvoidPools: g.pools, AvoidDomains: g.domains,
	})
	if err != nil {
		return owner.StageResponse{}, err
	}
	before := g.tokens
	answer := g.send(name)
	answer.Tokens = max(answer.Tokens, g.tokens) - before
	if answer.Summary != nil {
		r.service.observe(*answer.Summary)
	}
	g.note(name, answer)
	return answer, nil
}

func (g *stageRun) send(name string) owner.StageResponse {
	r := g.run
	call := g.call(name)
	attempt := &attemptSink{stage: g}
	defer attempt.close()
	if r.service.LocalPools {
		return r.service.Owner.Execute(r.ctx, call, attempt.receive)
	}
	vm, ok := r.service.View().Owner(name)
	switch {
	case !ok:
		return owner.StageResponse{Fault: fault.New(fault.Unavailable, fault.NotRun, "pool %s has no owner", name)}
	case vm.ID == r.service.Self:
		return r.service.Owner.Execute(r.ctx, call, attempt.receive)
	default:
		return r.service.sendTo(r.ctx, vm.ID, call, attempt.receive)
	}
}

// sendTo runs an attempt on another node.
func (s *Service) sendTo(ctx context.Context, vm string, call owner.StageCall, onChunk func(owner.Chunk)) owner.StageResponse {
	var answer owner.StageResponse
	err := s.Peers.Stream(ctx, vm, owner.MethodExecute, call, &answer, func(data json.RawMessage) {
		var c owner.Chunk
		if json.Unmarshal(data, &c) == nil {
			onChunk(c)
		}
	})
	if err != nil {
		return owner.StageResponse{Fault: fault.From(err)}
	}
	return answer
}

func (g *stageRun) call(name string) owner.StageCall {
	r := g.run
	return owner.StageCall{
		Pool:            name,
		RequestDeadline: r.limit(),
		Call: pool.Call{
			Attempt:        uuid.NewString(),
			Request:        r.request.ID,
			Account:        r.request.Account,
			Class:          r.pipeline.Class,
			Stage:          r.request.Pipeline + "/" + g.stage.Name,
			Deadline:       g.stageLimit(),
			Idempotent:     g.stage.Idempotent,
			MustFinish:     r.class.MustFinish,
			Prefix:         g.prefix(),
			Fingerprint:    r.request.Fingerprint,
			ExpectedTokens: max(0, g.stage.MaxTokens-g.tokens),
			Avoid:          slices.Clone(g.targets),
			Exclusive:      r.service.suspect(r.request.Fingerprint),
		},
		Input:          r.request.Input,
		Previous:       g.previous,
		IdempotencyKey: r.request.Key,
		Priority:       r.class.Priority,
		MaxTokens:      g.stage.MaxTokens,
		Resume:         g.text.String(),
		ResumeTokens:   g.tokens,
		Stream:         g.generates(),
	}
}

func (g *stageRun) generates() bool {
	return g.run.service.Config().Sections.Services[g.stage.Service].Kind == note.Generate
}

// prefix hashes the first whole blocks of the prompt of a generate stage, as
// engines do for their cache events. It is zero for other stages.
func (g *stageRun) prefix() uint64 {
	if !g.generates() {
		return 0
	}
	prompt := engine.Prompt(g.run.request.Input, g.previous)
	length := min(len(prompt), prefixBytes) / prefixBlock * prefixBlock
	if length == 0 {
		return 0
	}
	return xxhash.Sum64String(prompt[:length])
}

// note reports the cost of an attempt and what to avoid in the next one.
func (g *stageRun) note(name string, answer owner.StageResponse) {
	failed := answer.Fault != nil
	reached := answer.Target != "" || (failed && answer.Fault.Verdict != fault.NotRun)
	if failed && !slices.Contains(g.pools, name) {
		g.pools = append(g.pools, name)
	}
	if !reached {
		g.refusals++
		return
	}
	g.attempt++
	if failed {
		g.targets = append(g.targets, answer.Target)
		g.domains = append(g.domains, answer.Domain)
	}
	if !failed || answer.Fault.Verdict != fault.NotRun {
		g.run.touch()
	}
	g.run.report(StageReport{
		Stage: g.stage.Name, Service: g.stage.Service, Domain: answer.Domain, Target: answer.Target,
		QueueMS: answer.QueueMS, ServiceMS: answer.ServiceMS, FirstTokenMS: answer.FirstTokenMS,
		Tokens: answer.Tokens, Wasted: failed && g.tokens == 0,
	})
}

// succeeded clears a suspect that ran alone.
func (g *stageRun) succeeded() {
	r := g.run
	if r.service.suspect(r.request.Fingerprint) {
		r.service.cleared(r.request.Fingerprint)
	}
}

// failed returns the error if it is final. Otherwise it waits, if need be, and
// the stage is tried again.
func (g *stageRun) failed(answer owner.StageResponse) error {
	r := g.run
	s := r.service
	now := s.Clock.Now()
	if answer.Cause == engine.Crashed {
		s.crashed(now, answer.Target, r.request.Fingerprint)
		if s.condemned(r.request.Fingerprint) {
			return answer.Fault
		}
	}
	failure := retry.Failure{
		Err: answer.Fault, Idempotent: g.stage.Idempotent, Attempts: g.attempt, Refusals: g.refusals,
		Deadline: r.limit(), ExpectedDuration: s.Config().Sections.Services[g.stage.Service].TypicalLatency(),
	}
	switch s.decide(now, failure) {
	case retry.Retry:
		s.Metrics.GetOrCreateCounter("flow_retries_total").Inc()
		return nil
	case retry.Reroute:
		return g.pause(refusalWait)
	default:
		return g.persist(answer.Fault)
	}
}

// persist waits on behalf of work that must finish, and of any work while a
// pool has no owner that can be reached. Other work gives up.
func (g *stageRun) persist(cause *fault.Error) error {
	ownerless := cause.Kind == fault.Unavailable || (cause.Kind == fault.Busy && cause.RetryAfter == 0)
	waits := ownerless || (g.run.class.MustFinish && cause.Kind == fault.Busy)
	if !waits || cause.Verdict != fault.NotRun {
		return cause
	}
	wait := min(longestWait, max(cause.RetryAfter, refusalWait))
	if g.run.service.Clock.Now().Add(wait).After(g.run.limit()) {
		return cause
	}
	g.refusals = 0
	g.pools = nil
	return g.pause(wait)
}

func (g *stageRun) pause(wait time.Duration) error {
	spread := time.Duration(g.run.service.Random.Uint64() % uint64(wait))
	select {
	case <-g.run.ctx.Done():
		return fault.From(g.run.ctx.Err()).WithVerdict(fault.NotRun)
	case <-g.run.service.Clock.After(wait/2 + spread):
		return nil
	}
}
