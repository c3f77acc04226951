package trial

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"bergamotworks/emul"
	"bergamotworks/engine"
	"bergamotworks/note"
	"bergamotworks/ports"
)

// maxCallers bounds the callers that wait at one time.
const maxCallers = 4000

// rampSteps is the number of steps in which the load rises during warm-up.
const rampSteps = 20

// emptyPause is the wait of a caller that finds no node at all.
const emptyPause = 20 * time.Millisecond

// load sends requests at the script's rate, whether or not earlier ones have
// been answered.
type load struct {
	script  Script
	config  note.Config
	narrow  bottleneck
	system  System
	clock   ports.Clock
	sender  *sender
	tally   *tally
	started time.Time // Of the tallied time.

	share   atomic.Uint64 // Load share in millionths.
	waiting atomic.Int64
	dropped atomic.Int64 // Requests not sent because too many callers waited.
	group   sync.WaitGroup
}

// millionths turns a load share into an integer.
const millionths = 1e6

func (l *load) setShare(share float64) { l.share.Store(uint64(share * millionths)) }

// rate returns the requests per second to offer at a time.
func (l *load) rate(now time.Time) float64 {
	rate := float64(l.share.Load()) / millionths * l.narrow.rate
	if left := l.started.Sub(now); left > 0 {
		steps := float64(rampSteps) * float64(left) / float64(milliseconds(l.script.WarmUpMS))
		rate *= (1 + float64(rampSteps) - steps) / (1 + float64(rampSteps))
	}
	return rate
}

// run offers load until the end of the script and waits for the callers.
func (l *load) run(ctx context.Context) {
	planner := newPlanner(l.script, l.config)
	end := l.started.Add(milliseconds(l.script.DurationMS))
	next := l.clock.Now()
	for ctx.Err() == nil {
		next = next.Add(planner.wait(l.rate(next)))
		if next.After(end) {
			break
		}
		l.sleep(ctx, next)
		request := planner.next()
		request.tallied = !next.Before(l.started)
		l.launch(ctx, request)
	}
	l.group.Wait()
}

func (l *load) sleep(ctx context.Context, until time.Time) {
	wait := until.Sub(l.clock.Now())
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-l.clock.After(wait):
	}
}

// launch starts a caller.
func (l *load) launch(ctx context.Context, request planned) {
	if l.waiting.Add(1) > maxCallers {
		l.waiting.Add(-1)
		l.dropped.Add(1)
		return
	}
	c := &caller{load: l, planned: request}
	l.group.Add(1)
	go c.run(ctx)
}

func (l *load) release() { l.waiting.Add(-1) }

// pause waits a little where there is no node to call.
func (l *load) pause(ctx context.Context) {
	l.sleep(ctx, l.clock.Now().Add(emptyPause))
}

// address picks a node for an attempt.
func (l *load) address(attempt int) (string, bool) {
	addresses := l.system.Addresses()
	if len(addresses) == 0 {
		return "", false
	}
	turn := l.tally.turn()
	if l.script.Clients.SwitchNode {
		turn += uint64(attempt)
	}
	return addresses[turn%uint64(len(addresses))], true
}

// expected returns the whole right answer to a request.
func (l *load) expected(request planned) json.RawMessage {
	return engine.Canonical(emul.PipelineOutput(l.config, request.pipeline, request.input))
}
