package burn

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/script"
)

type reportCase struct {
	About      string                    `json:"about"`
	Objectives map[string]note.Objective `json:"objectives"`
	Nodes      [][]outcomeGroup          `json:"nodes"` // What each node recorded.
	Rows       []objectiveRow            `json:"rows"`
	Accounts   []accountRow              `json:"accounts"`
}

// outcomeGroup is a number of requests with the same outcome.
type outcomeGroup struct {
	AgeS      int64         `json:"age_s"`
	Count     int           `json:"count"`
	Pipeline  string        `json:"pipeline"`
	Class     string        `json:"class"`
	Account   string        `json:"account"`
	Domain    string        `json:"domain"`
	Attained  bool          `json:"attained"`
	Rejected  bool          `json:"refused"`
	Verdict   fault.Verdict `json:"verdict"`
	LatencyMS int64         `json:"latency_ms"`
	TargetMS  []int64       `json:"target_ms"` // One entry for each stage.
	Wasted    bool          `json:"wasted"`
}

// objectiveRow is the expected row of one series. Its shares are rounded to
// three decimal places.
type objectiveRow struct {
	Objective  string    `json:"objective"`
	Dimension  Dimension `json:"dimension"`
	Name       string    `json:"name"`
	Total      uint64    `json:"total"`
	Good       uint64    `json:"good"`
	Rejected   uint64    `json:"refused"`
	MayHaveRun uint64    `json:"may_have_run"`
	Attainment float64   `json:"attainment"`
	ShortBurn  float64   `json:"short_burn"`
	LongBurn   float64   `json:"long_burn"`
	BudgetLeft float64   `json:"budget_left"`
	P50MS      int64     `json:"p50_ms"`
}

type accountRow struct {
	Name          string  `json:"name"`
	Calls         uint64  `json:"calls"`
	TargetSeconds float64 `json:"target_seconds"`
	WastedSeconds float64 `json:"wasted_seconds"`
}

var testNow = time.Unix(1_800_000_000, 0)

func TestReport(t *testing.T) {
	script.Run(t, "testdata/*.json", func(t *testing.T, s reportCase) {
		var merged Snapshot
		for _, node := range s.Nodes {
			r := &Recorder{}
			r.Configure(s.Objectives)
			for _, o := range node {
				o.record(r)
			}
			merged = mergeInto(t, merged, roundTrip(t, r))
		}
		config := note.Config{Sections: note.Sections{Objectives: s.Objectives}}
		report, err := NewReport(merged, config)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(s.Rows, rowsOf(report)); diff != "" {
			t.Errorf("rows (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(s.Accounts, accountsOf(report)); diff != "" {
			t.Errorf("accounts (-want +got):\n%s", diff)
		}
		var text bytes.Buffer
		if err := report.WriteTable(&text); err != nil {
			t.Fatal(err)
		}
		for _, a := range s.Accounts {
			if diff := cmp.Diff(true, strings.Contains(text.String(), a.Name)); diff != "" {
				t.Errorf("table names %s (-want +got):\n%s", a.Name, diff)
			}
		}
	})
}

func (o outcomeGroup) record(r *Recorder) {
	outcome := Outcome{
		At:       testNow.Add(-time.Duration(o.AgeS) * time.Second),
		Pipeline: o.Pipeline, Class: o.Class, Account: o.Account, Domain: o.Domain,
		Attained: o.Attained, Rejected: o.Rejected, Verdict: o.Verdict,
		Latency: time.Duration(o.LatencyMS) * time.Millisecond,
	}
	for i, ms := range o.TargetMS {
		outcome.Stages = append(outcome.Stages, StageCost{
			Stage: fmt.Sprint("stage-", i), Service: "llm", TargetTime: time.Duration(ms) * time.Millisecond, Wasted: o.Wasted,
		})
	}
	for range o.Count {
		r.Record(outcome)
	}
}

// roundTrip returns the recorder's snapshot after it was encoded to JSON and
// decoded.
func roundTrip(t *testing.T, r *Recorder) Snapshot {
	t.Helper()
	s, err := r.Snapshot(testNow)
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var read Snapshot
	if err := json.Unmarshal(text, &read); err != nil {
		t.Fatal(err)
	}
	return read
}

func mergeInto(t *testing.T, a, b Snapshot) Snapshot {
	t.Helper()
	merged, err := Merge(a, b)
	if err != nil {
		t.Fatal(err)
	}
	return merged
}

func rowsOf(r Report) []objectiveRow {
	var rows []objectiveRow
	for _, o := range r.Objectives {
		rows = append(rows, objectiveRow{
			o.Objective, o.Dimension, o.Name, o.Total, o.Good, o.Rejected, o.MayHaveRun,
			round(o.Attainment), round(o.ShortBurn), round(o.LongBurn), round(o.BudgetLeft), o.LatencyP50MS,
		})
	}
	return rows
}

func accountsOf(r Report) []accountRow {
	var accounts []accountRow
	for _, a := range r.Accounts {
		accounts = append(accounts, accountRow{a.Name, a.Calls, round(a.TargetSeconds), round(a.WastedSeconds)})
	}
	return accounts
}

func round(x float64) float64 { return math.Round(1000*x) / 1000 }

func TestOverflowKeepsSums(t *testing.T) {
	r := &Recorder{}
	requests := maxCosts + 500
	for i := range requests {
		r.Record(Outcome{
			At: testNow, Account: fmt.Sprint("account-", i), Domain: fmt.Sprint("domain-", i),
			Stages: []StageCost{{Stage: "s", TargetTime: time.Second}},
		})
	}
	s := roundTrip(t, r)
	sums := map[Dimension]uint64{}
	for _, record := range s.Series {
		sums[record.Dimension] += record.All.Total
	}
	all := uint64(requests)
	if diff := cmp.Diff(map[Dimension]uint64{Total: all, Domain: all, Account: all}, sums); diff != "" {
		t.Errorf("requests (-want +got):\n%s", diff)
	}
	report, err := NewReport(s, note.Config{})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(float64(requests), report.Total.TargetSeconds); diff != "" {
		t.Errorf("target-seconds (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(true, len(s.Series) <= maxSeries+2); diff != "" {
		t.Errorf("series are bounded (-want +got):\n%s", diff)
	}
}

func BenchmarkRecord(b *testing.B) {
	r := &Recorder{}
	r.Configure(map[string]note.Objective{
		"reviews": {Class: "review", Attainment: 0.99}, "quotes": {Pipeline: "quote", Attainment: 0.95, LatencyMS: 8000},
	})
	var all []Outcome
	for i := range 2100 {
		o := Outcome{
			At: testNow, Pipeline: "quote", Class: "review", Account: fmt.Sprint("account-", i),
			Domain: fmt.Sprint("domain-", i%23), Attained: true, Latency: 800 * time.Millisecond, FirstToken: 90 * time.Millisecond,
		}
		for s := range 4 {
			o.Stages = append(o.Stages, StageCost{Stage: fmt.Sprint("stage-", s), Service: "llm", TargetTime: time.Second, Tokens: 100})
		}
		all = append(all, o)
	}
	for _, o := range all {
		r.Record(o)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.Record(all[i%len(all)])
	}
}

// BenchmarkMemory reports the memory of a recorder with 5 client accounts, with
// the 2100 that the system is designed for, and with its limits exceeded.
func BenchmarkMemory(b *testing.B) {
	for _, accounts := range []int{5, 2100, 2 * maxCosts} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			for b.Loop() {
				measureMemory(b, accounts)
			}
		})
	}
}

func measureMemory(b *testing.B, accounts int) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	r := &Recorder{}
	for i := range max(accounts, 23) {
		o := Outcome{
			At: testNow, Pipeline: fmt.Sprint("pipeline-", i%7), Account: fmt.Sprint("account-", i%accounts),
			Domain: fmt.Sprint("domain-", i%23), Attained: true, Latency: time.Second, FirstToken: time.Second,
		}
		for s := range 5 {
			o.Stages = append(o.Stages, StageCost{Stage: fmt.Sprint("stage-", s), Service: "llm", TargetTime: time.Second})
		}
		r.Record(o)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	s, err := r.Snapshot(testNow)
	if err != nil {
		b.Fatal(err)
	}
	text, err := json.Marshal(s)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
	b.ReportMetric(float64(len(text))/(1<<10), "snapshot-KiB")
}
