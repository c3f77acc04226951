package relay

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotworks/admit"
	"bergamotworks/fault"
	"bergamotworks/place"
	"bergamotworks/site"
	"bergamotworks/wire"
)

const (
	// responseGrace is how long after its deadline a request still waits for a
	// response that may be in flight.
	responseGrace = 100 * time.Millisecond
	// maxStagePieces limits the pieces of one stage.
	maxStagePieces = 512
	// notReadyRetryAfter is the retry delay sent to clients while this node has
	// no configuration, no directory or no service for the route.
	notReadyRetryAfter = 500 * time.Millisecond
	// outdatedRetryAfter is the retry delay sent to clients whose request might
	// be valid in a newer configuration.
	outdatedRetryAfter = 300 * time.Millisecond
	// shutdownRetryAfter is the retry delay sent to clients whose requests this node
	// no longer handles because it shuts down. Other nodes accept them.
	shutdownRetryAfter = 50 * time.Millisecond
)

// exchange is the handling of one client request: its stages, its attempts at
// targets and its response.
type exchange struct {
	server        *Server
	client        *clientConn
	request       *wire.Request
	id            string
	arrived       time.Time
	deadline      time.Time // The request fails at this time.
	stageDeadline time.Time // The stages fail at this time; not after deadline.
	config        site.Config
	route         site.Route
	service       string
	account       site.ClientAccount
	pieceCounts   []int // Number of pieces of each stage.
	// handles holds the handles of the results of each stage. It is nil before
	// the stages run and after their results were released. The entry of a stage
	// is nil until the stage has completed, and empty once its results were
	// released.
	handles [][]string
	// skipRetryCharge means that the next attempt is not charged to the retry
	// budget, because it was charged before or because the last attempt reached
	// no target.
	skipRetryCharge bool
	inputsRemade    bool        // The stages have run again because a target found a result gone.
	prints          []uint64    // Cached result of fingerprints; nil until it is computed.
	servicePrint    uint64      // Cached result of serviceFingerprint; zero until it is computed.
	probe           uint64      // Fingerprint that is quarantined and that the request probes; zero if none.
	lastEventID     int64       // Identifier of the last event forwarded; noEventID before the first.
	work            *place.Work // Cached result of parseWork; nil until it is needed.
	call            *place.Call // The present attempt; nil if its target is not chosen by the expected time.
	decision        admit.Decision
	retryDecided    bool // The admission has decided when the client may retry.

	copies copies // Of the memory of its run.

	usable      []site.Target // Of the service when the target was chosen.
	sentAt      time.Time     // Start of the current attempt.
	targetBegan time.Duration // Time from then to the first byte or event of its response; zero before it.

	// Progress of the request, also for its log entry.
	target        string
	attempts      int
	runs          int // Attempts that have failed and may have run.
	status        int
	err           error
	stageDuration time.Duration // Time from arrival to the end of the stages.
	firstByte     time.Duration // Time from arrival to the first byte of the response.
	contentType   string        // Of the stream that has begun.
	headerSent    bool          // The header of a target's response has been sent to the client.
	complete      bool          // A complete response has been sent to the client.
}

func newExchange(c *clientConn, r *wire.Request, arrived time.Time) *exchange {
	return &exchange{server: c.server, client: c, request: r, arrived: arrived, lastEventID: noEventID, id: r.Headers.Get(c.server.Names.Request)}
}

// run handles the request and reports whether the connection can be reused.
func (x *exchange) run(ctx context.Context) bool {
	if err := x.prepare(); err != nil {
		return x.fail(err)
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline.Add(responseGrace))
	defer cancel()
	defer x.releaseAll()
	defer x.freeCopies()
	x.server.counters.requests.Inc()
	x.server.recordRequest(x.service, x.arrived)
	if err := x.heldError(nil); err != nil {
		return x.fail(err)
	}
	if err := x.admit(); err != nil {
		return x.fail(err)
	}
	if err := x.runStages(ctx); err != nil {
		return x.fail(err)
	}
	if err := x.dispatch(ctx); err != nil {
		x.recordOverdue()
		return x.fail(err)
	}
	return x.complete
}

// prepare validates the request, looks up its route and client account and
// selects the service. It returns an error if the request must not run.
func (x *exchange) prepare() error {
	if x.server.draining.Load() {
		return fault.New(fault.Unavailable, fault.NotRun, "this node shuts down").WithRetryAfter(shutdownRetryAfter)
	}
	x.config = x.server.Config()
	if !x.config.Loaded() || !x.server.Directory().Loaded() {
		return fault.New(fault.Unavailable, fault.NotRun, "this node knows no configuration yet").WithRetryAfter(notReadyRetryAfter)
	}
	names := x.server.Names
	route, ok := x.config.Route(x.request.Host(), x.request.Path())
	if !ok {
		return x.rejectUnknown(fault.NotFound, "no route for %s%s", x.request.Host(), x.request.Path())
	}
	x.route = route
	if err := x.authenticate(); err != nil {
		return err
	}
	if x.id == "" || x.request.Headers.Count(names.Request) > 1 {
		return fault.InvalidField(names.Request, "a request needs one identifier")
	}
	if err := x.parseTimeout(); err != nil {
		return err
	}
	if err := x.parsePieceCounts(); err != nil {
		return err
	}
	x.service = route.SelectBackend(x.server.Random.Uint64())
	if x.service == "" {
		return fault.New(fault.Unavailable, fault.NotRun, "route %s has no service", route.Name).WithRetryAfter(notReadyRetryAfter)
	}
	return x.checkQuarantine()
}

// authenticate looks up the client account by its API key. Public routes and
// configurations without a list of accounts need no key.
func (x *exchange) authenticate() error {
	if x.route.Public || !x.config.NeedsKey() {
		return nil
	}
	key := x.server.Names.AccountKey
	a, ok := x.config.Account(x.request.Headers.Get(key))
	if !ok || x.request.Headers.Count(key) > 1 {
		return x.rejectUnknown(fault.Unauthorized, "the key belongs to no client account")
	}
	x.account = a
	return nil
}

// rejectUnknown returns the error for a route or key that the configuration does
// not have. If it is known to be outdated, the client is told to retry.
func (x *exchange) rejectUnknown(kind fault.Kind, format string, args ...any) error {
	err := fault.New(kind, fault.NotRun, format, args...)
	if x.server.Outdated == nil || !x.server.Outdated() {
		return err
	}
	return fault.New(fault.Unavailable, fault.NotRun, "configuration %d is out of date: %s", x.config.Revision, err.Message).WithRetryAfter(outdatedRetryAfter)
}

// parseTimeout sets the deadlines from the shorter of the route's timeout and
// the client's.
func (x *exchange) parseTimeout() error {
	timeout := x.route.Timeout
	if text := x.request.Headers.Get(x.server.Names.Deadline); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || ms != ms {
			return fault.InvalidField(x.server.Names.Deadline, "%q is no number of milliseconds", text)
		}
		requested := time.Duration(min(ms, 1e9) * float64(time.Millisecond))
		if timeout == 0 || requested < timeout {
			timeout = requested
		}
	}
	if timeout <= 0 {
		return fault.New(fault.DeadlineExceeded, fault.NotRun, "the deadline has passed")
	}
	x.deadline = x.arrived.Add(timeout)
	x.stageDeadline = x.deadline
	if p := x.route.FirstEventTimeout; p > 0 && p < timeout {
		x.stageDeadline = x.arrived.Add(p)
	}
	return nil
}

// parsePieceCounts reads the number of pieces of each stage.
func (x *exchange) parsePieceCounts() error {
	if len(x.route.Stages) == 0 {
		return nil
	}
	name := x.server.Names.StagePieces
	parts := strings.Split(x.request.Headers.Get(name), ",")
	if len(parts) != len(x.route.Stages) {
		return fault.InvalidField(name, "route %s has %d stages", x.route.Name, len(x.route.Stages))
	}
	x.pieceCounts = make([]int, len(parts))
	for i, p := range parts {
		n, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || n < 0 || n > maxStagePieces {
			return fault.InvalidField(name, "%q is no number of pieces", p)
		}
		x.pieceCounts[i] = n
	}
	return nil
}

// priority returns the priority of the client account, or of the route if the
// account has none; lower is more urgent.
func (x *exchange) priority() int {
	if x.account.Priority != nil {
		return *x.account.Priority
	}
	return x.route.Priority
}

// timeLeft returns the time until the deadline; it is negative after it.
func (x *exchange) timeLeft() time.Duration { return x.deadline.Sub(x.server.Clock.Now()) }

// logEnd records metrics of the request and logs its end.
func (x *exchange) logEnd() {
	took := x.server.Clock.Now().Sub(x.arrived)
	x.server.counters.recordEnd(x.route.Kind, x.status, took)
	fields := logrus.Fields{
		"request": x.id, "route": x.route.Name, "service": x.service, "target": x.target, "sends": x.attempts,
		"status": x.status, "version": x.config.Revision, "priority": x.priority(), "ms": took.Milliseconds(),
		"staged_ms": x.stageDuration.Milliseconds(), "first_ms": x.firstByte.Milliseconds(), "whole": x.complete,
	}
	if x.err != nil {
		fields["error"] = x.err.Error()
	}
	x.server.Log.WithFields(fields).Info("request ended")
}
