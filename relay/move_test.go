package relay

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/member"
	"bergamotworks/move"
	"bergamotworks/ports"
	"bergamotworks/script"
	"bergamotworks/site"
	"bergamotworks/wire"
)

// moveCase is a stream on a target that a rollout is about to replace. The connection of
// the stream ends after 5 s.
type moveCase struct {
	Description string   `json:"guards"`   // The failure that the case guards against.
	Kept        bool     `json:"kept"`     // The target is not replaced.
	NoRetries   bool     `json:"no_retry"` // The retry budget is spent.
	Results     []string `json:"results"`  // Of the calls to copy the run: a move.CopyState or lost.
	WantCalls   []string `json:"want_calls"`
	WantEnd     string   `json:"want_end"` // How the attempt ends: lost, or stopped and the copies from which it can go on.
}

// fakeMover returns results in order.
type fakeMover struct {
	mutex   sync.Mutex
	results []string
	calls   []string
}

func (m *fakeMover) Copy(_ context.Context, source site.Target, run string, destination site.Target, last bool) (move.CopyResult, error) {
	result := m.next(fmt.Sprintf("%s %s-%s last=%t", run, source.ID, destination.ID, last))
	time.Sleep(100 * time.Millisecond)
	state, err := move.CopyStateString(result)
	if err != nil {
		return move.CopyResult{}, fault.New(fault.ConnectionLost, fault.MayHaveRun, "%s", result)
	}
	r := move.CopyResult{State: state}
	if state == move.CopyMade || state == move.CopyRejected && last {
		r.Handle = "h"
	}
	return r, nil
}

func (m *fakeMover) Free(_ context.Context, target site.Target, id string) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.calls = append(m.calls, "free "+target.ID+" "+id)
	return nil
}

// next records a call and returns its result.
func (m *fakeMover) next(call string) string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.calls = append(m.calls, call)
	result := m.results[0]
	m.results = m.results[1:]
	return result
}

// fakeReplacer replaces targets of one version.
type fakeReplacer struct{ version string }

func (r fakeReplacer) Leaving(_ time.Time, t site.Target) bool { return t.Version == r.version }

// TestMove moves a run in virtual time.
func TestMove(t *testing.T) {
	script.Run(t, "testdata/move/*.json", func(t *testing.T, data map[string]moveCase) {
		for name, c := range data {
			t.Run(name, func(t *testing.T) { synctest.Test(t, c.test) })
		}
	})
}

func (c moveCase) test(t *testing.T) {
	mover := &fakeMover{results: c.Results}
	s := c.server(mover)
	x := newExchange(&clientConn{server: s}, &wire.Request{Headers: wire.Headers{{Name: s.Names.Tokens, Value: "1000,1000"}, {Name: s.Names.Request, Value: "a"}}}, time.Now())
	x.service, x.config, x.deadline = "svc", s.Config(), time.Now().Add(time.Minute)
	x.route = site.Route{Kind: site.Stream, MaxAttempts: 2}
	source, _ := s.Directory().Find("old")
	ctx, cancel := context.WithCancel(context.Background())
	x.prepareCopies(source, cancel)
	select {
	case <-ctx.Done(): // The run was stopped.
	case <-time.After(5 * time.Second):
	}
	err := x.endLive(context.Background(), fault.New(fault.ConnectionLost, fault.MayHaveRun, "ended"))
	end := "lost"
	if isMoved(err) {
		end = "stopped "
		for _, o := range x.origins(ctx, source, err) {
			end += o.kind + " " + o.target.ID + " " + o.copy + " "
		}
	}
	if diff := cmp.Diff(c.WantEnd, end); diff != "" {
		t.Errorf("end of the attempt (-want +got):\n%s", diff)
	}
	synctest.Wait()
	if diff := cmp.Diff(c.WantCalls, mover.calls); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
	x.freeCopies()
	if n := s.copyCount(); n > 0 {
		t.Errorf("%g copies count after the end of the request", n)
	}
	time.Sleep(2 * moveCheckInterval) // The loop ends.
}

func (c moveCase) server(mover Mover) *Server {
	directory := site.NewDirectory(site.Directory{Position: site.Position{Revision: 1}, Targets: []site.Target{
		{ID: "old", Service: "svc", Address: "10.0.0.1:1", Slots: 8, Version: "v1"},
		{ID: "old2", Service: "svc", Address: "10.0.0.2:1", Slots: 8, Version: "v1"},
		{ID: "new", Service: "svc", Address: "10.0.0.3:1", Slots: 8, Version: "v2"},
	}})
	config := site.NewConfig(site.Config{Revision: 1, Services: []site.Service{{
		Name: "svc", Engine: site.EngineLimits{Moves: true, TokenBytes: 1000, LinkMbps: 1000},
	}}})
	bounds := Bounds{RetryRatio: 1, RetrySlack: 100, RetryWindow: 10 * time.Second}
	if c.NoRetries {
		bounds = Bounds{RetrySlack: 1e-6, RetryWindow: 10 * time.Second}
	}
	replacer := fakeReplacer{version: "v1"}
	if c.Kept {
		replacer.version = "v0"
	}
	s := &Server{
		Self: "vm", Names: DefaultHeaderNames(), Clock: ports.SystemClock{}, Random: ports.NewSeededRandom(1), Log: logrus.NewEntry(logrus.New()),
		Metrics: metrics.NewSet(), Client: &wire.Client{}, View: func() member.View { return member.View{} },
		Directory: func() site.Directory { return directory }, Config: func() site.Config { return config }, Bounds: func() Bounds { return bounds },
		Mover: mover, Replacer: replacer,
	}
	s.Log.Logger.SetOutput(io.Discard)
	s.once.Do(s.init)
	return s
}
