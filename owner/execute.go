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

// HandleExecute serves [MethodExecute]. A streamed call sends each [Chunk] to
// the calling node before the [StageResponse]. It returns an error only for
// invalid parameters; a failed attempt is reported in [StageResponse.Fault].
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
// owns. It calls onChunk, unless nil, for each chunk in order, before it returns.
// A failure is returned in [StageResponse.Fault].
func (s *Service) Execute(ctx context.Context, call StageCall, onChunk func(Chunk)) StageResponse {
	s.once.Do(s.init)
	if !s.inFlight.TryAdd() {
		return StageResponse{Fault: fault.New(fault.Unavailable, fault.NotRun, "VM %s has stopped", s.Self)}
	}
	defer s.inFlight.Done()
	o := s.findPool(call.Pool)
	if o == nil {
		return StageResponse{Fault: fault.New(fault.Busy, fault.NotRun, "VM %s does not own pool %s", s.Self, call.Pool)}
	}
	e := execution{service: s, owned: o, call: call, onChunk: onChunk, submitted: s.Clock.Now()}
	response := e.run(ctx)
	summary := o.summary(s.Clock.Now())
	response.Summary = &summary
	return response
}

func (s *Service) findPool(name string) *ownedPool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.pools[name]
}

// execution is one attempt at a stage.
type execution struct {
	service   *Service
	owned     *ownedPool
	call      StageCall
	onChunk   func(Chunk)
	submitted time.Time
	response  StageResponse
}

func (e *execution) run(ctx context.Context) StageResponse {
	c := e.owned.submit(e.submitted, e.call.Call)
	switch a := e.wait(ctx, c).(type) {
	case pool.Dispatch:
		e.dispatch(ctx, c, a)
	case pool.Reject:
		e.response.Fault = a.Err
	}
	return e.response
}

// wait waits for the pool's decision. When ctx ends first, it cancels the call;
// the pool then rejects the call unless it has already dispatched it.
func (e *execution) wait(ctx context.Context, c *pendingCall) pool.Action {
	select {
	case a := <-c.decision:
		return a
	case <-ctx.Done():
		e.owned.step(e.service.Clock.Now(), pool.CancelRequested{Attempt: e.call.Call.Attempt})
		return <-c.decision
	}
}

func (e *execution) dispatch(ctx context.Context, c *pendingCall, action pool.Dispatch) {
	s := e.service
	started := s.Clock.Now()
	e.response.Target = action.Target
	e.response.Domain = e.owned.spec().Domain
	e.response.QueueMS = milliseconds(started.Sub(e.submitted))
	if service := e.owned.spec().Service; s.Allows != nil && !s.Allows(service, action.Target) {
		e.response.Target = ""
		e.response.Fault = fault.New(fault.Busy, fault.NotRun, "the version of target %s must not get the call any more", action.Target)
		e.owned.finish(started, e.call.Call.Attempt, pool.Outcome{Kind: pool.Canceled})
		return
	}
	workCtx, cancel := e.workContext(ctx)
	defer cancel()
	e.owned.start(c, cancel)
	result, err := s.Engine.Do(workCtx, e.engineCall(action), e.chunks())
	now := s.Clock.Now()
	e.response.ServiceMS = milliseconds(now.Sub(started))
	e.response.Tokens = result.Tokens
	e.response.FirstTokenMS = milliseconds(result.FirstToken)
	outcome := pool.Outcome{Kind: pool.Succeeded, Latency: now.Sub(started), FirstToken: result.FirstToken, Tokens: result.Tokens}
	if err != nil {
		e.response.Fault = fault.From(err)
		e.response.Cause = engine.CauseOf(err)
		outcome.Kind = outcomeKind(e.response.Cause)
		s.Log.WithFields(logrus.Fields{
			"attempt": e.call.Call.Attempt, "request_id": e.call.Call.Request, "target": action.Target,
			"cause": e.response.Cause.String(), "verdict": e.response.Fault.Verdict.String(),
		}).Info("attempt failed")
	} else {
		e.response.Output = result.Output
	}
	e.owned.finish(now, e.call.Call.Attempt, outcome)
}

// workContext returns the context of a running call. A call that is not
// idempotent, or that must finish, continues after ctx is canceled, so that its
// result can be recorded.
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
		deadline = deadline.Add(lateResultGrace)
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
	typicalTimeFactor   = 8 // Multiple of the service's typical call time.
	minFirstByteTimeout = 750 * time.Millisecond
)

// firstByteTimeout returns the time within which the response of a target must
// start: a multiple of the service's typical call time, or the timeout that the
// pool derives from the measured time to the first token if that is shorter, and
// at least minFirstByteTimeout. A measured timeout of zero means that none is
// known.
func firstByteTimeout(service note.Service, measured time.Duration) time.Duration {
	timeout := typicalTimeFactor * service.TypicalLatency()
	if measured > 0 {
		timeout = min(timeout, measured)
	}
	return max(minFirstByteTimeout, timeout)
}

func (e *execution) chunks() func(engine.Chunk) {
	first := true
	start := e.service.Clock.Now()
	var detector slowdownDetector
	return func(c engine.Chunk) {
		now := e.service.Clock.Now()
		if first {
			first = false
			e.owned.step(now, pool.StreamStarted{Attempt: e.call.Call.Attempt, FirstToken: now.Sub(start)})
		}
		if detector.observe(now) {
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
		return pool.TimedOut
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
