package trial

import (
	"context"
	"time"

	"bergamotworks/engine"
	"bergamotworks/fault"
)

// caller sends one request until it has an answer or gives up.
type caller struct {
	load    *load
	planned planned
	started time.Time
	record  record
}

// answerGrace is the time after its deadline in which a caller still takes a
// refusal. An answer in that time counts as late.
const answerGrace = 250 * time.Millisecond

// record is what one caller met.
type record struct {
	planned  planned
	at       time.Duration // Since the start of the tallied time.
	attempts int
	refusals int // Attempts that were refused with "not run".
	answered bool
	wrong    bool
	latency  time.Duration
	failure  fault.Kind    // Of the last attempt, unless answered.
	verdict  fault.Verdict // Of the last attempt, unless answered.
}

// attained reports whether the answer was whole and in time.
func (r record) attained() bool {
	return r.answered && !r.wrong && r.latency <= r.planned.deadline
}

// onlyRefused reports whether every attempt was refused with "not run".
func (r record) onlyRefused() bool { return !r.answered && r.refusals == r.attempts }

// deniedLast reports whether the caller was told at last that its request has
// not run.
func (r record) deniedLast() bool { return !r.answered && r.verdict == fault.NotRun }

// run sends the request and reports the record.
func (c *caller) run(ctx context.Context) {
	defer c.load.group.Done()
	defer c.load.release()
	c.started = c.load.clock.Now()
	c.record.planned = c.planned
	c.record.at = c.started.Sub(c.load.started)
	for c.again(ctx) {
		c.attempt(ctx)
	}
	c.record.latency = c.load.clock.Now().Sub(c.started)
	c.load.tally.add(c.record)
}

// again reports whether another attempt is worth it.
func (c *caller) again(ctx context.Context) bool {
	r := c.record
	if r.attempts == 0 {
		return true
	}
	if r.answered || ctx.Err() != nil || c.left() <= 0 {
		return false
	}
	return !final(r.failure) && r.attempts <= c.load.script.Clients.MaxRetries
}

// final reports whether a repeat cannot change the refusal.
func final(kind fault.Kind) bool {
	switch kind {
	case fault.Invalid, fault.NotFound, fault.Unauthorized, fault.TooLarge, fault.Expired, fault.Quarantined:
		return true
	default:
		return false
	}
}

func (c *caller) left() time.Duration {
	return c.planned.deadline - c.load.clock.Now().Sub(c.started)
}

// attempt sends the request once.
func (c *caller) attempt(ctx context.Context) {
	limit := c.left() + answerGrace
	if t := milliseconds(c.load.script.Clients.AttemptTimeoutMS); t > 0 {
		limit = min(limit, t)
	}
	r := &c.record
	r.attempts++
	if c.planned.poison {
		c.planned.key = newKey() // The caller renames the request.
	}
	address, ok := c.load.address(r.attempts)
	if !ok {
		r.refusals++
		r.failure, r.verdict = fault.Unavailable, fault.NotRun
		c.load.pause(ctx)
		return
	}
	result := c.load.sender.send(address, c.planned, c.left(), limit)
	c.take(result)
}

func (c *caller) take(result response) {
	r := &c.record
	if result.problem != nil {
		r.failure, r.verdict = result.problem.Kind, result.problem.Verdict
		if r.verdict == fault.NotRun {
			r.refusals++
		}
		return
	}
	r.answered = true
	r.wrong = string(engine.Canonical(result.output)) != string(c.load.expected(c.planned)) || result.broken
	if c.planned.tallied {
		c.load.tally.times(result)
	}
}
