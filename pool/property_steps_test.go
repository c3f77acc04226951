package pool_test

import (
	"time"

	"pgregory.net/rapid"

	"bergamotworks/note"
	"bergamotworks/pool"
)

// rareEvent draws an event that, if it were frequent, would keep the pool from
// dispatching most calls.
func (c *checker) rareEvent(t *rapid.T) {
	switch rapid.IntRange(0, 7).Draw(t, "rare") {
	case 0:
		c.configure(t)
	case 1:
		c.control(t)
	case 2, 3:
		c.report(t)
	case 4, 5:
		c.cancel(t)
	}
}

func (c *checker) configure(t *rapid.T) {
	n := rapid.SampledFrom(targetNames).Draw(t, "target")
	state := rapid.SampledFrom([]note.State{note.InService, note.Draining}).Draw(t, "state")
	domain := rapid.SampledFrom([]note.State{note.InService, note.InService, note.OutOfService}).Draw(t, "domain")
	c.apply(withDomain(withTarget(c.config, n, state), "north", domain))
}

func (c *checker) apply(config note.Config) {
	for _, n := range targetNames {
		if !accepts(c.config, n) && accepts(config, n) {
			c.markCold(n)
		}
	}
	c.config = config
	c.step(pool.Configured{Config: config})
}

func accepts(c note.Config, name string) bool {
	t := c.Sections.Targets[name]
	return t.State == note.InService && c.Sections.Domains[t.Domain].State == note.InService
}

func (c *checker) report(t *rapid.T) {
	n := rapid.SampledFrom(targetNames).Draw(t, "target")
	if rapid.IntRange(0, 1).Draw(t, "restart") == 0 {
		if c.incarnations[n] > 0 {
			c.markCold(n)
		}
		c.incarnations[n]++
	}
	load := pool.LoadReport{Incarnation: c.incarnations[n], Running: rapid.IntRange(0, 3).Draw(t, "running"), Cached: -1}
	c.step(pool.LoadReported{Target: n, Load: load})
}

func (c *checker) control(t *rapid.T) {
	switch rapid.IntRange(0, 4).Draw(t, "what") {
	case 0:
		c.suspended = true
		c.step(pool.Suspended{})
	case 1:
		c.suspended = false
		c.markAllCold()
		c.step(pool.Resumed{})
	case 2:
		c.drained = true
		c.step(pool.Drained{})
	case 3:
		c.drained = false
		c.markAllCold()
		c.step(pool.TakenOver{})
	case 4:
		c.step(pool.TakenOver{Planned: true, State: c.pool.Handover(c.now)})
		c.drained = false
	}
}

func (c *checker) markAllCold() {
	for _, n := range targetNames {
		c.markCold(n)
	}
}

func (c *checker) wait(t *rapid.T) {
	c.now = c.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
	c.step(pool.Ticked{})
}

func (c *checker) cancel(t *rapid.T) {
	if len(c.calls) == 0 {
		t.Skip()
	}
	id := callIDs(c)[rapid.IntRange(0, len(c.calls)-1).Draw(t, "call")]
	c.step(pool.CancelRequested{Attempt: id})
}

func callIDs(c *checker) []string {
	names := make(map[string]string)
	for k := range c.calls {
		names[k] = k
	}
	return sorted(names)
}

// drain lets all calls finish or expire and checks that each was dispatched or
// rejected.
func (c *checker) drain() {
	c.suspended, c.drained = false, false
	c.markAllCold()
	c.step(pool.TakenOver{})
	c.step(pool.Resumed{})
	for len(c.running) > 0 {
		c.end(sorted(c.running)[0], pool.Canceled, 10)
	}
	c.now = c.now.Add(time.Minute)
	c.step(pool.Ticked{})
	for id := range c.calls {
		if c.decisions[id] == "" {
			c.Fatalf("%s was neither dispatched nor rejected", id)
		}
	}
	if s := c.pool.Summary(c.now); s.Queued != 0 {
		c.Fatalf("%d calls still wait after their deadlines", s.Queued)
	}
}
