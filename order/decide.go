package order

import (
	"slices"
	"time"
)

// takeoverPeriod is the time after which another node repeats an order, under a
// new fencing number, to an engine that refuses old ones.
const takeoverPeriod = 2 * time.Minute

// observation is all that a decision about one target rests on.
type observation struct {
	now     time.Time
	self    string
	refuses bool // The engine refuses old fencing numbers.
	record  Record
	engine  EngineState
	wanted  []Command // In their order; the fences are not set.
	// Fencing numbers of the last order that this process has sent, and of the
	// last one whose outcome it knows.
	sent      int64
	concluded int64
	// Incarnation of the engine that was seen first after the sending of the
	// last order had ended without an answer.
	after string
}

// action is what is to be done about a target.
type action interface{ action() }

type (
	// rest: the engine is in the wanted state.
	rest struct{}
	// settle closes the record of an order whose outcome is known.
	settle struct{}
	// send sends the order that this process has claimed.
	send struct{}
	// claim records an order under the next fencing number.
	claim struct{ command Command }
	// await waits for an order whose outcome is open.
	await struct{}
)

func (rest) action()   {}
func (settle) action() {}
func (send) action()   {}
func (claim) action()  {}
func (await) action()  {}

// decide returns the next step for a target.
//
// A claim is made only while the engine is not in the state that the command
// asks for, and while no other order is open. So an open order has run once the
// engine is in that state.
func decide(o observation) action {
	if o.record.Phase == PhaseOpen {
		return o.decideOpen()
	}
	for _, c := range o.wanted {
		if !c.SatisfiedBy(o.engine) {
			c.Fence = o.record.Command.Fence + 1
			return claim{command: c}
		}
	}
	return rest{}
}

func (o observation) decideOpen() action {
	r := o.record
	own := r.Issuer == o.self
	switch {
	case r.Command.SatisfiedBy(o.engine), own && o.concluded == r.Command.Fence:
		return settle{}
	case own && o.sent < r.Command.Fence && !o.wants(r.Command):
		return settle{}
	case own && o.sent < r.Command.Fence:
		return send{}
	case o.refuses && o.now.Sub(r.claimed()) >= takeoverPeriod:
		return o.takeOver()
	case own && o.after != "" && o.engine.Incarnation != o.after:
		// Whatever life of the engine the order was sent to is over.
		return settle{}
	}
	return await{}
}

// wants reports whether a command is still wanted.
func (o observation) wants(c Command) bool {
	c.Fence = 0
	return slices.Contains(o.wanted, c)
}

// takeOver claims the first wanted command, or the open one if none is left:
// its issuer may still send it, and the engine has to see a newer number first.
func (o observation) takeOver() action {
	next := o.record.Command
	for _, c := range o.wanted {
		if !c.SatisfiedBy(o.engine) {
			next = c
			break
		}
	}
	next.Fence = o.record.Command.Fence + 1
	return claim{command: next}
}
