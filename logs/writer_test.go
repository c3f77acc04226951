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

// writerCase writes lines to an output that may be blocked meanwhile.
type writerCase struct {
	Rate    float64 `json:"rate"`
	Burst   float64 `json:"burst"`
	Blocked bool    `json:"blocked"` // The output takes nothing until all lines are written.
	// Begun holds the second step back until the output has been given the first.
	Begun bool `json:"begun"`
	// Lines is the number of lines at each step, Seconds the time between two.
	Lines   []int   `json:"lines"`
	Seconds float64 `json:"seconds"`
	// Kept and Dropped are the lines that arrive and those that do not.
	Kept    int `json:"kept"`
	Dropped int `json:"dropped"`
}

func TestWriter(t *testing.T) {
	script.Run(t, "testdata/*.json", testWriter)
}

func testWriter(t *testing.T, v writerCase) {
	out := &output{gate: make(chan struct{}), begun: make(chan struct{})}
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
		if v.Begun {
			<-out.begun
		}
		clock.now = clock.now.Add(time.Duration(v.Seconds * float64(time.Second)))
	}
	if v.Blocked {
		close(out.gate)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	kept := strings.Count(out.text.String(), "\"line\":")
	dropped := 0
	for line := range strings.Lines(out.text.String()) {
		var n int
		if _, err := fmt.Sscanf(line, "{\"level\":\"warning\",\"lines\":%d", &n); err == nil {
			dropped += n
		}
	}
	if diff := cmp.Diff([]int{v.Kept, v.Dropped}, []int{kept, dropped}); diff != "" {
		t.Errorf("kept and dropped (-want +got):\n%s", diff)
	}
}

// output takes nothing before its gate is open.
type output struct {
	gate  chan struct{}
	begun chan struct{} // Closed once something is to be written.
	once  sync.Once
	mutex sync.Mutex
	text  strings.Builder
}

func (o *output) Write(p []byte) (int, error) {
	o.once.Do(func() { close(o.begun) })
	<-o.gate
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.Write(p)
}

// clock stands still unless it is moved.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time                       { return c.now }
func (c *clock) After(time.Duration) <-chan time.Time { return nil }
