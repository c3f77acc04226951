package flow

import (
	"time"

	"bergamotworks/poison"
	"bergamotworks/pool"
	"bergamotworks/retry"
	"bergamotworks/route"
)

// The methods in this file lock the mutex for the state that all runs share.

func (s *Service) choosePool(now time.Time, request route.Request) (string, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.chooser.Choose(now, request)
}

func (s *Service) observeSummary(summary pool.Summary) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.chooser.Observe(s.Clock.Now(), summary)
}

func (s *Service) countFirstAttempt() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.budget.RecordFirstAttempt(s.Clock.Now())
}

func (s *Service) decideRetry(now time.Time, failure retry.Failure) retry.Decision {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return retry.Decide(now, failure, &s.budget)
}

// standing returns whether requests with a fingerprint may run, alone or not at
// all; see [poison.Standing].
func (s *Service) standing(fingerprint uint64) poison.Standing {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.poison.Check(s.Clock.Now(), fingerprint)
}

func (s *Service) isSuspect(fingerprint uint64) bool {
	return s.standing(fingerprint) == poison.Suspect
}

func (s *Service) isQuarantined(fingerprint uint64) bool {
	return s.standing(fingerprint) == poison.Quarantined
}

// recordCrash records a crash of a target that ran a request, and broadcasts it.
func (s *Service) recordCrash(now time.Time, target string, fingerprint uint64) {
	s.mutex.Lock()
	announcements := s.poison.RecordCrash(now, target, []uint64{fingerprint})
	s.mutex.Unlock()
	s.broadcast(announcements)
}

// recordCompletion clears the crashes of a suspect request on this node. The
// announcements for the other nodes are not broadcast, so there the request stays
// suspect until it completes or its announcement expires.
func (s *Service) recordCompletion(fingerprint uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.poison.RecordCompletion(s.Clock.Now(), fingerprint)
}

func (s *Service) broadcast(announcements []poison.Announcement) {
	if s.Spread == nil {
		return
	}
	for _, a := range announcements {
		s.Spread(a)
	}
}
