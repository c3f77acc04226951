package logs_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"

	"bergamotworks/logs"
	"bergamotworks/script"
)

// writerCase is a number of lines written to an output that may be blocked, with
// the expected numbers of lines written and dropped.
type writerCase struct {
	Rate    float64 `json:"rate"`
	Burst   float64 `json:"burst"`
	Blocked bool    `json:"blocked"` // The output blocks until all lines are written.
	// AwaitWrite delays the second step until the first write to the output has
	// started.
	AwaitWrite bool `json:"begun"`
	// Lines is the number of lines written in each step, Seconds the time
	// between two steps.
	Lines   []int   `json:"lines"`
	Seconds float64 `json:"seconds"`
	// Written and Dropped are the numbers of lines that reach the output and that
	// do not.
	Written int `json:"kept"`
	Dropped int `json:"dropped"`
}

func TestWriter(t *testing.T) {
	script.Run(t, "testdata/*.json", testWriter)
}

func testWriter(t *testing.T, v writerCase) {
	out := &output{gate: make(chan struct{}), started: make(chan struct{})}
	clock := &clock{now: time.Unix(1000, 0)}
	w := logs.Writer{Out: out, Clock: clock, Rate: v.Rate, Burst: v.Burst, Metrics: metrics.NewSet()}
	w.Start()
	if !v.Blocked {
		close(out.gate)
	}
	for _, n := range v.Lines {
		for i := range n {
			if _, err := fmt.Fprintf(&w, "{\"line\":%d}\n", i); err != nil {
				t.Fatal(err)
			}
		}
		if v.AwaitWrite {
			<-out.started
		}
		clock.now = clock.now.Add(time.Duration(v.Seconds * float64(time.Second)))
	}
	if v.Blocked {
		close(out.gate)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	written := strings.Count(out.text.String(), "\"line\":")
	dropped := 0
	for line := range strings.Lines(out.text.String()) {
		var n int
		if _, err := fmt.Sscanf(line, "{\"level\":\"warning\",\"lines\":%d", &n); err == nil {
			dropped += n
		}
	}
	if diff := cmp.Diff([]int{v.Written, v.Dropped}, []int{written, dropped}); diff != "" {
		t.Errorf("written and dropped (-want +got):\n%s", diff)
	}
}

// output blocks until its gate is closed.
type output struct {
	gate    chan struct{}
	started chan struct{} // Closed once the first write starts.
	once    sync.Once
	mutex   sync.Mutex
	text    strings.Builder
}

func (o *output) Write(p []byte) (int, error) {
	o.once.Do(func() { close(o.started) })
	<-o.gate
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.Write(p)
}

// clock is a clock that advances only when it is set.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time                       { return c.now }
func (c *clock) After(time.Duration) <-chan time.Time { return nil }
