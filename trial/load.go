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

// maxClients limits the clients with a request in flight.
const maxClients = 4000

// rampFactor sets the rate at the start of the warm-up: 1/(rampFactor+1) of the
// full rate. From there the rate rises linearly.
const rampFactor = 20

// noNodeDelay is the delay of a client before it retries when no node is ready.
const noNodeDelay = 20 * time.Millisecond

// loadGenerator is an open-loop load generator: it sends requests at the
// script's rate, whether or not earlier ones have completed.
type loadGenerator struct {
	script     Script
	config     note.Config
	bottleneck bottleneck
	system     System
	clock      ports.Clock
	sender     *sender
	collector  *collector
	warmUpEnd  time.Time

	loadShare  atomic.Uint64  // Load share in millionths.
	inFlight   atomic.Int64   // Clients with a request in flight.
	notOffered atomic.Int64   // Requests not sent because maxClients were in flight.
	clients    sync.WaitGroup // Clients that run.
}

// loadShareScale converts a load share to an integer for atomic access.
const loadShareScale = 1e6

// setLoadShare sets the offered load as a share of the capacity.
func (l *loadGenerator) setLoadShare(share float64) {
	l.loadShare.Store(uint64(share * loadShareScale))
}

// rate returns the rate of the offered load at a time, in requests per second.
func (l *loadGenerator) rate(now time.Time) float64 {
	rate := float64(l.loadShare.Load()) / loadShareScale * l.bottleneck.rate
	if remaining := l.warmUpEnd.Sub(now); remaining > 0 {
		missing := float64(rampFactor) * float64(remaining) / float64(milliseconds(l.script.WarmUpMS))
		rate *= (1 + float64(rampFactor) - missing) / (1 + float64(rampFactor))
	}
	return rate
}

// run generates load until the end of the script and waits for the clients.
func (l *loadGenerator) run(ctx context.Context) {
	planner := newPlanner(l.script, l.config)
	end := l.warmUpEnd.Add(milliseconds(l.script.DurationMS))
	next := l.clock.Now()
	for ctx.Err() == nil {
		next = next.Add(planner.interval(l.rate(next)))
		if next.After(end) {
			break
		}
		l.sleep(ctx, next)
		request := planner.next()
		request.counted = !next.Before(l.warmUpEnd)
		l.launch(ctx, request)
	}
	l.clients.Wait()
}

func (l *loadGenerator) sleep(ctx context.Context, until time.Time) {
	wait := until.Sub(l.clock.Now())
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-l.clock.After(wait):
	}
}

// launch starts a client, or counts the request as not offered if too many are
// in flight.
func (l *loadGenerator) launch(ctx context.Context, planned plannedRequest) {
	if l.inFlight.Add(1) > maxClients {
		l.inFlight.Add(-1)
		l.notOffered.Add(1)
		return
	}
	c := &client{load: l, request: planned}
	l.clients.Add(1)
	go c.run(ctx)
}

// clientEnded counts a client as no longer in flight.
func (l *loadGenerator) clientEnded() { l.inFlight.Add(-1) }

// pause waits for noNodeDelay.
func (l *loadGenerator) pause(ctx context.Context) {
	l.sleep(ctx, l.clock.Now().Add(noNodeDelay))
}

// address returns the address of a node for an attempt, and false if no node is
// ready.
func (l *loadGenerator) address(attempt int) (string, bool) {
	addresses := l.system.Addresses()
	if len(addresses) == 0 {
		return "", false
	}
	turn := l.collector.nextTurn()
	if l.script.Clients.SwitchNode {
		turn += uint64(attempt)
	}
	return addresses[turn%uint64(len(addresses))], true
}

// expected returns the correct output for a request.
func (l *loadGenerator) expected(planned plannedRequest) json.RawMessage {
	return engine.Canonical(emul.PipelineOutput(l.config, planned.pipeline, planned.input))
}
