package batch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/member"
)

// maxRedirects limits how often a submission is redirected to another VM.
const maxRedirects = 3

// Do submits a stage's pieces to the owner of the service, retries while the
// owner is unreachable or changing, and returns the handles of the results in
// piece order. The caller must release the results.
func (s *Service) Do(ctx context.Context, w Work) ([]string, error) {
	s.once.Do(s.init)
	lastError, delay := "", firstRetryDelay
	for {
		handles, err := s.submitOnce(ctx, w)
		if err == nil || !isRoutingError(err) {
			return handles, err
		}
		if text := err.Error(); text != lastError {
			s.Log.WithFields(logrus.Fields{"request": w.Request, "service": w.Service, "error": text}).Info("submission failed; retrying with the current owner")
			lastError = text
		}
		select {
		case <-ctx.Done():
			return nil, fault.New(fault.DeadlineExceeded, fault.NotRun, "%s: %s", w.Service, err)
		case <-s.Clock.After(delay):
			delay = retryDelay
		}
	}
}

// isRoutingError reports whether a submission failed to reach the owner, so
// that it may be submitted again. Other errors concern the work itself.
func isRoutingError(err error) bool {
	switch fault.From(err).Kind {
	case fault.Unavailable, fault.ConnectionLost, fault.Conflict:
		return true
	}
	return false
}

// submitOnce submits work once, to this VM if it is the owner of the service or
// the membership names none.
func (s *Service) submitOnce(ctx context.Context, w Work) ([]string, error) {
	view := s.View()
	if s.unconfirmed(view) {
		return nil, fault.New(fault.Conflict, fault.NotRun, "the membership is in doubt")
	}
	vm, ok := view.Owner(ownerPrefix + w.Service)
	if !ok || vm.ID == s.Self {
		handles, err := s.submitLocal(ctx, w)
		s.recordWait(w.Service, s.localWait(w.Service))
		return handles, err
	}
	return s.submitTo(ctx, vm.ID, w)
}

// submitTo submits work to a VM and follows redirects, since the membership
// views of VMs may differ for a moment.
func (s *Service) submitTo(ctx context.Context, vm string, w Work) ([]string, error) {
	for range maxRedirects {
		now := s.Clock.Now()
		params := submission{Work: w, TargetLeft: w.Target.Sub(now), DeadlineLeft: w.Deadline.Sub(now)}
		var response handleList
		if err := s.callOwner(ctx, vm, params, &response); err != nil {
			if e := fault.From(err); e.Kind == fault.Busy {
				s.recordWait(w.Service, e.RetryAfter)
			}
			return nil, err
		}
		if response.Owner == "" {
			s.recordWait(w.Service, response.Wait)
			return response.Handles, nil
		}
		s.Log.WithFields(logrus.Fields{"request": w.Request, "service": w.Service, "asked": vm, "owner": response.Owner}).Info("submission redirected to another owner")
		vm = response.Owner
	}
	return nil, fault.New(fault.Conflict, fault.NotRun, "the VMs do not agree on who gathers for %s", w.Service)
}

// unconfirmed reports whether work must wait because the membership became
// unconfirmed a short time ago or is still changing shortly after the start
// of this VM.
func (s *Service) unconfirmed(view member.View) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.Clock.Now()
	switch {
	case !view.Unconfirmed:
		s.unconfirmedSince = time.Time{}
	case s.unconfirmedSince.IsZero():
		s.unconfirmedSince = now
	}
	if now.Sub(s.startedAt) < startupWindow && now.Sub(s.membershipChanged) < stableTime {
		return true
	}
	return view.Unconfirmed && now.Sub(s.unconfirmedSince) < unconfirmedTimeout
}

// recordWait records the wait that the owner of a service reported.
func (s *Service) recordWait(service string, wait time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reportedWaits[service] = reportedWait{wait: wait, at: s.Clock.Now()}
}

// EstimateWait returns the time until new work of a service starts, as last
// reported by the owner, less the time since that report.
func (s *Service) EstimateWait(service string) time.Duration {
	s.once.Do(s.init)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reported := s.reportedWaits[service]
	return max(0, reported.wait-s.Clock.Now().Sub(reported.at))
}
