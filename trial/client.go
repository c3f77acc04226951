package trial

import (
	"context"
	"time"

	"bergamotworks/engine"
	"bergamotworks/fault"
)

// client sends one request, with retries, and records its outcome.
type client struct {
	load    *loadGenerator
	request plannedRequest
	started time.Time
	record  record
}

// responseGrace is the time after the deadline during which a client still
// waits for an error response. A result that arrives in that time counts as late.
const responseGrace = 250 * time.Millisecond

// record is the outcome of one client's request.
type record struct {
	request   plannedRequest
	start     time.Duration // Since the end of the warm-up; negative during it.
	attempts  int
	notRun    int           // Attempts that failed with the verdict NotRun.
	succeeded bool          // An attempt returned a response other than an error.
	wrong     bool          // The response was not the expected one.
	latency   time.Duration // Over all attempts.
	failure   fault.Kind    // Of the last attempt, unless it succeeded.
	verdict   fault.Verdict // Of the last attempt, unless it succeeded.
}

// attained reports whether the response was correct and met the deadline.
func (r record) attained() bool {
	return r.succeeded && !r.wrong && r.latency <= r.request.deadline
}

// allNotRun reports whether every attempt failed with the verdict NotRun.
func (r record) allNotRun() bool { return !r.succeeded && r.notRun == r.attempts }

// lastNotRun reports whether the last attempt failed with the verdict NotRun.
func (r record) lastNotRun() bool { return !r.succeeded && r.verdict == fault.NotRun }

// run sends the request until no further attempt is due and adds the record to
// the collector.
func (c *client) run(ctx context.Context) {
	defer c.load.clients.Done()
	defer c.load.clientEnded()
	c.started = c.load.clock.Now()
	c.record.request = c.request
	c.record.start = c.started.Sub(c.load.warmUpEnd)
	for c.shouldAttempt(ctx) {
		c.attempt(ctx)
	}
	c.record.latency = c.load.clock.Now().Sub(c.started)
	c.load.collector.add(c.record)
}

// shouldAttempt reports whether the client sends a first attempt or a retry.
func (c *client) shouldAttempt(ctx context.Context) bool {
	r := c.record
	if r.attempts == 0 {
		return true
	}
	if r.succeeded || ctx.Err() != nil || c.remaining() <= 0 {
		return false
	}
	return !permanent(r.failure) && r.attempts <= c.load.script.Clients.MaxRetries
}

// permanent reports whether a retry cannot succeed after an error of this kind.
func permanent(kind fault.Kind) bool {
	switch kind {
	case fault.Invalid, fault.NotFound, fault.Unauthorized, fault.TooLarge, fault.Expired, fault.Quarantined:
		return true
	default:
		return false
	}
}

func (c *client) remaining() time.Duration {
	return c.request.deadline - c.load.clock.Now().Sub(c.started)
}

// attempt sends the request once and records the response. Having no node to
// send to counts as failed with NotRun.
func (c *client) attempt(ctx context.Context) {
	limit := c.remaining() + responseGrace
	if t := milliseconds(c.load.script.Clients.AttemptTimeoutMS); t > 0 {
		limit = min(limit, t)
	}
	r := &c.record
	r.attempts++
	if c.request.poison {
		c.request.key = newKey() // The system must not recognize the retry by its idempotency key.
	}
	address, ok := c.load.address(r.attempts)
	if !ok {
		r.notRun++
		r.failure, r.verdict = fault.Unavailable, fault.NotRun
		c.load.pause(ctx)
		return
	}
	resp := c.load.sender.send(address, c.request, c.remaining(), limit)
	c.recordResponse(resp)
}

func (c *client) recordResponse(resp response) {
	r := &c.record
	if resp.problem != nil {
		r.failure, r.verdict = resp.problem.Kind, resp.problem.Verdict
		if r.verdict == fault.NotRun {
			r.notRun++
		}
		return
	}
	r.succeeded = true
	r.wrong = string(engine.Canonical(resp.output)) != string(c.load.expected(c.request)) || resp.inconsistent
	if c.request.counted {
		c.load.collector.addTokenTimes(resp)
	}
}
