package flow

import (
	"time"

	"bergamotworks/poison"
	"bergamotworks/pool"
	"bergamotworks/retry"
	"bergamotworks/route"
)

func (s *Service) choose(now time.Time, request route.Request) (string, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.chooser.Choose(now, request)
}

func (s *Service) observe(summary pool.Summary) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.chooser.Observe(s.Clock.Now(), summary)
}

func (s *Service) countFirst() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.budget.RecordFirstAttempt(s.Clock.Now())
}

func (s *Service) decide(now time.Time, failure retry.Failure) retry.Decision {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return retry.Decide(now, failure, &s.budget)
}

func (s *Service) standing(fingerprint uint64) poison.Standing {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.poison.Check(s.Clock.Now(), fingerprint)
}

func (s *Service) suspect(fingerprint uint64) bool {
	return s.standing(fingerprint) == poison.Suspect
}

func (s *Service) condemned(fingerprint uint64) bool {
	return s.standing(fingerprint) == poison.Quarantined
}

func (s *Service) crashed(now time.Time, target string, fingerprint uint64) {
	s.mutex.Lock()
	rumours := s.poison.RecordCrash(now, target, []uint64{fingerprint})
	s.mutex.Unlock()
	s.spread(rumours)
}

func (s *Service) cleared(fingerprint uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.poison.RecordCompletion(s.Clock.Now(), fingerprint)
}

func (s *Service) spread(rumours []poison.Announcement) {
	if s.Spread == nil {
		return
	}
	for _, r := range rumours {
		s.Spread(r)
	}
}
