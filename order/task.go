package order

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
)

// maxSteps bounds the steps of one run of a task.
const maxSteps = 16

// task brings one target closer to the wanted state.
type task struct {
	service      *Service
	ctx          context.Context
	name         string
	address      string
	rejectsStale bool
	perMinute    int
	wanted       []Command
	reserved     bool // A time slot for one load is reserved.
}

// stepResult says when to look at a target again.
type stepResult struct {
	wait       time.Duration
	recordOpen bool // The store may hold an open order.
	again      bool // Take the next step at once; ignore wait.
}

func (t *task) run() {
	end := stepResult{wait: retryPeriod, recordOpen: true}
	for range maxSteps {
		end = t.step()
		if !end.again {
			break
		}
	}
	t.service.end(t.name, end.wait, end.recordOpen)
}

// step observes the target and performs the action decided on.
func (t *task) step() stepResult {
	failed := stepResult{wait: retryPeriod, recordOpen: true}
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
	return stepResult{wait: idlePeriod}
}

// observe reads the record and then the engine's state. The order matters: the
// effect of everything that the record shows as done is visible in a state that
// is read later. The record is not read if it cannot be open and the engine is
// in the wanted state.
func (t *task) observe() (observation, error) {
	s := t.service
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	known := s.targetState(t.name)
	o := observation{
		now:              s.Clock.Now(),
		self:             s.Self,
		rejectsStale:     t.rejectsStale,
		wanted:           t.wanted,
		sent:             known.sent,
		resolved:         known.resolved,
		incarnationAfter: known.incarnationAfter,
	}
	var err error
	if !known.recordOpen {
		o.engine, err = s.Engine.State(ctx, t.address)
		if err != nil || decide(o) == (idle{}) {
			return o, err
		}
	}
	if o.record, err = readRecord(ctx, s.Store, t.name); err != nil {
		return o, err
	}
	o.engine, err = s.Engine.State(ctx, t.address)
	if known.sendReturned && known.incarnationAfter == "" && err == nil {
		o.incarnationAfter = o.engine.Incarnation
		s.update(t.name, func(known *targetState) { known.incarnationAfter = o.incarnationAfter })
	}
	return o, err
}

// reserveSlot reserves a time slot for a load from the weight store and waits
// until it begins.
func (t *task) reserveSlot() stepResult {
	s := t.service
	if !s.beginReservation() {
		return stepResult{wait: scanPeriod, recordOpen: true}
	}
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	slot, err := reserveLoadSlot(ctx, s.Store, s.Clock.Now(), t.perMinute)
	s.endReservation(err)
	if err != nil {
		t.log().WithError(err).Debug("failed to reserve a slot for a load")
		return stepResult{wait: retryPeriod, recordOpen: true}
	}
	select {
	case <-t.ctx.Done():
		return stepResult{wait: retryPeriod, recordOpen: true}
	case <-s.Clock.After(slot.Sub(s.Clock.Now())):
	}
	t.reserved = true
	return stepResult{wait: retryPeriod, recordOpen: true, again: true}
}

// claim records the order with this process as its issuer. The next step sends
// it.
func (t *task) claim(o observation, command Command) stepResult {
	s := t.service
	if command.LoadsWeights() && !t.reserved {
		return t.reserveSlot()
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
		return stepResult{wait: retryPeriod, recordOpen: true}
	}
	s.count("order_claims_total")
	return stepResult{wait: retryPeriod, recordOpen: true, again: true}
}

// send sends the claimed order. It is the only caller of Engine.Apply and runs
// at most once per fencing token.
func (t *task) send(r Record) stepResult {
	s := t.service
	s.update(t.name, func(known *targetState) {
		known.sent, known.incarnationAfter, known.sendReturned = r.Command.FencingToken, "", false
	})
	ctx, cancel := context.WithTimeout(t.ctx, applyTimeout)
	defer cancel()
	s.count("order_sent_total")
	err := s.Engine.Apply(ctx, t.address, r.Command)
	s.update(t.name, func(known *targetState) { known.sendReturned = true })
	log := t.log().WithFields(logrus.Fields{
		"order":   r.Command.Kind.String(),
		"subject": r.Command.Subject,
		"version": r.Command.Version,
		"fence":   r.Command.FencingToken,
	})
	if err != nil && fault.VerdictOf(err) == fault.MayHaveRun {
		s.count("order_open_total")
		log.WithError(err).Warn("outcome of the engine order is unknown")
		return stepResult{wait: retryPeriod, recordOpen: true}
	}
	s.update(t.name, func(known *targetState) { known.resolved = r.Command.FencingToken })
	if err != nil {
		s.count("order_failed_total")
		log.WithError(err).Warn("engine order failed")
		t.close(r)
		return stepResult{wait: retryPeriod, recordOpen: true}
	}
	log.Info("engine order succeeded")
	return t.close(r)
}

// close marks the record of an order whose outcome is known as settled.
func (t *task) close(r Record) stepResult {
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	replaced, err := r.replace(ctx, t.service.Store, r.withPhase(PhaseResolved))
	if err != nil || !replaced {
		return stepResult{wait: retryPeriod, recordOpen: true}
	}
	t.service.count("order_settled_total")
	return stepResult{wait: retryPeriod, recordOpen: true, again: true}
}

// warnOpen logs an order that has been open for longer than openWarning.
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
