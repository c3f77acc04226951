package relay

import (
	"io"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"bergamotworks/place"
	"bergamotworks/ports"
	"bergamotworks/script"
	"bergamotworks/site"
	"bergamotworks/wire"
)

// guardCase is the responses to calls to the target a, at whose address another target
// may run.
type guardCase struct {
	Listed    []string        `json:"listed"` // IDs of the targets that the directory lists at the address.
	Responses []guardResponse `json:"responses"`
	Want      []string        `json:"want"` // Targets that are held, with their reasons.
	WantLeft  []string        `json:"want_left"`
	WantLogs  int             `json:"want_logs"` // Log lines.
}

type guardResponse struct {
	Status    int    `json:"status"`
	Responder string `json:"responder"`
	Leaving   string `json:"leaving"`
	Wait      string `json:"wait"`
}

// lineCounter counts log lines.
type lineCounter struct{ count int }

func (c *lineCounter) Levels() []logrus.Level { return logrus.AllLevels }

func (c *lineCounter) Fire(*logrus.Entry) error {
	c.count++
	return nil
}

func TestTargetGuard(t *testing.T) {
	script.Run(t, "testdata/guard/*.json", func(t *testing.T, data map[string]guardCase) {
		for name, c := range data {
			t.Run(name, func(t *testing.T) { testGuard(t, c) })
		}
	})
}

func testGuard(t *testing.T, c guardCase) {
	var directory site.Directory
	for _, id := range c.Listed {
		directory.Targets = append(directory.Targets, site.Target{ID: id, Address: "x:1"})
	}
	directory = site.NewDirectory(directory)
	log, lines := logrus.New(), &lineCounter{}
	log.SetOutput(io.Discard)
	log.AddHook(lines)
	names := DefaultHeaderNames()
	names.Responder = "X-Responder"
	var left []string
	g := TargetGuard{
		Admission: &place.Admission{}, Names: names, Directory: func() site.Directory { return directory },
		Clock: ports.SystemClock{}, Log: logrus.NewEntry(log), Metrics: metrics.NewSet(),
		OnLeaving: func(t site.Target) { left = append(left, t.ID) },
	}
	for _, r := range c.Responses {
		g.Observe(site.Target{ID: "a", Address: "x:1"}, r.Status, wire.Headers{
			{Name: names.Responder, Value: r.Responder}, {Name: names.Leaving, Value: r.Leaving}, {Name: headerRetryAfter, Value: r.Wait},
		})
	}
	var held []string
	for _, h := range g.Admission.Holds(time.Now()) {
		held = append(held, h.Target.ID+" "+h.Hold.Reason.String())
	}
	got := guardCase{Listed: c.Listed, Responses: c.Responses, Want: held, WantLeft: left, WantLogs: lines.count}
	if diff := cmp.Diff(c, got); diff != "" {
		t.Errorf("case (-want +got):\n%s", diff)
	}
}
