package flow

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/poison"
)

// run is one run of a request at its home. Repeats join it.
type run struct {
	service  *Service
	key      string
	request  Request
	pipeline note.Pipeline
	class    note.Class
	ctx      context.Context
	cancel   context.CancelFunc
	done     chan struct{}
	started  time.Time
	ended    time.Time // Guarded by the service's mutex.

	mutex    sync.Mutex // Guards the fields below.
	deadline time.Time
	waiters  map[*waiter]struct{}
	leftAt   time.Time // Time at which the last waiter left.
	chunks   []Chunk   // Chunks of the last stage.
	firstAt  time.Time // Time of the first chunk.
	bound    bool      // A stage that is not idempotent may have been dispatched.
	touched  bool      // Some stage has run or may have run.
	stages   []StageReport
	answer   Response
	err      error

	// The text that the caller already had when the run started.
	resume       string
	resumeTokens int
}

// waiter is a caller that waits for a run.
type waiter struct {
	onChunk func(Chunk)
	sent    int // Number of chunks passed on.
}

// joinKey names the run that a request starts or joins.
func joinKey(request Request) string {
	name := request.Key
	if name == "" {
		name = strconv.FormatUint(request.Fingerprint, 16)
	}
	return strings.Join([]string{request.Account, request.Pipeline, name, strconv.FormatUint(request.Fingerprint, 16)}, "\x00")
}

// serveHere runs a request on this node, or joins its run in progress.
func (s *Service) serveHere(ctx context.Context, request serveRequest, onChunk func(Chunk)) (Response, error) {
	r, err := s.join(request)
	if err != nil {
		return Response{}, err
	}
	w := r.attach(request.Request.Deadline, onChunk)
	defer r.detach(w)
	timer := s.Clock.After(request.Request.Deadline.Sub(s.Clock.Now()) + verdictGrace/2)
	select {
	case <-r.done:
		r.pass(w)
		return r.result(request.Request)
	case <-ctx.Done():
		return Response{}, fault.From(ctx.Err())
	case <-timer:
		return Response{}, fault.New(fault.DeadlineExceeded, fault.MayHaveRun, "the deadline has passed")
	}
}

// join returns the run of a request, and starts it if there is none. A run
// that failed is started again.
func (s *Service) join(request serveRequest) (*run, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key := joinKey(request.Request)
	before := s.runs[key]
	if before != nil && before.answers(request.Request) {
		s.Metrics.GetOrCreateCounter("flow_joined_total").Inc()
		return before, nil
	}
	doubt := before != nil && before.err != nil && fault.VerdictOf(before.err) != fault.NotRun
	r, err := s.newRun(key, request, doubt)
	if err != nil {
		return nil, inDoubt(err, doubt)
	}
	if before != nil {
		s.forget(key, before)
	}
	s.runs[key] = r
	s.running.Add()
	go r.run()
	return r, nil
}

// answers reports whether a run serves a request that names it: one in progress
// serves every one, an answer that is kept only those with an idempotency key.
// The caller holds the service's mutex.
func (r *run) answers(request Request) bool {
	if r.ended.IsZero() {
		return true
	}
	return r.err == nil && request.Key != ""
}

// inDoubt keeps the doubt that an earlier run of the same request has left.
func inDoubt(err error, doubt bool) error {
	if doubt && fault.VerdictOf(err) == fault.NotRun {
		return fault.From(err).WithVerdict(fault.MayHaveRun)
	}
	return err
}

func (s *Service) newRun(key string, request serveRequest, doubt bool) (*run, error) {
	now := s.Clock.Now()
	config := s.Config()
	pipeline, ok := config.Sections.Pipelines[request.Request.Pipeline]
	if !ok {
		return nil, fault.New(fault.NotFound, fault.NotRun, "no pipeline %q", request.Request.Pipeline)
	}
	if s.poison.Check(now, request.Request.Fingerprint) == poison.Quarantined {
		return nil, fault.New(fault.Quarantined, fault.NotRun, "the request has crashed its targets")
	}
	if len(s.runs)-s.finished >= maxActive {
		return nil, fault.New(fault.Busy, fault.NotRun, "the node runs %d requests", maxActive).WithRetryAfter(fullWait)
	}
	// Of other pipelines the ledger is asked first, see execute.
	if request.ResumeTokens == 0 && pipeline.Idempotent() {
		if err := s.refuseHopeless(now, request.Request, pipeline.Class, pipeline.Stages); err != nil {
			return nil, err
		}
	}
	r := &run{
		service: s, key: key, request: request.Request, pipeline: pipeline,
		class: config.Sections.Classes[pipeline.Class], done: make(chan struct{}), started: now,
		deadline: request.Request.Deadline, waiters: make(map[*waiter]struct{}), leftAt: now,
		resume: request.Resume, resumeTokens: request.ResumeTokens, touched: doubt,
	}
	r.ctx, r.cancel = context.WithCancel(s.base)
	return r, nil
}

// run runs the stages and keeps the result.
func (r *run) run() {
	defer r.service.running.Done()
	defer r.cancel()
	output, err := r.execute()
	r.mutex.Lock()
	r.err = r.verdict(err)
	r.answer = Response{RequestID: r.request.ID, Output: output, Stages: r.stages}
	r.mutex.Unlock()
	r.service.end(r)
	close(r.done)
}

// verdict makes an error tell what became of the request as a whole.
func (r *run) verdict(err error) error {
	if err == nil {
		return nil
	}
	fe := fault.From(err)
	if r.touched && fe.Verdict == fault.NotRun {
		return fe.WithVerdict(fault.MayHaveRun)
	}
	return fe
}

// end keeps a finished run for repeats and records its outcome.
func (s *Service) end(r *run) {
	now := s.Clock.Now()
	s.mutex.Lock()
	r.ended = now
	s.finished++
	s.kept += r.size()
	s.mutex.Unlock()
	if s.Record != nil {
		s.Record(r.outcome(now))
	}
}

// result returns the answer under the identifier of the asking request.
func (r *run) result(request Request) (Response, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	answer := r.answer
	answer.RequestID = request.ID
	return answer, r.err
}

func (r *run) attach(deadline time.Time, onChunk func(Chunk)) *waiter {
	w := &waiter{onChunk: onChunk}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.waiters[w] = struct{}{}
	if deadline.After(r.deadline) {
		r.deadline = deadline
	}
	r.passLocked(w)
	return w
}

func (r *run) detach(w *waiter) {
	now := r.service.Clock.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.waiters, w)
	if len(r.waiters) == 0 {
		r.leftAt = now
	}
}

func (r *run) pass(w *waiter) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.passLocked(w)
}

func (r *run) passLocked(w *waiter) {
	if w.onChunk == nil {
		return
	}
	for ; w.sent < len(r.chunks); w.sent++ {
		w.onChunk(r.chunks[w.sent])
	}
}

// emit appends a chunk of the last stage and passes it to every waiter.
func (r *run) emit(chunk Chunk) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.chunks) == 0 {
		r.firstAt = r.service.Clock.Now()
	}
	r.chunks = append(r.chunks, chunk)
	for w := range r.waiters {
		r.passLocked(w)
	}
}

// cancelIfAbandoned cancels a run that nobody has waited for during some time,
// unless its work must not be cut.
func (r *run) cancelIfAbandoned(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.waiters) > 0 || r.class.MustFinish || r.bound {
		return
	}
	if now.Sub(r.leftAt) > abandonAfter {
		r.cancel()
	}
}

// size returns the bytes of a finished run's answer.
func (r *run) size() int {
	size := len(r.answer.Output)
	for _, c := range r.chunks {
		size += len(c.Text)
	}
	return size
}

func (r *run) limit() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.deadline
}

func (r *run) touch() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.touched = true
}

func (r *run) bind() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.bound = true
}

func (r *run) report(stage StageReport) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.stages = append(r.stages, stage)
}

// execute runs the stages in order and returns the output of the last.
func (r *run) execute() (json.RawMessage, error) {
	r.service.countFirst()
	first, previous := r.recorded()
	if !r.pipeline.Idempotent() {
		if err := r.service.checkHopeless(r.request, r.pipeline, first); err != nil {
			return nil, err
		}
	}
	for i := first; i < len(r.pipeline.Stages); i++ {
		g := &stageRun{run: r, index: i, stage: r.pipeline.Stages[i], previous: previous}
		output, err := g.execute()
		if err != nil {
			return nil, err
		}
		previous = output
	}
	return previous, nil
}
