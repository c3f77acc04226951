package canary

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotworks/member"
)

const (
	// verdictKind is the kind of announcements of verdicts.
	verdictKind = "rollout_verdict"
	// verdictTTL is how long a verdict is gossiped after each announcement of it.
	verdictTTL = 30 * time.Second
	// maxVerdicts limits the verdicts that a node remembers for the case that it becomes the
	// owner, and those that its gate keeps on orders that it has not read yet.
	maxVerdicts = 64
)

// verdicts are the final phases of orders, oldest first. The zero value is ready for use. It
// is safe for concurrent use.
type verdicts struct {
	mutex sync.Mutex
	known []verdict
}

// verdict is the final phase of an order.
type verdict struct {
	order int64
	phase Phase
}

// decided reports whether a phase is a verdict on a version.
func decided(p Phase) bool { return p == Complete || p == RolledBack }

// add remembers a verdict and reports whether it is new. RolledBack replaces Complete, and
// nothing replaces RolledBack.
func (v *verdicts) add(order int64, phase Phase) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	at := v.index(order)
	if at >= 0 {
		known := v.known[at].phase
		v.known[at].phase = max(known, phase)
		return phase > known
	}
	if len(v.known) >= maxVerdicts {
		v.known = slices.Delete(v.known, 0, 1)
	}
	v.known = append(v.known, verdict{order: order, phase: phase})
	return true
}

// index returns the index of the verdict on an order, -1 if there is none. The mutex is
// held.
func (v *verdicts) index(order int64) int {
	return slices.IndexFunc(v.known, func(k verdict) bool { return k.order == order })
}

// find returns the verdict on an order, and whether there is one.
func (v *verdicts) find(order int64) (Phase, bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if at := v.index(order); at >= 0 {
		return v.known[at].phase, true
	}
	return 0, false
}

// VerdictFromAnnouncement returns the order and phase that a announces. It reports false
// for an announcement of another kind or one that is no verdict.
func VerdictFromAnnouncement(a member.Announcement) (order int64, phase Phase, ok bool) {
	order, phase = int64(a.Key), Phase(a.Value)
	return order, phase, a.Kind == verdictKind && order > 0 && decided(phase)
}

// ObserveVerdict records a verdict that another node has announced and applies it at once.
func (s *Service) ObserveVerdict(order int64, phase Phase) {
	if s == nil {
		return
	}
	s.once.Do(s.init)
	if !s.recordVerdict(order, phase, "announcement") {
		return
	}
	now := s.Clock.Now()
	defer s.sendAnnouncements()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, r := range s.rollouts {
		if r.order.ID() == order {
			s.step(now, r, VerdictReceived{Order: order, Phase: phase})
		}
	}
}

// recordVerdict passes a verdict to the gate and reports whether it is new. Other phases
// are no verdicts.
func (s *Service) recordVerdict(order int64, phase Phase, from string) bool {
	if !decided(phase) || !s.verdicts.add(order, phase) {
		return false
	}
	now := s.Clock.Now()
	s.Gate.Apply(now, verdictGrant(order, phase))
	operatorState, _ := s.AsOf()
	s.Metrics.GetOrCreateCounter(`canary_verdicts_total{phase="` + phase.String() + `"}`).Inc()
	s.Log.WithFields(logrus.Fields{
		"order": order, "phase": phase.String(), "from": from, "operator_age_ms": now.Sub(operatorState).Milliseconds(),
	}).Info("verdict on a rollout is known")
	return true
}

// verdictGrant returns the grant that follows from a verdict.
func verdictGrant(order int64, phase Phase) Grant {
	grant := Grant{Order: order, Phase: phase, ValidFor: GrantLifetime}
	if phase == Complete {
		grant.Share = 1
	}
	return grant
}

// announce prepares the broadcast of a verdict. The mutex is held.
func (s *Service) announce(now time.Time, a Announce) {
	if decided(a.Phase) {
		s.outbox = append(s.outbox, member.Announcement{Kind: verdictKind, Key: uint64(a.Order), Value: int64(a.Phase), Until: now.Add(verdictTTL)})
	}
}

// sendAnnouncements broadcasts the verdicts of the orders that this node owns, and applies
// them here. The mutex is not held, since a broadcast is delivered to this node, too.
func (s *Service) sendAnnouncements() {
	s.mutex.Lock()
	outbox := s.outbox
	s.outbox = nil
	s.mutex.Unlock()
	for _, a := range outbox {
		s.recordVerdict(int64(a.Key), Phase(a.Value), s.Self)
		s.Broadcast(a)
	}
}
