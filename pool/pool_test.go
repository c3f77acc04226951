package pool_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/note"
	"bergamotworks/pool"
	"bergamotworks/script"
)

// origin is the time at which all scripts and experiments start.
var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// poolScript is a data file: a pool, and steps with the expected actions.
type poolScript struct {
	About      string      `json:"about"`
	Policy     pool.Policy `json:"policy"`
	Nodes      int         `json:"nodes"`
	QueueLimit int         `json:"queue"`
	Config     note.Config `json:"config"`
	Steps      []step      `json:"steps"`
}

// step is one event at a given time. At most one of the fields from Submit to Drain
// is set; without any, the event is a tick. HandOver replaces the pool by one that
// takes over its state.
type step struct {
	AtMS        int64               `json:"at_ms"`
	Submit      *submitStep         `json:"submit"`
	Started     *pool.StreamStarted `json:"started"`
	Slowed      *pool.StreamSlowed  `json:"slowed"`
	Finish      *finishStep         `json:"finish"`
	Cancel      string              `json:"cancel"`
	Report      *pool.LoadReported  `json:"report"`
	Cache       *pool.CacheReported `json:"cache"`
	Domain      *domainStep         `json:"domain"`
	DrainTarget string              `json:"leaving"`
	TakeOver    bool                `json:"take_over"`
	HandOver    bool                `json:"hand_over"`
	Suspend     bool                `json:"suspend"`
	Resume      bool                `json:"resume"`
	Drain       bool                `json:"drain"`
	Want        []string            `json:"want"`
}

type submitStep struct {
	pool.Call
	RemainingMS int64 `json:"in_ms"` // Time until the deadline.
}

type finishStep struct {
	Attempt      string           `json:"attempt"`
	Kind         pool.OutcomeKind `json:"kind"`
	LatencyMS    int64            `json:"ms"`
	FirstTokenMS int64            `json:"first_ms"`
}

type domainStep struct {
	Name  string     `json:"name"`
	State note.State `json:"state"`
}

func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.json", func(t *testing.T, data poolScript) {
		spec := pool.Split(data.Config)[0]
		p := &pool.Pool{Spec: spec, Config: data.Config, Policy: data.Policy, Nodes: data.Nodes, QueueLimit: data.QueueLimit}
		for i, s := range data.Steps {
			now := origin.Add(time.Duration(s.AtMS) * time.Millisecond)
			if s.HandOver {
				state := p.Handover(now)
				p = &pool.Pool{Spec: spec, Config: p.Config, QueueLimit: data.QueueLimit}
				p.Step(now, pool.TakenOver{Planned: true, State: state})
				continue
			}
			got := describe(p.Step(now, s.event(now, p.Config)))
			if diff := cmp.Diff(s.Want, got); diff != "" {
				t.Fatalf("step %d at %d ms (-want +got):\n%s", i, s.AtMS, diff)
			}
		}
	})
}

func (s step) event(now time.Time, config note.Config) pool.Event {
	switch {
	case s.Submit != nil:
		c := s.Submit.Call
		c.Deadline = now.Add(time.Duration(s.Submit.RemainingMS) * time.Millisecond)
		return pool.Submitted{Call: c}
	case s.Slowed != nil:
		return *s.Slowed
	case s.Started != nil:
		return *s.Started
	case s.Finish != nil:
		return s.Finish.event()
	case s.Cancel != "":
		return pool.CancelRequested{Attempt: s.Cancel}
	case s.Report != nil:
		return *s.Report
	case s.Cache != nil:
		return *s.Cache
	case s.Domain != nil:
		return pool.Configured{Config: withDomain(config, s.Domain.Name, s.Domain.State)}
	case s.DrainTarget != "":
		return pool.Configured{Config: withTarget(config, s.DrainTarget, note.Draining)}
	case s.TakeOver:
		return pool.TakenOver{}
	case s.Suspend:
		return pool.Suspended{}
	case s.Resume:
		return pool.Resumed{}
	case s.Drain:
		return pool.Drained{}
	}
	return pool.Ticked{}
}

func (f finishStep) event() pool.Event {
	return pool.Finished{Attempt: f.Attempt, Outcome: pool.Outcome{
		Kind:       f.Kind,
		Latency:    time.Duration(f.LatencyMS) * time.Millisecond,
		FirstToken: time.Duration(f.FirstTokenMS) * time.Millisecond,
	}}
}

// describe formats each action as one line.
func describe(actions []pool.Action) []string {
	var lines []string
	for _, a := range actions {
		switch a := a.(type) {
		case pool.Dispatch:
			lines = append(lines, "dispatch "+a.Attempt+" "+a.Target)
		case pool.Reject:
			lines = append(lines, "refuse "+a.Attempt+" "+a.Err.Kind.String()+" "+a.Err.Verdict.String())
		case pool.Cancel:
			lines = append(lines, "cancel "+a.Attempt)
		}
	}
	return lines
}
