package member

import (
	"github.com/sirupsen/logrus"
)

// logChanges logs the differences between two views.
func (s *Service) logChanges(old, now View) {
	if s.Log == nil {
		return
	}
	found := 0
	for _, m := range now.Members() {
		before, known := old.Find(m.ID)
		switch {
		case !known:
			found++
		case before.State != m.State || before.Incarnation != m.Incarnation:
			s.logVM(before, m)
		}
	}
	if found > 0 {
		s.Log.WithFields(logrus.Fields{"found": found, "known": len(now.Members()), "version": now.Version}).Info("members discovered")
	}
	if old.Unconfirmed != now.Unconfirmed || old.Isolated != now.Isolated {
		s.Log.WithFields(logrus.Fields{"doubt": now.Unconfirmed, "cut_off": now.Isolated, "epoch": now.Epoch, "version": now.Version}).Info("confirmation or isolation of this VM changed")
	}
}

// logVM logs the new state of a VM.
func (s *Service) logVM(before, m VM) {
	fields := logrus.Fields{"vm": m.ID, "before": before.State.String(), "state": m.State.String(), "incarnation": m.Incarnation, "ready": m.Attributes.Ready}
	if !m.LastHeard.IsZero() {
		fields["heard_ms"] = s.Clock.Now().Sub(m.LastHeard).Milliseconds()
	}
	s.Log.WithFields(fields).Info("member state changed")
}
