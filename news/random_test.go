package news

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotworks/site"
)

const randomNodeCount = 4

// TestRandomState makes nodes read a store that is restored from copies, late or not at
// all, and send each other their state, in random order. No node may go back to an older
// configuration, directory or list of drained failure domains, or use a target
// after its removal, and in the end all nodes agree.
func TestRandomState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newStateEnv()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			e.now = e.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause_ms")) * time.Millisecond)
			node := rapid.IntRange(0, randomNodeCount-1).Draw(t, "node")
			switch rapid.SampledFrom([]string{"change", "read", "read late", "send update", "restart", "restore"}).Draw(t, "step") {
			case "change":
				e.change(t)
			case "read":
				e.read(t, node, len(e.history)-1)
			case "read late":
				e.read(t, node, rapid.IntRange(max(0, len(e.history)-5), len(e.history)-1).Draw(t, "revision"))
			case "send update":
				e.sendUpdate(t, node, rapid.IntRange(0, randomNodeCount-1).Draw(t, "other"))
			case "restore":
				e.restore(t)
			case "restart":
				e.nodes[node], e.newest[node] = &State{}, newestApplied{}
			}
		}
		e.checkFinal(t)
	})
}

// storeContent is what the store holds at one position.
type storeContent struct {
	position       site.Position
	configRevision int64
	targets        []string
	drained        []string
}

// newestApplied holds the newest revisions that a node has applied.
type newestApplied struct {
	configRevision int64
	drained        site.Position
	registered     site.Position
}

type stateEnv struct {
	now     time.Time
	history []storeContent
	nodes   [randomNodeCount]*State
	newest  [randomNodeCount]newestApplied
}

func newStateEnv() *stateEnv {
	e := &stateEnv{now: time.Unix(1000, 0), history: []storeContent{{position: site.Position{Epoch: 1, Revision: 1}, configRevision: 1, targets: []string{"t0", "t1"}}}}
	for i := range e.nodes {
		e.nodes[i] = &State{}
	}
	return e
}

// change writes a random change to the store.
func (e *stateEnv) change(t *rapid.T) {
	next := e.history[len(e.history)-1]
	next.position.Revision++
	next.targets, next.drained = slices.Clone(next.targets), slices.Clone(next.drained)
	name := rapid.IntRange(0, 5).Draw(t, "which")
	switch rapid.SampledFrom([]string{"config", "target", "domain"}).Draw(t, "what") {
	case "config":
		next.configRevision++
	case "target":
		next.targets = toggle(next.targets, fmt.Sprint("t", name))
	case "domain":
		next.drained = toggle(next.drained, fmt.Sprint("d", name%3))
	}
	e.history = append(e.history, next)
}

// restore restores the store from a copy, which begins a new epoch.
func (e *stateEnv) restore(t *rapid.T) {
	last := len(e.history) - 1
	held := e.history[rapid.IntRange(max(0, last-5), last).Draw(t, "copy")]
	held.position.Epoch = e.history[last].position.Epoch + 1
	e.history = append(e.history, held)
}

// at returns what the store held at a position.
func (e *stateEnv) at(p site.Position) storeContent {
	return e.history[slices.IndexFunc(e.history, func(c storeContent) bool { return c.position == p })]
}

// toggle removes the name from the list, or adds it if it is missing.
func toggle(list []string, name string) []string {
	if i := slices.Index(list, name); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return append(list, name)
}

// snapshot returns the content of the store after a number of changes and restores.
func (e *stateEnv) snapshot(count int) Snapshot {
	s := e.history[count]
	d := site.Directory{Position: s.position}
	for _, n := range s.targets {
		d.Targets = append(d.Targets, site.Target{ID: n, Service: "svc", Address: n, Domain: "d" + string(n[1]%3+'0')})
	}
	return Snapshot{
		Config: site.NewConfig(site.Config{Revision: s.configRevision}), Directory: site.NewDirectory(d),
		DrainedDomains: &DrainedDomains{Domains: s.drained, Position: s.position},
		AppliedAt:      e.now,
	}
}

func (e *stateEnv) read(t *rapid.T, node, count int) {
	sn := e.snapshot(count)
	sn.ReadAt = e.now
	e.nodes[node].Apply(sn)
	e.check(t, node)
}

// sendUpdate makes one node send another all of its state.
func (e *stateEnv) sendUpdate(t *rapid.T, from, to int) {
	s := e.nodes[from]
	sn := Snapshot{Config: s.config, Unchanged: s.directoryVersion(e.now), DrainedDomains: s.drained, ReadAt: s.lastRead, AppliedAt: e.now}
	if !e.nodes[to].matches(sn.Unchanged) {
		sn.Directory = s.registered
	}
	e.nodes[to].Apply(sn)
	e.check(t, to)
}

func (e *stateEnv) check(t *rapid.T, node int) {
	s, newest := e.nodes[node], &e.newest[node]
	if s.drained == nil {
		return // Nothing is active yet.
	}
	if s.config.Revision < newest.configRevision || newest.registered.After(s.registered.Position) || newest.drained.After(s.drained.Position) {
		t.Fatalf("node %d went back to configuration %d, targets %v, drained domains %v after %+v", node, s.config.Revision, s.registered.Position, s.drained.Position, *newest)
	}
	newest.configRevision, newest.registered, newest.drained = s.config.Revision, s.registered.Position, s.drained.Position
	if want, got := e.at(s.registered.Position).targets, ids(s.registered); !slices.Equal(slices.Sorted(slices.Values(want)), got) {
		t.Fatalf("node %d has targets %v at %v, want %v", node, got, s.registered.Position, want)
	}
	for _, target := range s.Directory().Usable("svc") {
		if slices.Contains(s.drained.Domains, target.Domain) {
			t.Fatalf("node %d uses %s in a drained failure domain", node, target.ID)
		}
		if _, ok := s.registered.Find(target.ID); !ok && !s.registeredAt.Before(s.graceEnd) {
			t.Fatalf("node %d uses %s, which is not registered", node, target.ID)
		}
	}
}

// ids returns the identifiers of the targets, sorted.
func ids(d site.Directory) []string {
	var list []string
	for _, target := range d.Targets {
		list = append(list, target.ID)
	}
	return list
}

// checkFinal makes every node read the store until after the grace period and the hold on
// departed targets, and checks
// that it uses the targets that accept new work.
func (e *stateEnv) checkFinal(t *rapid.T) {
	last := len(e.history) - 1
	for i := range e.nodes {
		for range 2 * departureHold / readInterval {
			e.read(t, i, last)
			e.now = e.now.Add(readInterval)
		}
		e.read(t, i, last)
		var usable []string
		for _, target := range e.nodes[i].Directory().Usable("svc") {
			usable = append(usable, target.ID)
		}
		if want := e.usable(last); !slices.Equal(want, usable) {
			t.Fatalf("node %d uses %v in the end, want %v", i, usable, want)
		}
	}
}

// usable returns the targets that accept new work after a number of changes and restores.
func (e *stateEnv) usable(count int) []string {
	var list []string
	for _, target := range e.snapshot(count).Directory.Targets {
		if !slices.Contains(e.history[count].drained, target.Domain) {
			list = append(list, target.ID)
		}
	}
	return list
}
