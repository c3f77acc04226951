package member

import (
	"github.com/sirupsen/logrus"
)

// report logs what differs between two views.
func (s *Service) report(old, now View) {
	if s.Log == nil {
		return
	}
	for _, m := range now.Members() {
		before, known := old.Find(m.ID)
		if known && before.State == m.State && before.Incarnation == m.Incarnation && before.Attributes.Ready == m.Attributes.Ready {
			continue
		}
		s.reportVM(before, known, m)
	}
	if old.Doubt != now.Doubt || old.CutOff != now.CutOff {
		s.Log.WithFields(logrus.Fields{"doubt": now.Doubt, "cut_off": now.CutOff, "epoch": now.Epoch, "version": now.Version}).Info("trust in own membership changed")
	}
}

// reportVM logs what a VM has become.
func (s *Service) reportVM(before VM, known bool, m VM) {
	fields := logrus.Fields{"vm": m.ID, "state": m.State.String(), "incarnation": m.Incarnation, "ready": m.Attributes.Ready}
	if known {
		fields["before"] = before.State.String()
	}
	if !m.Heard.IsZero() {
		fields["heard_ms"] = s.Clock.Now().Sub(m.Heard).Milliseconds()
	}
	s.Log.WithFields(fields).Info("member changed")
}
