package burn

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/script"
)

// drainCase has buckets and changes, and the drains expected from them.
type drainCase struct {
	About   string `json:"about"`
	Buckets []struct {
		AtS   int64  `json:"at_s"`
		Total uint64 `json:"total"`
		Good  uint64 `json:"good"`
	} `json:"buckets"`
	Changes []struct {
		AtS            int64    `json:"at_s"`
		DrainedDomains []string `json:"out"`
	} `json:"changes"`
	Drains []drainRow `json:"departures"`
}

type drainRow struct {
	Domain    string `json:"domain"`
	StartS    int64  `json:"out_s"`
	EndS      int64  `json:"back_s"` // Zero if the domain is still drained.
	Total     uint64 `json:"total"`
	Good      uint64 `json:"good"`
	RecoveryS int64  `json:"recovery_s"` // -1 if attainment has not recovered.
}

func TestDrains(t *testing.T) {
	script.Run(t, "testdata/departures/*.json", func(t *testing.T, data drainCase) {
		series := Series{Key: Key{Objective: "orders"}}
		for _, b := range data.Buckets {
			series.Buckets = append(series.Buckets, Bucket{At: b.AtS, Counts: Counts{Total: b.Total, Good: b.Good}})
		}
		var changes []Change
		for _, c := range data.Changes {
			changes = append(changes, Change{At: time.Unix(c.AtS, 0), DrainedDomains: c.DrainedDomains})
		}
		var got []drainRow
		for _, d := range Drains(Snapshot{Series: []Series{series}}, changes) {
			got = append(got, drainRow{d.Domain, d.Start.Unix(), max(0, d.End.Unix()), d.Total, d.Good, secondsOf(d.Recovery)})
		}
		if diff := cmp.Diff(data.Drains, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	})
}

func secondsOf(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return int64(d / time.Second)
}
