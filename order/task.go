package order

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
)

// maxSteps bounds the steps of one run of a task.
const maxSteps = 16

// task takes the steps that bring one target into the wanted state.
type task struct {
	service        *Service
	ctx            context.Context
	name           string
	address        string
	rejectsStale   bool // The engine rejects stale fencing tokens.
	loadsPerMinute int  // Weight loads of the whole fleet.
	wanted         []Command
	reserved       bool // A time slot for one load is reserved.
}

// stepResult says when the next step for a target is due.
type stepResult struct {
	delay      time.Duration
	recordOpen bool // The store may hold an open order.
	again      bool // Take the next step at once; ignore delay.
}

func (t *task) run() {
	end := stepResult{delay: retryDelay, recordOpen: true}
	for range maxSteps {
		end = t.step()
		if !end.again {
			break
		}
	}
	t.service.end(t.name, end.delay, end.recordOpen)
}

// step observes the target and performs the action decided on.
func (t *task) step() stepResult {
	failed := stepResult{delay: retryDelay, recordOpen: true}
	o, err := t.observe()
	if err != nil {
		t.log().WithError(err).Debug("failed to observe the target of engine orders")
		return failed
	}
	switch a := decide(o).(type) {
	case resolve:
		return t.close(o.record)
	case send:
		return t.send(o.record)
	case claim:
		return t.claim(o, a.command)
	case await:
		t.warnOpen(o)
		return failed
	}
	return stepResult{delay: idleInterval}
}

// observe reads the record and then the engine's state. The order matters: the
// effects of the orders that the record shows as resolved are visible in a
// state that is read later. The record is not read if it cannot be open and the
// engine is in the wanted state.
func (t *task) observe() (observation, error) {
	s := t.service
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	state := s.targetState(t.name)
	o := observation{
		now:              s.Clock.Now(),
		self:             s.Self,
		rejectsStale:     t.rejectsStale,
		wanted:           t.wanted,
		sent:             state.sent,
		resolved:         state.resolved,
		incarnationAfter: state.incarnationAfter,
	}
	var err error
	if !state.recordOpen {
		o.engine, err = s.Engine.State(ctx, t.address)
		if err != nil || decide(o) == (idle{}) {
			return o, err
		}
	}
	if o.record, err = readRecord(ctx, s.Store, t.name); err != nil {
		return o, err
	}
	o.engine, err = s.Engine.State(ctx, t.address)
	if state.sendReturned && state.incarnationAfter == "" && err == nil {
		o.incarnationAfter = o.engine.Incarnation
		s.update(t.name, func(state *targetState) { state.incarnationAfter = o.incarnationAfter })
	}
	return o, err
}

// reserveTimeSlot reserves a time slot for a load from the weight store and
// waits until it begins.
func (t *task) reserveTimeSlot() stepResult {
	s := t.service
	if !s.beginReservation() {
		return stepResult{delay: scanInterval, recordOpen: true}
	}
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	slot, err := reserveLoadSlot(ctx, s.Store, s.Clock.Now(), t.loadsPerMinute)
	s.endReservation(err)
	if err != nil {
		t.log().WithError(err).Debug("failed to reserve a time slot for a weight load")
		return stepResult{delay: retryDelay, recordOpen: true}
	}
	select {
	case <-t.ctx.Done():
		return stepResult{delay: retryDelay, recordOpen: true}
	case <-s.Clock.After(slot.Sub(s.Clock.Now())):
	}
	t.reserved = true
	return stepResult{delay: retryDelay, recordOpen: true, again: true}
}

// claim records the order with this process as its issuer. The next step sends
// it.
func (t *task) claim(o observation, command Command) stepResult {
	s := t.service
	if command.LoadsWeights() && !t.reserved {
		return t.reserveTimeSlot()
	}
	t.reserved = false
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	replaced, err := o.record.replace(ctx, s.Store, Record{
		Target:    t.name,
		Phase:     PhaseOpen,
		Issuer:    s.Self,
		Command:   command,
		ClaimedMS: s.Clock.Now().UnixMilli(),
	})
	if err != nil || !replaced {
		return stepResult{delay: retryDelay, recordOpen: true}
	}
	s.count("order_claims_total")
	return stepResult{delay: retryDelay, recordOpen: true, again: true}
}

// send sends the claimed order. It is the only caller of Engine.Apply and runs
// at most once per fencing token.
func (t *task) send(r Record) stepResult {
	s := t.service
	s.update(t.name, func(state *targetState) {
		state.sent, state.incarnationAfter, state.sendReturned = r.Command.FencingToken, "", false
	})
	ctx, cancel := context.WithTimeout(t.ctx, applyTimeout)
	defer cancel()
	s.count("order_sent_total")
	err := s.Engine.Apply(ctx, t.address, r.Command)
	s.update(t.name, func(state *targetState) { state.sendReturned = true })
	log := t.log().WithFields(logrus.Fields{
		"order":   r.Command.Kind.String(),
		"subject": r.Command.Subject,
		"version": r.Command.Version,
		"fence":   r.Command.FencingToken,
	})
	if err != nil && fault.VerdictOf(err) == fault.MayHaveRun {
		s.count("order_open_total")
		log.WithError(err).Warn("outcome of the engine order is unknown")
		return stepResult{delay: retryDelay, recordOpen: true}
	}
	s.update(t.name, func(state *targetState) { state.resolved = r.Command.FencingToken })
	if err != nil {
		s.count("order_failed_total")
		log.WithError(err).Warn("engine order failed")
		t.close(r)
		return stepResult{delay: retryDelay, recordOpen: true}
	}
	log.Info("engine order succeeded")
	return t.close(r)
}

// close marks the record of an order as resolved.
func (t *task) close(r Record) stepResult {
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	replaced, err := r.replace(ctx, t.service.Store, r.withPhase(PhaseResolved))
	if err != nil || !replaced {
		return stepResult{delay: retryDelay, recordOpen: true}
	}
	t.service.count("order_settled_total")
	return stepResult{delay: retryDelay, recordOpen: true, again: true}
}

// warnOpen logs an order that has been open for openWarnAge or longer.
func (t *task) warnOpen(o observation) {
	if o.now.Sub(o.record.claimed()) < openWarnAge {
		return
	}
	t.service.count("order_waits_total")
	t.log().WithFields(logrus.Fields{
		"issuer": o.record.Issuer,
		"fence":  o.record.Command.FencingToken,
	}).Warn("engine order is still open; no other order is sent to the target")
}

func (t *task) log() *logrus.Entry { return t.service.Log.WithField("target", t.name) }
