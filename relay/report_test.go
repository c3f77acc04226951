package relay

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bergamotworks/member"
	"bergamotworks/place"
)

// TestRandomReportAnnouncement checks that a report arrives as it was announced,
// and that reports of different observers do not replace each other.
func TestRandomReportAnnouncement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hash := rapid.Uint16Range(0, 1<<place.ReportHashBits-1)
		kinds := []place.ReportKind{place.Replaced, place.Silent, place.Leaving}
		want := TargetReport{
			At: time.UnixMilli(100 * rapid.Int64Range(0, 1<<34).Draw(t, "at")),
			Report: place.Report{
				Target: rapid.Uint64().Draw(t, "target"), Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
				Observer: hash.Draw(t, "observer"), Domain: hash.Draw(t, "domain"),
			},
		}
		a := want.Announcement()
		got, ok := TargetReportFromAnnouncement(a)
		if !ok {
			t.Fatal("the announcement is not taken for a report")
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("report (-want +got):\n%s", diff)
		}
		other := want
		other.Observer ^= 1
		if other.Announcement().Key == a.Key {
			t.Error("reports of two observers have the same key")
		}
	})
}

// TestMalformedReports drops announcements that are no reports.
func TestMalformedReports(t *testing.T) {
	for _, a := range []member.Announcement{
		{Kind: lossKind, Value: 1 << reportKindShift},
		{Kind: targetReportKind, Value: 0},
		{Kind: targetReportKind, Value: 1},
		{Kind: targetReportKind, Value: -1},
	} {
		if _, ok := TargetReportFromAnnouncement(a); ok {
			t.Errorf("%+v is taken for a report", a)
		}
	}
}
