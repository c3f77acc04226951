package batch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/member"
)

// maxHops bounds the VMs that are asked for the owner of a service.
const maxHops = 3

// Do has the pieces of a stage made by whichever VM gathers for the service,
// and returns their handles in order.
func (s *Service) Do(ctx context.Context, w Work) ([]string, error) {
	s.once.Do(s.init)
	logged, wait := "", firstWait
	for {
		made, err := s.submitOnce(ctx, w)
		if err == nil || !passing(err) {
			return made, err
		}
		if text := err.Error(); text != logged {
			s.Log.WithFields(logrus.Fields{"request": w.Request, "service": w.Service, "error": text}).Info("pieces go to the owner again")
			logged = text
		}
		select {
		case <-ctx.Done():
			return nil, fault.New(fault.DeadlineExceeded, fault.NotRun, "%s: %s", w.Service, err)
		case <-s.Clock.After(wait):
			wait = resubmitWait
		}
	}
}

// passing reports whether an error is about the way to the owner and not about
// the work.
func passing(err error) bool {
	switch fault.From(err).Kind {
	case fault.Unavailable, fault.ConnectionLost, fault.Conflict:
		return true
	}
	return false
}

func (s *Service) submitOnce(ctx context.Context, w Work) ([]string, error) {
	view := s.View()
	if s.doubts(view) {
		return nil, fault.New(fault.Conflict, fault.NotRun, "the membership is in doubt")
	}
	vm, ok := view.Owner(ownerPrefix + w.Service)
	if !ok || vm.ID == s.Self {
		made, err := s.gather(ctx, w)
		s.told(w.Service, s.ownWait(w.Service))
		return made, err
	}
	return s.submitTo(ctx, vm.ID, w)
}

// submitTo submits work to the owner of its service. VMs whose views differ for a
// moment are asked who it is.
func (s *Service) submitTo(ctx context.Context, vm string, w Work) ([]string, error) {
	for range maxHops {
		now := s.Clock.Now()
		params := submission{Work: w, TargetLeft: w.Target.Sub(now), DeadlineLeft: w.Deadline.Sub(now)}
		var answer handles
		if err := s.call(ctx, vm, params, &answer); err != nil {
			if e := fault.From(err); e.Kind == fault.Busy {
				s.told(w.Service, e.RetryAfter)
			}
			return nil, err
		}
		if answer.Owner == "" {
			s.told(w.Service, answer.Wait)
			return answer.Handles, nil
		}
		s.Log.WithFields(logrus.Fields{"request": w.Request, "service": w.Service, "asked": vm, "owner": answer.Owner}).Info("another VM gathers")
		vm = answer.Owner
	}
	return nil, fault.New(fault.Conflict, fault.NotRun, "the VMs do not agree on who gathers for %s", w.Service)
}

// doubts reports whether the membership has come into doubt a short time ago, or
// is still being learned by a VM that has just started.
func (s *Service) doubts(view member.View) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.Clock.Now()
	switch {
	case !view.Unconfirmed:
		s.doubted = time.Time{}
	case s.doubted.IsZero():
		s.doubted = now
	}
	if now.Sub(s.begun) < youngTime && now.Sub(s.moved) < calmTime {
		return true
	}
	return view.Unconfirmed && now.Sub(s.doubted) < doubtTime
}

func (s *Service) told(service string, wait time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.waits[service] = toldWait{wait: wait, at: s.Clock.Now()}
}

// EstimateWait returns the time until work of a service begins, as last told by its
// owner, less the time since.
func (s *Service) EstimateWait(service string) time.Duration {
	s.once.Do(s.init)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	told := s.waits[service]
	return max(0, told.wait-s.Clock.Now().Sub(told.at))
}
