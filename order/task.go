package order

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
)

// maxSteps bounds the steps of one task.
const maxSteps = 16

// task brings one target towards the wanted state.
type task struct {
	service   *Service
	ctx       context.Context
	name      string
	address   string
	refuses   bool
	perMinute int
	wanted    []Command
	paced     bool // A slot for one load is taken.
}

// outcome says when a target is looked at again.
type outcome struct {
	wait time.Duration
	open bool // The store may hold an open order.
	more bool // Look again at once.
}

func (t *task) run() {
	end := outcome{wait: retryPeriod, open: true}
	for range maxSteps {
		end = t.step()
		if !end.more {
			break
		}
	}
	t.service.end(t.name, end.wait, end.open)
}

// step observes the target and does what follows.
func (t *task) step() outcome {
	failed := outcome{wait: retryPeriod, open: true}
	o, err := t.observe()
	if err != nil {
		t.log().WithError(err).Debug("target of engine orders not observed")
		return failed
	}
	switch a := decide(o).(type) {
	case settle:
		return t.close(o.record)
	case send:
		return t.send(o.record)
	case claim:
		return t.claim(o, a.command)
	case await:
		t.warn(o)
		return failed
	}
	return outcome{wait: restPeriod}
}

// observe reads the record and then the engine's state. The order matters:
// whatever the record says has been done shows in a state that is read later.
// The record is left out if nothing can have to be done.
func (t *task) observe() (observation, error) {
	s := t.service
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	known := s.known(t.name)
	o := observation{
		now:       s.Clock.Now(),
		self:      s.Self,
		refuses:   t.refuses,
		wanted:    t.wanted,
		sent:      known.sent,
		concluded: known.concluded,
		after:     known.after,
	}
	var err error
	if !known.open {
		o.engine, err = s.Engine.State(ctx, t.address)
		if err != nil || decide(o) == (rest{}) {
			return o, err
		}
	}
	if o.record, err = readRecord(ctx, s.Store, t.name); err != nil {
		return o, err
	}
	o.engine, err = s.Engine.State(ctx, t.address)
	if known.returned && known.after == "" && err == nil {
		o.after = o.engine.Incarnation
		s.update(t.name, func(known *targetState) { known.after = o.after })
	}
	return o, err
}

// plan waits for a slot in which the target may load from the weight store.
func (t *task) plan() outcome {
	s := t.service
	if !s.beginPacing() {
		return outcome{wait: passPeriod, open: true}
	}
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	slot, err := reserve(ctx, s.Store, s.Clock.Now(), t.perMinute)
	s.endPacing(err)
	if err != nil {
		t.log().WithError(err).Debug("load not planned")
		return outcome{wait: retryPeriod, open: true}
	}
	select {
	case <-t.ctx.Done():
		return outcome{wait: retryPeriod, open: true}
	case <-s.Clock.After(slot.Sub(s.Clock.Now())):
	}
	t.paced = true
	return outcome{wait: retryPeriod, open: true, more: true}
}

// claim records the order in this process's name. The next step sends it.
func (t *task) claim(o observation, command Command) outcome {
	s := t.service
	if command.LoadsWeights() && !t.paced {
		return t.plan()
	}
	t.paced = false
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
		return outcome{wait: retryPeriod, open: true}
	}
	s.count("order_claims_total")
	return outcome{wait: retryPeriod, open: true, more: true}
}

// send sends the claimed order. It is the only place that does, and it runs
// once for each fencing number.
func (t *task) send(r Record) outcome {
	s := t.service
	s.update(t.name, func(known *targetState) {
		known.sent, known.after, known.returned = r.Command.Fence, "", false
	})
	ctx, cancel := context.WithTimeout(t.ctx, applyTimeout)
	defer cancel()
	s.count("order_sent_total")
	err := s.Engine.Apply(ctx, t.address, r.Command)
	s.update(t.name, func(known *targetState) { known.returned = true })
	log := t.log().WithFields(logrus.Fields{
		"order":   r.Command.Kind.String(),
		"subject": r.Command.Subject,
		"version": r.Command.Version,
		"fence":   r.Command.Fence,
	})
	if err != nil && fault.VerdictOf(err) == fault.MayHaveRun {
		s.count("order_open_total")
		log.WithError(err).Warn("outcome of engine order is open")
		return outcome{wait: retryPeriod, open: true}
	}
	s.update(t.name, func(known *targetState) { known.concluded = r.Command.Fence })
	if err != nil {
		s.count("order_failed_total")
		log.WithError(err).Warn("engine order failed")
		t.close(r)
		return outcome{wait: retryPeriod, open: true}
	}
	log.Info("engine order has run")
	return t.close(r)
}

// close settles the record of an order whose outcome is known.
func (t *task) close(r Record) outcome {
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	replaced, err := r.replace(ctx, t.service.Store, r.withPhase(PhaseSettled))
	if err != nil || !replaced {
		return outcome{wait: retryPeriod, open: true}
	}
	t.service.count("order_settled_total")
	return outcome{wait: retryPeriod, open: true, more: true}
}

// warn reports an order that has been open for long.
func (t *task) warn(o observation) {
	if o.now.Sub(o.record.claimed()) < openWarning {
		return
	}
	t.service.count("order_waits_total")
	t.log().WithFields(logrus.Fields{
		"issuer": o.record.Issuer,
		"fence":  o.record.Command.Fence,
	}).Warn("engine order is open, no other one is sent")
}

func (t *task) log() *logrus.Entry { return t.service.Log.WithField("target", t.name) }
