package poison_test

import (
	"testing"
	"time"

	"bergamotworks/poison"
	"bergamotworks/script"
)

type tableScript struct {
	About    string `json:"about"`
	Capacity int    `json:"capacity"`
	// QuarantineAfter is the number of crashes after which a request is
	// quarantined.
	QuarantineAfter int         `json:"condemned_after"`
	SuspectMS       int64       `json:"suspect_ms"`
	QuarantineMS    int64       `json:"condemned_ms"`
	Steps           []tableStep `json:"steps"`
}

// tableStep is one event on one of two nodes, or an exchange of announcements
// between them.
type tableStep struct {
	AtMS         int64           `json:"at_ms"`
	Node         int             `json:"node"`
	Crash        string          `json:"crash"`
	Fingerprints []uint64        `json:"prints"`
	Completed    uint64          `json:"done"`
	Exchange     bool            `json:"gossip"`
	Check        uint64          `json:"check"`
	Want         poison.Standing `json:"want"`
}

func TestTables(t *testing.T) {
	origin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	script.Run(t, "testdata/*.json", func(t *testing.T, data tableScript) {
		tables := []*poison.Table{data.table(), data.table()}
		for i, s := range data.Steps {
			now := origin.Add(time.Duration(s.AtMS) * time.Millisecond)
			table := tables[s.Node]
			switch {
			case s.Crash != "":
				table.RecordCrash(now, s.Crash, s.Fingerprints)
			case s.Completed != 0:
				table.RecordCompletion(now, s.Completed)
			case s.Exchange:
				exchange(now, tables)
			default:
				if got := table.Check(now, s.Check); got != s.Want {
					t.Errorf("step %d: %d is %s, want %s", i, s.Check, got, s.Want)
				}
			}
		}
	})
}

func (d tableScript) table() *poison.Table {
	return &poison.Table{
		Capacity: d.Capacity, QuarantineAfter: d.QuarantineAfter,
		SuspectFor: time.Duration(d.SuspectMS) * time.Millisecond, QuarantineFor: time.Duration(d.QuarantineMS) * time.Millisecond,
	}
}

func exchange(now time.Time, tables []*poison.Table) {
	for i, a := range tables {
		for _, announcement := range a.Announcements(now) {
			tables[1-i].Observe(now, announcement)
		}
	}
}

func BenchmarkCheck(b *testing.B) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	table := &poison.Table{}
	for f := range uint64(4096) {
		table.RecordCrash(now, "t", []uint64{f})
	}
	b.ReportAllocs()
	for b.Loop() {
		table.Check(now, 77)
	}
}
