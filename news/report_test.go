package news

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/member"
	"bergamotworks/ports"
	"bergamotworks/script"
	"bergamotworks/site"
)

// reportStep is a report of a configuration, or a change of the node's own one, and
// how long the node counts as outdated afterwards.
type reportStep struct {
	AfterMS  int64 `json:"after_ms"` // Since the step before.
	Reported int64 `json:"reported"` // Revision that VM b reports; zero for none.
	Active   int64 `json:"active"`   // Revision that becomes active; zero for none.
	Dead     bool  `json:"dead"`     // VM b dies.
	WantMS   int64 `json:"want_ms"`
}

func TestOutdatedWhileALiveVMHasANewerConfiguration(t *testing.T) {
	script.Run(t, "testdata/reports/*.json", func(t *testing.T, steps []reportStep) {
		synctest.Test(t, func(t *testing.T) { testReports(t, steps) })
	})
}

func testReports(t *testing.T, steps []reportStep) {
	self, b := member.VM{ID: "a"}, member.VM{ID: "b"}
	s := &Service{Self: "a", Clock: ports.SystemClock{}, View: func() member.View { return member.NewView(self, b) }}
	for i, p := range steps {
		time.Sleep(time.Duration(p.AfterMS) * time.Millisecond)
		if p.Reported > 0 {
			b.Attributes.Revision = p.Reported
			s.ObserveRevision("b", p.Reported)
		}
		if p.Active > 0 {
			s.state.Apply(Snapshot{Config: site.NewConfig(site.Config{Revision: p.Active})})
		}
		if p.Dead {
			b.State = member.Dead
		}
		if diff := cmp.Diff(p.WantMS, s.OutdatedFor().Milliseconds()); diff != "" {
			t.Errorf("step %d, milliseconds outdated (-want +got):\n%s", i, diff)
		}
	}
}
