package burn_test

import (
	"fmt"
	"os"
	"time"

	"bergamotworks/burn"
	"bergamotworks/fault"
	"bergamotworks/note"
)

func ExampleReport_WriteTable() {
	objectives := map[string]note.Objective{"orders": {Class: "order", Attainment: 0.9}}
	now := time.Unix(1_800_000_000, 0)
	recorder := &burn.Recorder{}
	recorder.Configure(objectives)
	for i := range 20 {
		o := burn.Outcome{
			At: now, Pipeline: "buy", Class: "order", Account: "curepipe", Domain: "d2",
			Attained: i > 0, Verdict: fault.MayHaveRun, Latency: 100 * time.Millisecond,
			Stages: []burn.StageCost{{Stage: "post", Service: "booking", TargetTime: 50 * time.Millisecond, Wasted: i == 0}},
		}
		recorder.Record(o)
	}
	snapshot, err := recorder.Snapshot(now)
	if err != nil {
		fmt.Println(err)
		return
	}
	report, err := burn.NewReport(snapshot, note.Config{Sections: note.Sections{Objectives: objectives}})
	if err != nil {
		fmt.Println(err)
		return
	}
	if err := report.WriteTable(os.Stdout); err != nil {
		fmt.Println(err)
	}
	// Output:
	// 1 nodes, 2027-01-15 08:00:00 to 2027-01-15 08:00:00
	//
	// OBJECTIVE  SPLIT             TARGET  ATTAINED  BURN 5M  BURN 1H  BUDGET LEFT  REQUESTS  REFUSED  MAY HAVE RUN  P50     P99     TTFT P95
	// orders     all               90.00%  95.00%    0.5      0.5      50.00%       20        0        1             100 ms  100 ms  -
	// orders     domain d2         90.00%  95.00%    0.5      0.5      50.00%       20        0        1             100 ms  100 ms  -
	// orders     account curepipe  90.00%  95.00%    0.5      0.5      50.00%       20        0        1             -       -       -
	//
	// STAGE                CALLS  TARGET S  TOKENS  WASTED S  WASTED
	// buy/post on booking  20     1.0       0       0.1       5.00%
	//
	// ACCOUNT   CALLS  TARGET S  TOKENS  WASTED S  WASTED
	// curepipe  20     1.0       0       0.1       5.00%
	//
	// total  20  1.0  0  0.1  5.00%
}
