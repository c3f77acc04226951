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

// checker drives a pool with random events and checks each action against a
// model of its own.
type checker struct {
	*rapid.T
	pool     *pool.Pool
	now      time.Time
	config   note.Config
	calls    map[string]pool.Call
	settled  map[string]string // What became of each call.
	running  map[string]string // Target of each running call.
	born     map[string]int    // Cold starts of the target when the call began.
	cold     map[string]int    // Cold starts that the model knows of.
	proofs   map[string]int
	stopped  bool
	drained  bool
	lives    map[string]uint64 // Incarnations reported.
	sequence int
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

func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &checker{T: t, now: origin, config: propertyConfig(), calls: map[string]pool.Call{}, settled: map[string]string{},
			running: map[string]string{}, born: map[string]int{}, cold: map[string]int{}, lives: map[string]uint64{}, proofs: map[string]int{}}
		c.pool = &pool.Pool{Spec: pool.Split(c.config)[0], Config: c.config, QueueLimit: 12}
		t.Repeat(map[string]func(*rapid.T){
			"submit": c.burst, "more": c.burst, "finish": c.finish, "end": c.finish, "stop": c.finish, "wait": c.wait,
			"rarely": c.rarely,
		})
		c.drain()
	})
}

func (c *checker) step(event pool.Event) {
	for _, a := range c.pool.Step(c.now, event) {
		switch a := a.(type) {
		case pool.Dispatch:
			c.settle(a.Attempt, "dispatched")
			c.dispatched(a)
		case pool.Refuse:
			c.settle(a.Attempt, "refused")
		case pool.Cancel:
			if c.running[a.Attempt] == "" || c.calls[a.Attempt].MustFinish {
				c.Fatalf("%s is canceled", a.Attempt)
			}
		}
	}
}

func (c *checker) settle(attempt, how string) {
	if before := c.settled[attempt]; before != "" {
		c.Fatalf("%s is %s after it was %s", attempt, how, before)
	}
	c.settled[attempt] = how
}

func (c *checker) allowed(a pool.Dispatch, call pool.Call) {
	switch {
	case c.stopped || c.drained:
		c.Fatalf("%s is dispatched by a pool that is suspended or drained", a.Attempt)
	case !open(c.config, a.Target):
		c.Fatalf("%s is dispatched to %s, which takes no new work", a.Attempt, a.Target)
	case !c.now.Before(call.Deadline):
		c.Fatalf("%s is dispatched after its deadline", a.Attempt)
	}
}

func (c *checker) dispatched(a pool.Dispatch) {
	call := c.calls[a.Attempt]
	c.allowed(a, call)
	beside := 0
	for id, n := range c.running {
		if n == a.Target {
			beside++
			if call.Exclusive || c.calls[id].Exclusive {
				c.Fatalf("%s and %s run together on %s", a.Attempt, id, n)
			}
		}
	}
	if c.proofs[a.Target] < 3 && beside >= 2 {
		c.Fatalf("%d calls on cold target %s", beside+1, a.Target)
	}
	for _, s := range c.pool.Targets(c.now) {
		if s.Name == a.Target && (s.Occupied > s.Limit || s.Limit > 5) {
			c.Fatalf("%d calls on %s beyond its limit of %d", s.Occupied, s.Name, s.Limit)
		}
	}
	c.running[a.Attempt] = a.Target
	c.born[a.Attempt] = c.cold[a.Target]
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
			pool.Crashed, pool.Silent, pool.Canceled}).Draw(t, "kind"), rapid.IntRange(30, 80).Draw(t, "ms"))
}

func (c *checker) end(id string, kind pool.OutcomeKind, ms int) {
	target, born := c.running[id], c.born[id]
	delete(c.running, id)
	switch kind {
	case pool.Succeeded:
		if born == c.cold[target] {
			c.proofs[target]++
		}
	case pool.Crashed:
		c.chill(target)
	case pool.Overloaded:
		if born == c.cold[target] {
			c.chill(target)
		}
	case pool.Failed, pool.Silent, pool.Canceled:
	}
	c.step(pool.Finished{Attempt: id, Outcome: pool.Outcome{Kind: kind, Latency: time.Duration(ms) * time.Millisecond}})
}

func (c *checker) chill(target string) {
	c.cold[target]++
	c.proofs[target] = 0
}

func sorted(m map[string]string) []string {
	var names []string
	for k := range m {
		names = append(names, k)
	}
	slices.Sort(names)
	return names
}
