package trial

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/emul"
	"bergamotworks/ports"
	"bergamotworks/script"
)

// runCase is a run against the fake system, with the properties that must fail.
type runCase struct {
	Script Script   `json:"script"`
	Defect string   `json:"defect"` // Of the fake system; empty means none.
	Failed []string `json:"failed"`
	// Attained means that every request must get a correct response within its
	// deadline.
	Attained bool `json:"attained"`
}

func TestRun(t *testing.T) {
	script.Run(t, "testdata/run/*.json", func(t *testing.T, v runCase) {
		synctest.Test(t, func(t *testing.T) { testRun(t, v) })
	})
}

func testRun(t *testing.T, v runCase) {
	network := &emul.MemoryNetwork{}
	system := &fakeSystem{network: network, defect: v.Defect}
	result, err := Run(t.Context(), v.Script, Options{
		Start: system.start, Policy: "fake", MaxRate: 40, Network: network, Clock: ports.SystemClock{},
	})
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Minute) // Lets the idle workers of the HTTP library exit.
	var failed []string
	for _, p := range result.Properties {
		if !p.Pass {
			failed = append(failed, p.Name)
		}
	}
	if diff := cmp.Diff(v.Failed, failed); diff != "" {
		t.Errorf("failed properties (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string(nil), result.Errors); diff != "" {
		t.Errorf("errors (-want +got):\n%s", diff)
	}
	if v.Attained && result.Total.Attained != result.Total.Requests || result.Total.Requests == 0 {
		t.Errorf("not all attained: %+v %+v", result.Total, result.Failures)
	}
}

func TestEmbedded(t *testing.T) {
	for _, name := range Names() {
		s, err := Embedded(name)
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if diff := cmp.Diff(name, s.Name); diff != "" {
			t.Errorf("name (-file +script):\n%s", diff)
		}
	}
}
