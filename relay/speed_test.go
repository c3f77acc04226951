package relay

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"bergamotworks/member"
	"bergamotworks/place"
	"bergamotworks/ports"
	"bergamotworks/script"
	"bergamotworks/site"
	"bergamotworks/wire"
)

// TestRandomSpeedAnnouncement checks that a speed arrives as it was announced, that a
// later one of the same observer replaces it, and that those of others do not.
func TestRandomSpeedAnnouncement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := TargetSpeed{
			At: time.UnixMilli(100 * rapid.Int64Range(0, 1<<34).Draw(t, "at")),
			SpeedReport: place.SpeedReport{
				Target: rapid.Uint64().Draw(t, "target"), Slowdown: float64(rapid.IntRange(5, 160).Draw(t, "slowdown")) / 10,
				Observer: rapid.Uint16Range(0, 1<<place.ReportHashBits-1).Draw(t, "observer"),
			},
		}
		a := want.Announcement()
		got, ok := TargetSpeedFromAnnouncement(a)
		if !ok {
			t.Fatal("the announcement is not taken for a speed")
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("speed (-want +got):\n%s", diff)
		}
		if _, ok := TargetReportFromAnnouncement(a); ok {
			t.Error("the announcement is taken for a report that keeps the target out")
		}
		later, other := want, want
		later.At, later.Slowdown = later.At.Add(time.Second), 1
		if l := later.Announcement(); l.Key != a.Key || l.Value <= a.Value {
			t.Error("a later announcement does not replace an earlier one")
		}
		other.Observer ^= 1
		if other.Announcement().Key == a.Key {
			t.Error("announcements of two observers have the same key")
		}
	})
}

// TestMalformedSpeeds drops announcements that are no speeds.
func TestMalformedSpeeds(t *testing.T) {
	for _, a := range []member.Announcement{
		{Kind: targetReportKind, Value: 20 << place.ReportHashBits},
		{Kind: targetSpeedKind, Value: 0},
		{Kind: targetSpeedKind, Value: 1<<place.ReportHashBits - 1},
		{Kind: targetSpeedKind, Value: -1},
	} {
		if s, ok := TargetSpeedFromAnnouncement(a); ok {
			t.Errorf("%+v is taken for a speed: %+v", a, s)
		}
	}
}

// TestOverdueFirstEventIsAnnounced guards against a target that is known as slow only when
// its call ends, or when the next request comes.
func TestOverdueFirstEventIsAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var targets []site.Target
		for _, id := range []string{"a", "b", "c"} {
			targets = append(targets, site.Target{ID: id, Service: "svc", Address: id, Slots: 8})
		}
		directory := site.NewDirectory(site.Directory{Position: site.Position{Revision: 1}, Targets: targets})
		var announced []TargetSpeed
		s := &Server{
			Self: "vm", Names: DefaultHeaderNames(), Clock: ports.SystemClock{}, Random: ports.NewSeededRandom(1), Log: logrus.NewEntry(logrus.New()),
			Metrics: metrics.NewSet(), Client: &wire.Client{}, Directory: func() site.Directory { return directory }, View: func() member.View { return member.View{} },
			OnTargetSpeed: func(r TargetSpeed) { announced = append(announced, r) },
		}
		s.Log.Logger.SetOutput(io.Discard)
		s.once.Do(s.init)
		call := func(target site.Target, took time.Duration) {
			x := newExchange(&clientConn{server: s}, &wire.Request{}, time.Now())
			x.service = "svc"
			s.mutex.Lock()
			s.beginCall(x, target)
			s.placement.CallStarted(time.Now(), target)
			s.mutex.Unlock()
			time.Sleep(took)
			s.recordLoad(target, "1,0,8,100")
			x.firstEvent()
			_ = x.endAttempt(target, 0, context.Canceled)
		}
		for i := range 30 {
			call(targets[i%3], 50*time.Millisecond)
		}
		go call(targets[1], 5*time.Second)
		time.Sleep(time.Second)
		synctest.Wait() // The loop has announced what it has found.
		if len(announced) == 0 {
			t.Fatal("nothing has been announced after a second")
		}
		want := place.SpeedReport{Target: place.TargetKey(targets[1]), Observer: place.NameHash("vm"), Slowdown: announced[0].Slowdown}
		if diff := cmp.Diff(want, announced[0].SpeedReport); diff != "" {
			t.Errorf("announced speed (-want +got):\n%s", diff)
		}
		if most := 2 * speedsPerSecond; len(announced) > most || s.conditionCount(place.Slow)() != 1 {
			t.Errorf("%d announcements, at most %d expected; %g slow targets", len(announced), most, s.conditionCount(place.Slow)())
		}
		time.Sleep(10 * time.Second)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if s.checkingSpeeds {
			t.Error("the loop runs without calls in flight")
		}
	})
}

// workCase is what a client states of its request.
type workCase struct {
	Parts      string `json:"parts"`
	Tokens     string `json:"tokens"`
	LengthHint string `json:"length_hint"`

	WantPrefixes []int `json:"want_prefixes"` // Tokens of each.
	WantPrompt   int   `json:"want_prompt"`
	WantOutput   int   `json:"want_output"`
}

// TestWork guards against odd token counts that would make a request look larger than any
// target's memory, or smaller than its parts.
func TestWork(t *testing.T) {
	script.Run(t, "testdata/work/*.json", func(t *testing.T, data map[string]workCase) {
		for name, c := range data {
			t.Run(name, func(t *testing.T) {
				w := parseWork(c.Parts, c.Tokens, c.LengthHint)
				got := workCase{Parts: c.Parts, Tokens: c.Tokens, LengthHint: c.LengthHint, WantPrompt: w.PromptTokens, WantOutput: w.OutputTokens}
				for _, p := range w.Prefixes {
					got.WantPrefixes = append(got.WantPrefixes, p.Tokens)
				}
				if diff := cmp.Diff(c, got); diff != "" {
					t.Errorf("work (-want +got):\n%s", diff)
				}
			})
		}
	})
}
