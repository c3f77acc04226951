package order

import (
	"slices"
	"time"
)

// takeoverAge is the age at which any node, including the issuer, replaces an
// open order with one under a new fencing token, if the engine rejects stale
// tokens.
const takeoverAge = 2 * time.Minute

// observation holds the inputs of a decision about one target.
type observation struct {
	now          time.Time
	self         string
	rejectsStale bool // The engine rejects stale fencing tokens.
	record       Record
	engine       EngineState
	wanted       []Command // Sorted by name of the order; FencingToken is not set.
	// Fencing tokens of the last order that this process sent, and of the last
	// order that it sent and whose outcome is known.
	sent     int64
	resolved int64
	// First incarnation of the engine observed after the call that sent the
	// last order returned with an unknown outcome; empty if none.
	incarnationAfter string
}

// action is the next step for a target.
type action interface{ action() }

type (
	// idle means that the engine is in the wanted state.
	idle struct{}
	// resolve marks an open order as resolved, because its outcome is known or
	// it will not be sent.
	resolve struct{}
	// send sends the order that this process claimed.
	send struct{}
	// claim records an order with the next fencing token.
	claim struct{ command Command }
	// await means that an open order must be resolved first. Its outcome is
	// unknown, or another process may still send it.
	await struct{}
)

func (idle) action()    {}
func (resolve) action() {}
func (send) action()    {}
func (claim) action()   {}
func (await) action()   {}

// decide returns the next step for a target.
//
// An order is claimed only while the engine is not in the state that the
// command requests and no other order is open. Hence an open order has run as
// soon as the engine is in that state.
func decide(o observation) action {
	if o.record.Phase == PhaseOpen {
		return o.decideOpen()
	}
	for _, c := range o.wanted {
		if !c.SatisfiedBy(o.engine) {
			c.FencingToken = o.record.Command.FencingToken + 1
			return claim{command: c}
		}
	}
	return idle{}
}

func (o observation) decideOpen() action {
	r := o.record
	own := r.Issuer == o.self
	switch {
	case r.Command.SatisfiedBy(o.engine), own && o.resolved == r.Command.FencingToken:
		return resolve{}
	case own && o.sent < r.Command.FencingToken && !o.wants(r.Command):
		return resolve{}
	case own && o.sent < r.Command.FencingToken:
		return send{}
	case o.rejectsStale && o.now.Sub(r.claimed()) >= takeoverAge:
		return o.takeOver()
	case own && o.incarnationAfter != "" && o.engine.Incarnation != o.incarnationAfter:
		// Whichever incarnation received the order has ended.
		return resolve{}
	}
	return await{}
}

// wants reports whether a command is still wanted, regardless of its fencing
// token.
func (o observation) wants(c Command) bool {
	c.FencingToken = 0
	return slices.Contains(o.wanted, c)
}

// takeOver claims the first wanted command, or the open one again if none is
// left. In both cases the engine has to see a newer token before it is safe to
// proceed, because the issuer may still send the open order.
func (o observation) takeOver() action {
	next := o.record.Command
	for _, c := range o.wanted {
		if !c.SatisfiedBy(o.engine) {
			next = c
			break
		}
	}
	next.FencingToken = o.record.Command.FencingToken + 1
	return claim{command: next}
}
