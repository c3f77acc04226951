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

// run is the execution of a request at its home. Repeats of the request join it.
type run struct {
	service    *Service
	key        string
	request    Request
	pipeline   note.Pipeline
	class      note.Class
	ctx        context.Context
	cancel     context.CancelFunc
	done       chan struct{}
	startedAt  time.Time
	finishedAt time.Time // Zero while the run is in progress. Guarded by the service's mutex.

	mutex        sync.Mutex // Guards the fields down to err. Once finishedAt is set, response, err and chunks no longer change.
	deadline     time.Time  // Latest deadline of all waiters so far.
	waiters      map[*waiter]struct{}
	abandonedAt  time.Time // Start of the time without waiters; not valid while there are any.
	chunks       []Chunk   // Output of the last stage so far.
	firstChunkAt time.Time // Time of the first chunk.
	uncancelable bool      // A non-idempotent stage was recorded in the ledger, so it may be dispatched.
	mayHaveRun   bool      // Some stage ran or may have run.
	stages       []StageReport
	response     Response
	err          error

	// The text that the client had already received from an earlier home when the
	// run started, and its number of tokens. They do not change.
	resumeText   string
	resumeTokens int
}

// waiter is a client that waits for a run.
type waiter struct {
	onChunk func(Chunk)
	sent    int // Number of chunks delivered.
}

// runKey returns the key of the run that a request starts or joins. It consists
// of the client account, the pipeline, the idempotency key, if any, and the
// fingerprint.
func runKey(request Request) string {
	name := request.Key
	if name == "" {
		name = strconv.FormatUint(request.Fingerprint, 16)
	}
	return strings.Join([]string{request.Account, request.Pipeline, name, strconv.FormatUint(request.Fingerprint, 16)}, "\x00")
}

// serveLocal runs a request on this node or joins the run in progress.
func (s *Service) serveLocal(ctx context.Context, request serveRequest, onChunk func(Chunk)) (Response, error) {
	r, err := s.join(request)
	if err != nil {
		return Response{}, err
	}
	w := r.attach(request.Request.Deadline, onChunk)
	defer r.detach(w)
	timer := s.Clock.After(request.Request.Deadline.Sub(s.Clock.Now()) + verdictGrace/2)
	select {
	case <-r.done:
		r.deliver(w)
		return r.responseFor(request.Request)
	case <-ctx.Done():
		return Response{}, fault.From(ctx.Err())
	case <-timer:
		return Response{}, fault.New(fault.DeadlineExceeded, fault.MayHaveRun, "the deadline has passed")
	}
}

// join returns the run that serves a request. It starts a run if there is none
// or if the previous one failed.
func (s *Service) join(request serveRequest) (*run, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key := runKey(request.Request)
	previous := s.runs[key]
	if previous != nil && previous.canServe(request.Request) {
		s.Metrics.GetOrCreateCounter("flow_joined_total").Inc()
		return previous, nil
	}
	mayHaveRun := previous != nil && previous.err != nil && fault.VerdictOf(previous.err) != fault.NotRun
	r, err := s.newRun(key, request, mayHaveRun)
	if err != nil {
		return nil, keepMayHaveRun(err, mayHaveRun)
	}
	if previous != nil {
		s.evict(key, previous)
	}
	s.runs[key] = r
	s.inFlight.Add()
	go r.run()
	return r, nil
}

// canServe reports whether a run serves a request with the same run key. A run
// in progress serves all of them; a retained response serves only requests with
// an idempotency key. The caller holds the service's mutex.
func (r *run) canServe(request Request) bool {
	if r.finishedAt.IsZero() {
		return true
	}
	return r.err == nil && request.Key != ""
}

// keepMayHaveRun replaces the verdict NotRun of err by MayHaveRun if mayHaveRun is
// set, which means that an earlier run of the same request may have run stages.
func keepMayHaveRun(err error, mayHaveRun bool) error {
	if mayHaveRun && fault.VerdictOf(err) == fault.NotRun {
		return fault.From(err).WithVerdict(fault.MayHaveRun)
	}
	return err
}

func (s *Service) newRun(key string, request serveRequest, mayHaveRun bool) (*run, error) {
	now := s.Clock.Now()
	config := s.Config()
	pipeline, ok := config.Sections.Pipelines[request.Request.Pipeline]
	if !ok {
		return nil, fault.New(fault.NotFound, fault.NotRun, "no pipeline %q", request.Request.Pipeline)
	}
	if s.poison.Check(now, request.Request.Fingerprint) == poison.Quarantined {
		return nil, fault.New(fault.Quarantined, fault.NotRun, "the request has crashed its targets")
	}
	if len(s.runs)-s.retainedRuns >= maxActiveRuns {
		return nil, fault.New(fault.Busy, fault.NotRun, "the node runs %d requests", maxActiveRuns).WithRetryAfter(overloadRetryAfter)
	}
	// For other pipelines execute checks this after it has looked up the ledger,
	// because stages that are recorded do not run again.
	if request.ResumeTokens == 0 && pipeline.Idempotent() {
		if err := s.checkFeasible(now, request.Request, pipeline.Class, pipeline.Stages); err != nil {
			return nil, err
		}
	}
	r := &run{
		service: s, key: key, request: request.Request, pipeline: pipeline,
		class: config.Sections.Classes[pipeline.Class], done: make(chan struct{}), startedAt: now,
		deadline: request.Request.Deadline, waiters: make(map[*waiter]struct{}), abandonedAt: now,
		resumeText: request.Resume, resumeTokens: request.ResumeTokens, mayHaveRun: mayHaveRun,
	}
	r.ctx, r.cancel = context.WithCancel(s.base)
	return r, nil
}

// run runs the stages and stores the result.
func (r *run) run() {
	defer r.service.inFlight.Done()
	defer r.cancel()
	output, err := r.execute()
	r.mutex.Lock()
	r.err = r.withVerdict(err)
	r.response = Response{RequestID: r.request.ID, Output: output, Stages: r.stages}
	r.mutex.Unlock()
	r.service.finish(r)
	close(r.done)
}

// withVerdict returns err with the verdict of the whole request: MayHaveRun
// replaces NotRun if some stage ran or may have run. The caller holds r.mutex.
func (r *run) withVerdict(err error) error {
	if err == nil {
		return nil
	}
	fe := fault.From(err)
	if r.mayHaveRun && fe.Verdict == fault.NotRun {
		return fe.WithVerdict(fault.MayHaveRun)
	}
	return fe
}

// finish retains a finished run for repeats and records its outcome.
func (s *Service) finish(r *run) {
	now := s.Clock.Now()
	s.mutex.Lock()
	r.finishedAt = now
	s.retainedRuns++
	s.retainedBytes += r.size()
	s.mutex.Unlock()
	if s.Record != nil {
		s.Record(r.outcome(now))
	}
}

// responseFor returns the response with the ID of the given request, which may
// be a repeat.
func (r *run) responseFor(request Request) (Response, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	response := r.response
	response.RequestID = request.ID
	return response, r.err
}

// attach adds a waiter and delivers the chunks that were emitted before. If the
// waiter's deadline is later than that of the run, it becomes the run's.
func (r *run) attach(deadline time.Time, onChunk func(Chunk)) *waiter {
	w := &waiter{onChunk: onChunk}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.waiters[w] = struct{}{}
	if deadline.After(r.deadline) {
		r.deadline = deadline
	}
	r.deliverLocked(w)
	return w
}

func (r *run) detach(w *waiter) {
	now := r.service.Clock.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.waiters, w)
	if len(r.waiters) == 0 {
		r.abandonedAt = now
	}
}

// deliver passes the chunks that the waiter does not have yet to its onChunk.
func (r *run) deliver(w *waiter) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.deliverLocked(w)
}

// deliverLocked is like deliver. The caller holds r.mutex.
func (r *run) deliverLocked(w *waiter) {
	if w.onChunk == nil {
		return
	}
	for ; w.sent < len(r.chunks); w.sent++ {
		w.onChunk(r.chunks[w.sent])
	}
}

// emit appends a chunk of the last stage and delivers it to every waiter.
func (r *run) emit(chunk Chunk) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.chunks) == 0 {
		r.firstChunkAt = r.service.Clock.Now()
	}
	r.chunks = append(r.chunks, chunk)
	for w := range r.waiters {
		r.deliverLocked(w)
	}
}

// cancelIfAbandoned cancels a run that has had no waiters for abandonTimeout.
// It does not cancel a run of a class that must finish, nor one whose
// non-idempotent stage may have been dispatched.
func (r *run) cancelIfAbandoned(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.waiters) > 0 || r.class.MustFinish || r.uncancelable {
		return
	}
	if now.Sub(r.abandonedAt) > abandonTimeout {
		r.cancel()
	}
}

// size returns the size of the response and chunks in bytes. The run must be
// finished.
func (r *run) size() int {
	size := len(r.response.Output)
	for _, c := range r.chunks {
		size += len(c.Text)
	}
	return size
}

func (r *run) currentDeadline() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.deadline
}

func (r *run) setMayHaveRun() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.mayHaveRun = true
}

func (r *run) setUncancelable() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.uncancelable = true
}

func (r *run) addReport(stage StageReport) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.stages = append(r.stages, stage)
}

// execute runs the stages in order and returns the output of the last. It skips
// the stages up to the last non-idempotent one whose result is recorded in the
// ledger.
func (r *run) execute() (json.RawMessage, error) {
	r.service.countFirstAttempt()
	first, previous := r.findRecorded()
	if !r.pipeline.Idempotent() {
		if err := r.service.checkFeasibleFrom(r.request, r.pipeline, first); err != nil {
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
