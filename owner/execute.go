package owner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotworks/engine"
	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/peer"
	"bergamotworks/pool"
)

// HandleExecute serves [MethodExecute].
func (s *Service) HandleExecute(ctx context.Context, incoming peer.Request) (any, error) {
	var call StageCall
	if err := json.Unmarshal(incoming.Params, &call); err != nil {
		return nil, fault.InvalidField("params", "%s", err)
	}
	onChunk := func(c Chunk) { _ = incoming.Send(c) }
	if !call.Stream {
		onChunk = nil
	}
	return s.Execute(ctx, call, onChunk), nil
}

// Execute runs one attempt at a stage on a target of a pool that this node
// owns. Chunks arrive in order, before Execute returns.
func (s *Service) Execute(ctx context.Context, call StageCall, onChunk func(Chunk)) StageResponse {
	s.once.Do(s.init)
	if !s.running.TryAdd() {
		return StageResponse{Fault: fault.New(fault.Unavailable, fault.NotRun, "VM %s has stopped", s.Self)}
	}
	defer s.running.Done()
	o := s.find(call.Pool)
	if o == nil {
		return StageResponse{Fault: fault.New(fault.Busy, fault.NotRun, "VM %s does not own pool %s", s.Self, call.Pool)}
	}
	e := execution{service: s, owned: o, call: call, onChunk: onChunk, submitted: s.Clock.Now()}
	answer := e.run(ctx)
	summary := o.summary(s.Clock.Now())
	answer.Summary = &summary
	return answer
}

func (s *Service) find(name string) *owned {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.pools[name]
}

// execution is one attempt at a stage.
type execution struct {
	service   *Service
	owned     *owned
	call      StageCall
	onChunk   func(Chunk)
	submitted time.Time
	answer    StageResponse
}

func (e *execution) run(ctx context.Context) StageResponse {
	w := e.owned.submit(e.submitted, e.call.Call)
	switch a := e.wait(ctx, w).(type) {
	case pool.Dispatch:
		e.dispatch(ctx, w, a)
	case pool.Refuse:
		e.answer.Fault = a.Err
	}
	return e.answer
}

// wait waits for the pool's decision. A caller that leaves withdraws the call,
// which the pool answers with a refusal unless it has already dispatched.
func (e *execution) wait(ctx context.Context, w *waiter) pool.Action {
	select {
	case a := <-w.decision:
		return a
	case <-ctx.Done():
		e.owned.step(e.service.Clock.Now(), pool.CancelRequested{Attempt: e.call.Call.Attempt})
		return <-w.decision
	}
}

func (e *execution) dispatch(ctx context.Context, w *waiter, action pool.Dispatch) {
	s := e.service
	started := s.Clock.Now()
	e.answer.Target = action.Target
	e.answer.Domain = e.owned.spec().Domain
	e.answer.QueueMS = milliseconds(started.Sub(e.submitted))
	work, cancel := e.workContext(ctx)
	defer cancel()
	e.owned.start(w, cancel)
	result, err := s.Engine.Do(work, e.engineCall(action), e.chunks())
	now := s.Clock.Now()
	e.answer.ServiceMS = milliseconds(now.Sub(started))
	e.answer.Tokens = result.Tokens
	e.answer.FirstTokenMS = milliseconds(result.FirstToken)
	outcome := pool.Outcome{Kind: pool.Succeeded, Latency: now.Sub(started), FirstToken: result.FirstToken, Tokens: result.Tokens}
	if err != nil {
		e.answer.Fault = fault.From(err)
		e.answer.Cause = engine.CauseOf(err)
		outcome.Kind = outcomeKind(e.answer.Cause)
		s.Log.WithFields(logrus.Fields{
			"attempt": e.call.Call.Attempt, "request_id": e.call.Call.Request, "target": action.Target,
			"cause": e.answer.Cause.String(), "verdict": e.answer.Fault.Verdict.String(),
		}).Info("attempt failed")
	} else {
		e.answer.Output = result.Output
	}
	e.owned.finish(now, e.call.Call.Attempt, outcome)
}

// workContext returns the context of a running call. A call that is not
// idempotent runs on without its caller, so that its result can be recorded.
func (e *execution) workContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if e.call.Call.Idempotent && !e.call.Call.MustFinish {
		return context.WithCancel(ctx)
	}
	return context.WithCancel(context.WithoutCancel(ctx))
}

func (e *execution) engineCall(action pool.Dispatch) engine.Call {
	config := e.service.Config()
	service := config.Sections.Services[e.owned.spec().Service]
	deadline := e.call.RequestDeadline
	if deadline.IsZero() {
		deadline = e.call.Call.Deadline
	}
	if !e.call.Call.Idempotent {
		deadline = deadline.Add(lateLimit)
	}
	return engine.Call{
		Target:           action.Target,
		Address:          action.Address,
		Kind:             service.Kind,
		Attempt:          e.call.Call.Attempt,
		IdempotencyKey:   e.call.IdempotencyKey,
		Idempotent:       e.call.Call.Idempotent,
		Input:            e.call.Input,
		Previous:         e.call.Previous,
		Model:            service.Model,
		MaxTokens:        e.call.MaxTokens,
		Priority:         e.call.Priority,
		Resume:           e.call.Resume,
		ResumeTokens:     e.call.ResumeTokens,
		Deadline:         deadline,
		FirstByteTimeout: firstByteTimeout(service, action.FirstByteTimeout),
	}
}

const (
	firstByteFactor  = 8 // Multiple of the typical time after which a target counts as silent.
	firstByteMinimum = 750 * time.Millisecond
)

// firstByteTimeout bounds the silence of a target before its answer starts, by
// what the pool has learned or else by the service's typical time.
func firstByteTimeout(service note.Service, learned time.Duration) time.Duration {
	limit := firstByteFactor * service.TypicalLatency()
	if learned > 0 {
		limit = min(limit, learned)
	}
	return max(firstByteMinimum, limit)
}

func (e *execution) chunks() func(engine.Chunk) {
	first := true
	began := e.service.Clock.Now()
	var p pace
	return func(c engine.Chunk) {
		now := e.service.Clock.Now()
		if first {
			first = false
			e.owned.step(now, pool.StreamStarted{Attempt: e.call.Call.Attempt, FirstToken: now.Sub(began)})
		}
		if p.token(now) {
			e.owned.step(now, pool.StreamSlowed{Attempt: e.call.Call.Attempt})
		}
		if e.onChunk != nil {
			e.onChunk(Chunk{Position: c.Position, Text: c.Text})
		}
	}
}

func outcomeKind(cause engine.Cause) pool.OutcomeKind {
	switch cause {
	case engine.Unreachable, engine.Crashed:
		return pool.Crashed
	case engine.Silent:
		return pool.Silent
	case engine.Overloaded:
		return pool.Overloaded
	case engine.Abandoned:
		return pool.Canceled
	default:
		return pool.Failed
	}
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration.Microseconds()) / 1000
}
