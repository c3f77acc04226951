package batch

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/member"
)

// maxRedirects limits how often a submission is redirected to another VM.
const maxRedirects = 3

// maxOwnersTried limits the owners to which work is submitted that reject it.
const maxOwnersTried = 2

// Do submits a stage's pieces to an owner of the service, retries while that
// owner is unreachable, does not respond or is changing, and returns the handles
// of the results in piece order. The caller must release the results.
func (s *Service) Do(ctx context.Context, w Work) ([]string, error) {
	s.once.Do(s.init)
	lastError, delay := "", firstRetryDelay
	var rejected []string // Owners that have rejected the work.
	for {
		o, movable := s.choose(w, rejected)
		handles, err := s.submitOnce(ctx, w, o, movable)
		if err == nil {
			return handles, nil
		}
		if s.otherOwnerMayAccept(w, o, rejected, err) {
			rejected = append(rejected, o.owner)
			continue
		}
		if !isRoutingError(err) {
			return nil, err
		}
		if text := err.Error(); text != lastError {
			s.Log.WithFields(logrus.Fields{"request": w.Request, "service": w.Service, "asked": o.owner, "error": text}).Info("submission failed; retrying with the current owner")
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

// choose returns the shard to which work should be submitted now, and whether
// the service has others. Rejected lists owners that have rejected the work.
func (s *Service) choose(w Work, rejected []string) (offer, bool) {
	offers := s.offers(w.Service, rejected)
	chosen := offers[chooseShard(offers, w, s.draw)]
	return chosen, len(offers) > 1
}

// draw returns a random number from 0 up to n.
func (s *Service) draw(n int) int { return int(s.Random.Uint64() % uint64(n)) }

// offers returns the shards of a service with what is known of them.
func (s *Service) offers(service string, rejected []string) []offer {
	l := s.layout(service)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.Clock.Now()
	offers := make([]offer, 0, len(l.shards))
	for _, v := range l.shards {
		o := offer{shard: v, wait: s.waits.estimate(now, service, v.domain)}
		if b := s.batchers[service]; b != nil && v.owner == s.Self {
			o.wait = b.table.EstimateWait(now)
		}
		o.avoid = s.contacts.silent(v.owner) || slices.Contains(rejected, v.owner)
		offers = append(offers, o)
	}
	return offers
}

// otherOwnerMayAccept reports whether work that an owner has rejected should be
// submitted to another one whose queue is known to be shorter.
func (s *Service) otherOwnerMayAccept(w Work, asked offer, rejected []string, err error) bool {
	e := fault.From(err)
	if e.Kind != fault.Busy || len(rejected)+1 >= maxOwnersTried {
		return false
	}
	offers := s.offers(w.Service, append(rejected, asked.owner))
	return slices.ContainsFunc(offers, func(o offer) bool { return !o.avoid && o.wait < e.RetryAfter })
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

// submitOnce submits work once, to this VM if it owns the shard or the membership
// names no owner. Movable means that the service has other shards.
func (s *Service) submitOnce(ctx context.Context, w Work, o offer, movable bool) ([]string, error) {
	if s.unconfirmed(s.View()) {
		return nil, fault.New(fault.Conflict, fault.NotRun, "the membership is in doubt")
	}
	if o.owner == "" || o.owner == s.Self {
		handles, err := s.submitLocal(ctx, w)
		s.recordWait(w.Service, o.domain, s.localWait(w.Service))
		return handles, err
	}
	return s.submitTo(ctx, w, o, movable)
}

// submitTo submits work to another VM and follows redirects, since the
// membership views of VMs may differ for a moment.
func (s *Service) submitTo(ctx context.Context, w Work, o offer, movable bool) ([]string, error) {
	vm := o.owner
	for range maxRedirects {
		now := s.Clock.Now()
		params := submission{Work: w, TargetLeft: w.Target.Sub(now), DeadlineLeft: w.Deadline.Sub(now), Waits: s.knownWaits(w.Service), Others: s.otherWaits(w.Service)}
		var response submitResponse
		if err := s.callOwner(ctx, vm, movable, params, &response); err != nil {
			if e := fault.From(err); e.Kind == fault.Busy {
				s.recordWait(w.Service, o.domain, e.RetryAfter)
			}
			return nil, err
		}
		if response.Owner == "" {
			s.recordResponse(w.Service, o.domain, response)
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

// recordWait records the current wait of a shard.
func (s *Service) recordWait(service, domain string, wait time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.waits.record(service, domain, reportedWait{wait: wait, at: s.Clock.Now()})
}

// recordResponse records the waits in an owner's response.
func (s *Service) recordResponse(service, domain string, r submitResponse) {
	s.mergeOthers(r.Others)
	if len(r.Waits) == 0 {
		s.recordWait(service, domain, r.Wait)
		return
	}
	s.mergeWaits(service, r.Waits)
}

// mergeWaits records the waits that another node has sent.
func (s *Service) mergeWaits(service string, sent []shardWait) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if dropped := s.waits.merge(s.Clock.Now(), service, sent); dropped > 0 {
		s.Metrics.GetOrCreateCounter("batch_invalid_waits_total").Add(dropped)
	}
}

// knownWaits returns the waits of a service to pass on, with the current ones of
// the shards of this VM.
func (s *Service) knownWaits(service string) []shardWait {
	l := s.layout(service)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.Clock.Now()
	if b := s.batchers[service]; b != nil {
		wait := b.table.EstimateWait(now)
		for _, v := range l.shards {
			if v.owner == s.Self {
				s.waits.record(service, v.domain, reportedWait{wait: wait, at: now}.withLevel(b.table.level()))
			}
		}
	}
	return s.waits.recent(now, service)
}

// EstimateWait returns the time until new work of a service starts, as the mean
// of what is known of the shards that respond.
func (s *Service) EstimateWait(service string) time.Duration {
	s.once.Do(s.init)
	var sum time.Duration
	targets := 0
	for _, o := range s.offers(service, nil) {
		if !o.avoid {
			sum += o.wait * time.Duration(max(1, o.targets))
			targets += max(1, o.targets)
		}
	}
	if targets == 0 {
		return 0
	}
	return sum / time.Duration(targets)
}
