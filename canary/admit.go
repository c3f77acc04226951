package canary

import (
	"slices"
	"time"

	"bergamotworks/site"
)

// Select returns the targets that one call may choose from, see [Gate.Select]. It is called
// once for each call.
func (s *Service) Select(now time.Time, service string, targets []site.Target) []site.Target {
	if s == nil {
		return targets
	}
	s.observe(now)
	return s.Gate.Select(now, service, targets)
}

// Fallback returns the targets that a call may choose from if none of those that Select
// returned accepts it, see [Gate.Fallback].
func (s *Service) Fallback(now time.Time, service string, targets, refused []site.Target) []site.Target {
	if s == nil {
		return nil
	}
	return s.Gate.Fallback(now, service, targets, refused)
}

// Split returns the targets that bear the service's requests now, and those that may get a
// few canary requests beside them. No call may go to any other target.
func (s *Service) Split(now time.Time, service string, targets []site.Target) (regular, canaries []site.Target) {
	if s == nil {
		return targets, nil
	}
	s.observe(now)
	return s.Gate.divide(now, service, targets)
}

// Ordered reports whether there is an order for a service.
func (s *Service) Ordered(service string) bool {
	_, ok := s.Order(service)
	return ok
}

// Order returns the order for a service, and whether there is one.
func (s *Service) Order(service string) (site.Rollout, bool) {
	if s == nil {
		return site.Rollout{}, false
	}
	return site.FindRollout(s.Orders(), service)
}

// Admit is called immediately before a call is sent to a target that was chosen from the
// targets. It counts the call and reports true, or reports false if the target must not get
// it any more: the verdict may have come, or the grant expired, since the choice.
func (s *Service) Admit(now time.Time, service string, targets []site.Target, target site.Target) bool {
	if s == nil {
		return true
	}
	s.observe(now)
	if s.Gate.admit(now, service, targets, target) {
		return true
	}
	s.Metrics.GetOrCreateCounter("canary_calls_not_admitted_total").Inc()
	return false
}

// Ended records how a call that was sent to a target ended.
func (s *Service) Ended(now time.Time, route string, target site.Target, o Outcome) {
	if s != nil {
		s.Gate.Ended(now, route, target, o)
	}
}

// divide returns the targets that bear the service's requests and those that may get canary
// requests beside them. While the version is promoted, both bear requests. It reserves
// nothing.
func (g *Gate) divide(now time.Time, service string, targets []site.Target) (regular, canaries []site.Target) {
	if g.Settings.Share <= 0 || len(targets) == 0 {
		return targets, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	o, d := g.lookUp(now, service, targets)
	if o == nil {
		return d.all, nil
	}
	if settled, ok := o.settled(d); ok {
		return settled, nil
	}
	share := o.share(now)
	canaries = o.canaryTargets(now, d, share)
	if o.grant.Phase == Promoting && share > 0 {
		return d.all, nil
	}
	return d.old, canaries
}

// admit checks and counts a call in one step.
func (g *Gate) admit(now time.Time, service string, targets []site.Target, target site.Target) bool {
	same := func(t site.Target) bool { return t.ID == target.ID }
	if g.Settings.Share <= 0 {
		return slices.ContainsFunc(targets, same)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	o, d := g.lookUp(now, service, targets)
	if !slices.ContainsFunc(d.all, same) {
		return false
	}
	if o == nil {
		return true
	}
	if settled, ok := o.settled(d); ok && !slices.ContainsFunc(settled, same) {
		return false
	} else if !ok && target.Version == o.rollout.Version && !o.covers(now) {
		return false
	}
	o.count(now, target.Version)
	return true
}

// covers reports whether the present grant covers one more canary request. Choices that are
// pending do not count, since this is one of them.
func (o *gateOrder) covers(now time.Time) bool {
	share := o.share(now)
	return share > 0 && o.canaries+1 <= o.backing(share)+o.grant.Allowance
}

// ExplainsLoss reports whether a connection to a target may have been lost because of the
// target's version rather than the request: the version is not known to be good, or another
// one has taken over, so that an operator may stop the target.
func (s *Service) ExplainsLoss(target site.Target) bool {
	if s == nil {
		return false
	}
	s.Gate.mu.Lock()
	defer s.Gate.mu.Unlock()
	o := s.Gate.orders[target.Service]
	if o == nil {
		return false
	}
	phase := o.phase()
	if target.Version == o.rollout.Version {
		return phase == Waiting || phase == Observing || phase == RolledBack
	}
	return phase == Complete || phase == Promoting && o.grant.Share >= 1
}
