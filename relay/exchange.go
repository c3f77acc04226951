package relay

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/site"
	"bergamotworks/wire"
)

const (
	// lateAnswer is how long after its time a request still waits for an
	// answer that may be on its way.
	lateAnswer = 100 * time.Millisecond
	// maxPieces bounds the pieces of one stage.
	maxPieces = 512
	// unreadyRetry is what callers are told while nothing is known.
	unreadyRetry = 500 * time.Millisecond
)

// job is one request on its way.
type job struct {
	server  *Server
	session *session
	request *wire.Request
	id      string
	arrived time.Time
	limit   time.Time // Time at which the request is given up.
	stageBy time.Time // Time at which the stages are given up.
	config  site.Config
	route   site.Route
	service string
	account site.Account
	counts  []int // Pieces of each stage.
	results [][]string
	// prepaid says that the next send has been taken out of the budget.
	prepaid   bool
	print     uint64 // Fingerprint of the content; zero before it is worked out.
	lastEvent int64  // Identifier of the last event that was passed on.

	// What is logged of the request.
	target   string
	sends    int
	status   int
	err      error
	staged   time.Duration // Time that the stages took.
	first    time.Duration // Time to the first byte of the answer.
	begun    bool          // The head of an answer has been sent to the caller.
	finished bool          // A whole answer has been sent.
}

func newJob(c *session, q *wire.Request, arrived time.Time) *job {
	return &job{server: c.server, session: c, request: q, arrived: arrived, lastEvent: noEvent, id: q.Headers.Get(c.server.Names.Request)}
}

// run serves the request and reports whether the connection can be kept.
func (j *job) run(ctx context.Context) bool {
	if err := j.prepare(); err != nil {
		return j.refuse(err)
	}
	ctx, cancel := context.WithDeadline(ctx, j.limit.Add(lateAnswer))
	defer cancel()
	defer j.free()
	j.server.counters.requests.Inc()
	j.server.first(j.service, j.arrived)
	if err := j.runStages(ctx); err != nil {
		return j.refuse(err)
	}
	if err := j.serve(ctx); err != nil {
		return j.refuse(err)
	}
	return j.finished
}

// prepare finds out what the request is and whether it may run.
func (j *job) prepare() error {
	j.config = j.server.Config()
	if !j.config.Loaded() || !j.server.Directory().Loaded() {
		return fault.New(fault.Unavailable, fault.NotRun, "this node knows no configuration yet").WithRetryAfter(unreadyRetry)
	}
	names := j.server.Names
	route, ok := j.config.Route(j.request.Host(), j.request.Path())
	if !ok {
		return fault.New(fault.NotFound, fault.NotRun, "no route for %s%s", j.request.Host(), j.request.Path())
	}
	j.route = route
	if err := j.findAccount(); err != nil {
		return err
	}
	if j.id == "" || j.request.Headers.Count(names.Request) > 1 {
		return fault.InvalidField(names.Request, "a request needs one identifier")
	}
	if err := j.findLimit(); err != nil {
		return err
	}
	if err := j.findPieces(); err != nil {
		return err
	}
	j.service = route.SelectBackend(j.server.Random.Uint64())
	if j.service == "" {
		return fault.New(fault.Unavailable, fault.NotRun, "route %s has no service", route.Name).WithRetryAfter(unreadyRetry)
	}
	return j.condemned()
}

func (j *job) findAccount() error {
	if j.route.Public || len(j.config.Accounts) == 0 {
		return nil
	}
	key := j.server.Names.APIKey
	a, ok := j.config.Account(j.request.Headers.Get(key))
	if !ok || j.request.Headers.Count(key) > 1 {
		return fault.New(fault.Unauthorized, fault.NotRun, "the key belongs to no client account")
	}
	j.account = a
	return nil
}

// findLimit reads for how long the caller waits.
func (j *job) findLimit() error {
	wait := j.route.Timeout
	if text := j.request.Headers.Get(j.server.Names.Deadline); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || ms != ms {
			return fault.InvalidField(j.server.Names.Deadline, "%q is no number of milliseconds", text)
		}
		told := time.Duration(min(ms, 1e9) * float64(time.Millisecond))
		if wait == 0 || told < wait {
			wait = told
		}
	}
	if wait <= 0 {
		return fault.New(fault.DeadlineExceeded, fault.NotRun, "the deadline has passed")
	}
	j.limit = j.arrived.Add(wait)
	j.stageBy = j.limit
	if p := j.route.FirstEventTimeout; p > 0 && p < wait {
		j.stageBy = j.arrived.Add(p)
	}
	return nil
}

// findPieces reads how many pieces each stage has.
func (j *job) findPieces() error {
	if len(j.route.Stages) == 0 {
		return nil
	}
	name := j.server.Names.StagePieces
	parts := strings.Split(j.request.Headers.Get(name), ",")
	if len(parts) != len(j.route.Stages) {
		return fault.InvalidField(name, "route %s has %d stages", j.route.Name, len(j.route.Stages))
	}
	j.counts = make([]int, len(parts))
	for i, p := range parts {
		n, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || n < 0 || n > maxPieces {
			return fault.InvalidField(name, "%q is no number of pieces", p)
		}
		j.counts[i] = n
	}
	return nil
}

// urgency returns the rank of the request; zero is the most urgent.
func (j *job) urgency() int {
	if j.account.Priority != nil {
		return *j.account.Priority
	}
	return j.route.Priority
}

// left returns the time for which the caller still waits.
func (j *job) left() time.Duration { return j.limit.Sub(j.server.Clock.Now()) }

// note logs the end of the request.
func (j *job) note() {
	took := j.server.Clock.Now().Sub(j.arrived)
	j.server.counters.end(j.route.Kind, j.status, took)
	fields := logrus.Fields{
		"request": j.id, "route": j.route.Name, "service": j.service, "target": j.target, "sends": j.sends,
		"status": j.status, "version": j.config.Version, "priority": j.urgency(), "ms": took.Milliseconds(),
		"staged_ms": j.staged.Milliseconds(), "first_ms": j.first.Milliseconds(), "whole": j.finished,
	}
	if j.err != nil {
		fields["error"] = j.err.Error()
	}
	j.server.Log.WithFields(fields).Info("request ended")
}
