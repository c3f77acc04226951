package pool_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotworks/note"
	"bergamotworks/pool"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"seed": "20260101", "checks": "300", "steps": "80", "nofailfile": "true"} {
		_ = flag.Set("rapid."+name, value)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// checker drives a pool with random events and checks each action against its own
// model of the pool.
type checker struct {
	*rapid.T
	pool         *pool.Pool
	now          time.Time
	config       note.Config
	calls        map[string]pool.Call
	decisions    map[string]string // "dispatched" or "rejected", by attempt.
	running      map[string]string // Target of each running call.
	startEpochs  map[string]int    // Cold starts of the target at the call's dispatch.
	epochs       map[string]int    // Cold starts of each target that the checker tracks; the pool may have more.
	successes    map[string]int    // Successful calls since the last cold start, by target.
	suspended    bool
	drained      bool
	incarnations map[string]uint64 // Last incarnation reported, by target.
	sequence     int
}

var targetNames = []string{"t1", "t2", "t3"}

func propertyConfig() note.Config {
	s := note.Sections{
		Domains:  map[string]note.FailureDomain{"north": {}},
		Services: map[string]note.Service{"model": {ColdLimit: 2, WarmLimit: 5, TypicalMS: 50, WarmUpCalls: 3, IdleColdMS: 3000}},
		Targets:  map[string]note.Target{},
		Classes:  map[string]note.Class{"x": {Priority: 2, Share: 0.3}, "y": {Priority: 1, Share: 0.3, MustFinish: true}},
	}
	for _, n := range targetNames {
		s.Targets[n] = note.Target{Service: "model", Domain: "north", Address: n}
	}
	return note.Config{Sections: s}
}

// TestInvariants runs random events through a pool and checks that each call is
// dispatched or rejected exactly once, within the limits of the targets.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &checker{T: t, now: origin, config: propertyConfig(), calls: map[string]pool.Call{}, decisions: map[string]string{},
			running: map[string]string{}, startEpochs: map[string]int{}, epochs: map[string]int{}, incarnations: map[string]uint64{}, successes: map[string]int{}}
		c.pool = &pool.Pool{Spec: pool.Split(c.config)[0], Config: c.config, QueueLimit: 12}
		t.Repeat(map[string]func(*rapid.T){ // An action with several names is drawn more often.
			"submit": c.burst, "more": c.burst, "finish": c.finish, "end": c.finish, "stop": c.finish, "wait": c.wait,
			"rarely": c.rareEvent,
		})
		c.drain()
	})
}

func (c *checker) step(event pool.Event) {
	for _, a := range c.pool.Step(c.now, event) {
		switch a := a.(type) {
		case pool.Dispatch:
			c.recordDecision(a.Attempt, "dispatched")
			c.checkDispatch(a)
		case pool.Reject:
			c.recordDecision(a.Attempt, "rejected")
		case pool.Cancel:
			if c.running[a.Attempt] == "" || c.calls[a.Attempt].MustFinish {
				c.Fatalf("%s is canceled, but it does not run or must finish", a.Attempt)
			}
		}
	}
}

func (c *checker) recordDecision(attempt, decision string) {
	if previous := c.decisions[attempt]; previous != "" {
		c.Fatalf("%s is %s after it was %s", attempt, decision, previous)
	}
	c.decisions[attempt] = decision
}

func (c *checker) checkAllowed(a pool.Dispatch, call pool.Call) {
	switch {
	case c.suspended || c.drained:
		c.Fatalf("%s is dispatched by a pool that is suspended or drained", a.Attempt)
	case !accepts(c.config, a.Target):
		c.Fatalf("%s is dispatched to %s, which is not in service", a.Attempt, a.Target)
	case !c.now.Before(call.Deadline):
		c.Fatalf("%s is dispatched after its deadline", a.Attempt)
	}
}

func (c *checker) checkDispatch(a pool.Dispatch) {
	call := c.calls[a.Attempt]
	c.checkAllowed(a, call)
	others := 0
	for id, n := range c.running {
		if n == a.Target {
			others++
			if call.Exclusive || c.calls[id].Exclusive {
				c.Fatalf("%s and %s run at the same time on %s, and one of them is exclusive", a.Attempt, id, n)
			}
		}
	}
	if c.successes[a.Target] < 3 && others >= 2 { // WarmUpCalls and ColdLimit of propertyConfig.
		c.Fatalf("%d calls on cold target %s", others+1, a.Target)
	}
	for _, s := range c.pool.Targets(c.now) {
		if s.Name == a.Target && (s.Occupied > s.Limit || s.Limit > 5) { // At most WarmLimit of propertyConfig.
			c.Fatalf("%d calls on %s beyond its limit of %d", s.Occupied, s.Name, s.Limit)
		}
	}
	c.running[a.Attempt] = a.Target
	c.startEpochs[a.Attempt] = c.epochs[a.Target]
}

// burst submits several calls.
func (c *checker) burst(t *rapid.T) {
	for range rapid.IntRange(1, 6).Draw(t, "calls") {
		c.submit(t)
	}
}

func (c *checker) submit(t *rapid.T) {
	c.sequence++
	call := pool.Call{
		Attempt:    fmt.Sprint("c", c.sequence),
		Account:    rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"),
		Class:      rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "class"),
		Deadline:   c.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "left")) * time.Millisecond),
		MustFinish: rapid.Bool().Draw(t, "must_finish"),
		Prefix:     rapid.Uint64Range(0, 3).Draw(t, "prefix"),
		Exclusive:  rapid.IntRange(0, 9).Draw(t, "alone") == 0,
	}
	if rapid.IntRange(0, 4).Draw(t, "again") == 0 {
		call.Avoid = []string{rapid.SampledFrom(targetNames).Draw(t, "avoid")}
	}
	c.calls[call.Attempt] = call
	c.step(pool.Submitted{Call: call})
}

func (c *checker) finish(t *rapid.T) {
	if len(c.running) == 0 {
		t.Skip()
	}
	c.now = c.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
	c.end(rapid.SampledFrom(sorted(c.running)).Draw(t, "attempt"),
		rapid.SampledFrom([]pool.OutcomeKind{pool.Succeeded, pool.Succeeded, pool.Succeeded, pool.Failed, pool.Overloaded,
			pool.Crashed, pool.TimedOut, pool.Canceled}).Draw(t, "kind"), rapid.IntRange(30, 80).Draw(t, "ms"))
}

func (c *checker) end(id string, kind pool.OutcomeKind, ms int) {
	target, startEpoch := c.running[id], c.startEpochs[id]
	delete(c.running, id)
	switch kind {
	case pool.Succeeded:
		if startEpoch == c.epochs[target] {
			c.successes[target]++
		}
	case pool.Crashed:
		c.markCold(target)
	case pool.Overloaded:
		if startEpoch == c.epochs[target] {
			c.markCold(target)
		}
	case pool.Failed, pool.TimedOut, pool.Canceled:
	}
	c.step(pool.Finished{Attempt: id, Outcome: pool.Outcome{Kind: kind, Latency: time.Duration(ms) * time.Millisecond}})
}

func (c *checker) markCold(target string) {
	c.epochs[target]++
	c.successes[target] = 0
}

func sorted(m map[string]string) []string {
	var names []string
	for k := range m {
		names = append(names, k)
	}
	slices.Sort(names)
	return names
}
