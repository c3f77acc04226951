package canary

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/site"
)

// rollout is an order that this node owns.
type rollout struct {
	order   site.Rollout // As last passed to the machine.
	machine Machine
	epoch   uint64           // Of the membership in which this node took it over.
	targets [2][]site.Target // As last passed to the machine: of other versions, of the order's.
	writing bool             // A write of the state is in flight.
	tickAt  time.Time        // Last Tick.
}

// machineTickInterval is the time between two ticks of a machine, which repeats a write
// that failed.
const machineTickInterval = 500 * time.Millisecond

// updateOwned takes over the orders that this node owns by now, gives up the others and
// passes changes and the time to the machines. What another epoch of the membership has
// left is dropped, since another node may have owned the order meanwhile. The mutex is
// held.
func (s *Service) updateOwned(now time.Time) {
	orders, epoch := s.Orders(), s.View().Epoch
	for name, r := range s.rollouts {
		present := slices.ContainsFunc(orders, func(o site.Rollout) bool { return o.Service == name && o.ID() == r.order.ID() })
		if present && r.epoch == epoch && s.owns(name) {
			continue
		}
		if !present {
			s.step(now, r, OrderGone{})
		}
		delete(s.rollouts, name)
	}
	for _, o := range orders {
		if s.owns(o.Service) {
			s.updateRollout(now, o)
		}
	}
}

// updateRollout passes what has changed to the machine of an order.
func (s *Service) updateRollout(now time.Time, o site.Rollout) {
	r := s.rollouts[o.Service]
	if r == nil {
		if o.State.Final() {
			return
		}
		r = &rollout{machine: Machine{Settings: s.Settings}, epoch: s.View().Epoch}
		s.rollouts[o.Service] = r
		s.Log.WithFields(logrus.Fields{"service": o.Service, "version": o.Version, "order": o.ID(), "view": s.View().Version}).Info("this node owns a rollout")
	}
	if r.order != o {
		taken := r.order.ID() == 0
		r.order = o
		s.step(now, r, OrderSeen{Order: o})
		if phase, ok := s.verdicts.find(o.ID()); ok && taken {
			s.step(now, r, VerdictReceived{Order: o.ID(), Phase: phase})
		}
	}
	if targets := s.targetsOf(o); !slices.Equal(targets[0], r.targets[0]) || !slices.Equal(targets[1], r.targets[1]) {
		r.targets = targets
		s.step(now, r, TargetsChanged{Old: targets[0], New: targets[1]})
	}
	if now.Sub(r.tickAt) >= machineTickInterval {
		r.tickAt = now
		s.step(now, r, Tick{})
	}
}

// targetsOf returns the targets of the order's service that accept new work: those of other
// versions and those of the order's.
func (s *Service) targetsOf(o site.Rollout) [2][]site.Target {
	var targets [2][]site.Target
	for _, t := range s.Directory().Usable(o.Service) {
		side := 0
		if t.Version == o.Version {
			side = 1
		}
		targets[side] = append(targets[side], t)
	}
	return targets
}

// owns reports whether this node owns the order for a service. One that others may consider
// dead owns none, unless it knows no others.
func (s *Service) owns(service string) bool {
	view := s.View()
	if s.leaving || view.Isolated || view.Unconfirmed && len(view.Members()) > 1 {
		return false
	}
	owner, ok := view.Owner(ownerPrefix + service)
	return !ok || owner.ID == s.Self
}

// step passes an event to the machine of an order and performs its actions. The mutex is
// held.
func (s *Service) step(now time.Time, r *rollout, e Event) {
	for _, a := range r.machine.Step(now, e) {
		switch v := a.(type) {
		case WriteStatus:
			s.startWrite(r, v.State)
		case Announce:
			s.announce(now, v)
		case LogDecision:
			s.logDecision(now, v)
		}
	}
}

// startWrite starts to record the state of an order unless a write is in flight; the
// machine repeats the action.
func (s *Service) startWrite(r *rollout, state site.RolloutState) {
	if r.writing || s.closed {
		return
	}
	r.writing = true
	s.running.Add(1)
	t := writeTask{service: s, rollout: r, order: r.order, state: state}
	go t.run()
}

// writeTask records the state of an order.
type writeTask struct {
	service *Service
	rollout *rollout
	order   site.Rollout
	state   site.RolloutState
}

func (t writeTask) run() {
	s := t.service
	defer s.running.Done()
	ctx, cancel := context.WithTimeout(s.baseContext, writeTimeout)
	defer cancel()
	started := s.Clock.Now()
	recorded, err := s.States.Record(ctx, t.order, t.state)
	now := s.Clock.Now()
	entry := s.Log.WithFields(logrus.Fields{
		"service": t.order.Service, "version": t.order.Version, "order": t.order.ID(), "state": t.state.String(), "ms": now.Sub(started).Milliseconds(),
	})
	defer s.sendAnnouncements()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t.rollout.writing = false
	if err != nil {
		s.countWrite("failed")
		entry.WithField("error", err.Error()).Warn("failed to record the state of a rollout")
		if fault.From(err).Kind != fault.NotFound {
			return
		}
		if s.rollouts[t.order.Service] == t.rollout {
			delete(s.rollouts, t.order.Service) // It starts anew if the order is there after all.
		}
		return
	}
	s.countWrite("recorded")
	entry.WithField("recorded", recorded.String()).Info("state of a rollout is recorded")
	if s.rollouts[t.order.Service] != t.rollout || t.rollout.order.ID() != t.order.ID() {
		return // This node no longer owns the order.
	}
	s.step(now, t.rollout, StatusWritten{State: recorded, Conflict: recorded != t.state})
}

func (s *Service) countWrite(outcome string) {
	s.Metrics.GetOrCreateCounter(`canary_state_writes_total{outcome="` + outcome + `"}`).Inc()
}

// logDecision logs a change of the phase or share with the evidence and its age.
func (s *Service) logDecision(now time.Time, d LogDecision) {
	operatorState, directory := s.AsOf()
	e := d.Evidence
	s.Metrics.GetOrCreateCounter(`canary_decisions_total{phase="` + d.To.String() + `"}`).Inc()
	s.Log.WithFields(logrus.Fields{
		"service": d.Service, "version": d.Version, "order": d.Order, "phase_before": d.From.String(), "phase": d.To.String(), "share": e.Share,
		"verdict": e.Verdict.String(), "reason": e.Reason, "nodes": e.Nodes, "sent": e.Sent, "canaries": e.Canaries, "old_runs": e.OldRuns,
		"new_responses": e.New.Responses, "new_failures": e.New.Failures, "old_responses": e.Old.Responses, "old_failures": e.Old.Failures,
		"excluded": e.Excluded, "order_age_ms": e.Age.Milliseconds(), "report_age_ms": e.ReportAge.Milliseconds(),
		"operator_age_ms": now.Sub(operatorState).Milliseconds(), "directory_age_ms": now.Sub(directory).Milliseconds(),
	}).Info("rollout decided")
}

func (s *Service) ownedCount() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return float64(len(s.rollouts))
}
