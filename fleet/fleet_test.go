package fleet

import (
	"encoding/json"
	"errors"
	"flag"
	"io"
	"net"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"bergamotworks/script"
)

var (
	firstSeed = flag.Uint64("seed", 1, "seed of the first day")
	seedCount = flag.Uint64("seeds", 6, "number of days, each with the next seed")
	shrinks   = flag.Bool("shrink", false, "reduce a day that breaks a rule to the fewest events")
	untilRule = flag.String("until", "", "end after the first day that breaks this rule")
	showLogs  = flag.Bool("logs", false, "write the logs of the nodes to the standard error")
)

// TestMain serves a request before any bubble begins, since that starts the clock of
// fasthttp, which never ends.
func TestMain(m *testing.M) {
	flag.Parse()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}}
	served := make(chan error, 1)
	go serverRun{server: server, listener: l, done: served}.run()
	client := &fasthttp.Client{}
	if _, _, err := client.Get(nil, "http://"+l.Addr().String()); err != nil {
		panic(err)
	}
	client.CloseIdleConnections()
	if err := errors.Join(server.Shutdown(), <-served); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// serverRun serves until the server is shut down and sends its error to done.
type serverRun struct {
	server   *fasthttp.Server
	listener net.Listener
	done     chan<- error
}

func (r serverRun) run() { r.done <- r.server.Serve(r.listener) }

// TestDays guards against orders of events, several at once, in which a rule is broken.
func TestDays(t *testing.T) {
	requests, served := 0, 0
	if testing.Short() {
		*seedCount = min(*seedCount, 2)
	}
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		d := Generate(seed)
		started := time.Now()
		result := play(t, d)
		requests, served = requests+result.Requests, served+result.Served
		t.Logf("seed %d: %d nodes, %d events, %d of %d requests served, %s", seed, d.Nodes, len(d.Events), result.Served, result.Requests, time.Since(started).Round(time.Millisecond))
		if len(result.Violations) > 0 {
			reportDay(t, d, result)
		}
		if breaks(result, *untilRule) {
			break
		}
	}
	t.Logf("%d days: %d of %d requests served", *seedCount, served, requests)
}

// shrinkCase is a day that breaks a rule if all of some of its events happen.
type shrinkCase struct {
	Events []int `json:"events"` // Their times.
	Needed []int `json:"needed"`
	Plays  int   `json:"plays"` // At most.
}

func TestShrinkKeepsTheEventsThatAreNeeded(t *testing.T) {
	script.Run(t, "testdata/shrink/*.json", func(t *testing.T, cases map[string]shrinkCase) {
		for name, c := range cases {
			t.Run(name, func(t *testing.T) { testShrink(t, c) })
		}
	})
}

func testShrink(t *testing.T, c shrinkCase) {
	var d Day
	for _, ms := range c.Events {
		d.Events = append(d.Events, Event{AtMS: ms})
	}
	plays := 0
	small := Shrink(d, func(d Day) bool {
		plays++
		return !slices.ContainsFunc(c.Needed, func(ms int) bool { return !slices.Contains(times(d), ms) })
	})
	if diff := cmp.Diff(c.Needed, times(small)); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
	if plays > c.Plays {
		t.Errorf("%d days were played, want at most %d", plays, c.Plays)
	}
}

func times(d Day) []int {
	var list []int
	for _, e := range d.Events {
		list = append(list, e.AtMS)
	}
	return list
}

// TestRecordedDays plays days that once broke a rule.
func TestRecordedDays(t *testing.T) {
	script.Run(t, "testdata/days/*.json", func(t *testing.T, d Day) {
		for _, v := range play(t, d).Violations {
			t.Errorf("%s: %s", v.Rule, v.Text)
		}
	})
}

func breaks(r Result, rule string) bool {
	return slices.ContainsFunc(r.Violations, func(v Violation) bool { return v.Rule == rule })
}

func play(t *testing.T, d Day) Result {
	var logTo io.Writer
	if *showLogs {
		logTo = os.Stderr
	}
	var result Result
	synctest.Test(t, func(*testing.T) { result = Play(d, logTo) })
	return result
}

// reportDay reports the rules that a day breaks, and the day as a file that replays it.
func reportDay(t *testing.T, d Day, result Result) {
	for _, v := range result.Violations {
		t.Errorf("seed %d: %s: %s", d.Seed, v.Rule, v.Text)
	}
	rule := result.Violations[0].Rule
	if *shrinks {
		d = Shrink(d, func(d Day) bool {
			return breaks(play(t, d), rule)
		})
	}
	text, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s: %s", rule, text)
}
