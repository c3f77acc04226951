package place_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/place"
	"bergamotworks/script"
	"bergamotworks/site"
)

// admissionCase gives notices to one Admission and asks it to admit calls.
type admissionCase struct {
	Description string          `json:"load"`
	Steps       []admissionStep `json:"steps"`
}

// admissionStep applies its fields in their order here.
type admissionStep struct {
	AtMS   int64             `json:"at_ms"`
	Listed []string          `json:"listed"` // IDs of the targets in the new directory, if one is read.
	Notice *admissionNotice  `json:"notice"`
	Target admissionTarget   `json:"target"` // Of the calls.
	Calls  int               `json:"calls"`
	All    []admissionTarget `json:"all"` // Asked whether all of them are held.

	// WantChange is the reason of the hold that the notice has changed, empty if none.
	WantChange string `json:"want_change"`
	Want       int    `json:"want"` // Number of calls that are admitted.
	WantReason string `json:"want_reason"`
	// WantRetryMS is the time after which one of All may accept calls; negative if one
	// is not held.
	WantRetryMS int64 `json:"want_retry_ms"`
}

// admissionTarget is an incarnation of a target. Its start time is that of the case
// plus StartMS.
type admissionTarget struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	StartMS int64  `json:"start_ms"`
	Unknown bool   `json:"unknown_start"`
}

type admissionNotice struct {
	Target  admissionTarget `json:"target"`
	Leaving bool            `json:"leaving"`
	WaitMS  int64           `json:"wait_ms"`
}

var admissionStart = time.Unix(1000, 0)

func (t admissionTarget) target() site.Target {
	s := site.Target{ID: t.ID, Address: t.Address, Service: "svc", Incarnation: admissionStart.UnixMilli() + t.StartMS}
	if t.Unknown {
		s.Incarnation = 0
	}
	return s
}

func TestAdmission(t *testing.T) {
	script.Run(t, "testdata/admission/*.json", testAdmission)
}

func testAdmission(t *testing.T, c admissionCase) {
	var admission place.Admission
	for i, s := range c.Steps {
		now := admissionStart.Add(time.Duration(s.AtMS) * time.Millisecond)
		if s.Listed != nil {
			var d site.Directory
			for _, id := range s.Listed {
				d.Targets = append(d.Targets, site.Target{ID: id})
			}
			admission.Prune(now, site.NewDirectory(d))
		}
		want := admissionStep{WantChange: s.WantChange, Want: s.Want, WantReason: s.WantReason, WantRetryMS: s.WantRetryMS}
		if diff := cmp.Diff(want, s.apply(now, &admission)); diff != "" {
			t.Errorf("step %d at %d ms (-want +got):\n%s", i, s.AtMS, diff)
		}
	}
}

// apply gives the notice, makes the calls and returns the results.
func (s admissionStep) apply(now time.Time, admission *place.Admission) admissionStep {
	var got admissionStep
	if n := s.Notice; n != nil {
		notice := place.Notice{Leaving: n.Leaving, Wait: time.Duration(n.WaitMS) * time.Millisecond}
		if hold, changed := admission.Observe(now, n.Target.target(), notice); changed {
			got.WantChange = hold.Reason.String()
		}
	}
	for range s.Calls {
		if admission.Admit(now, s.Target.target()) == nil {
			got.Want++
		}
	}
	if h := admission.Hold(now, s.Target.target()); h.Reason != place.NotHeld {
		got.WantReason = h.Reason.String()
	}
	if s.All != nil {
		var targets []site.Target
		for _, t := range s.All {
			targets = append(targets, t.target())
		}
		got.WantRetryMS = -1
		if wait, all := admission.AllHeld(now, targets); all {
			got.WantRetryMS = wait.Milliseconds()
		}
	}
	return got
}
