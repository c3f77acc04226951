package news

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotworks/site"
)

const randomNodes = 4

// TestRandomNews has nodes read a store, late or not at all, and tell each
// other what they know, in any order. No node's configuration or departures ever
// go back, what has left is used no more, and in the end all agree.
func TestRandomNews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newNewsWorld()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause_ms")) * time.Millisecond)
			at := rapid.IntRange(0, randomNodes-1).Draw(t, "node")
			switch rapid.SampledFrom([]string{"change", "read", "read late", "fail", "tell", "restart"}).Draw(t, "step") {
			case "change":
				w.change(t)
			case "read":
				w.read(t, at, len(w.history)-1)
			case "read late":
				w.read(t, at, rapid.IntRange(max(0, len(w.history)-5), len(w.history)-1).Draw(t, "version"))
			case "fail":
				w.nodes[at].StoreReadFailed()
			case "tell":
				w.tell(t, at, rapid.IntRange(0, randomNodes-1).Draw(t, "other"))
			case "restart":
				w.nodes[at], w.seen[at] = &State{}, nodeSeen{}
			}
		}
		w.settle(t)
	})
}

// stored is what the store holds at one revision.
type stored struct {
	version  int64
	targets  []string
	departed []string
}

// nodeSeen is the newest that a node has had in force.
type nodeSeen struct {
	version    int64
	departures int64
	listed     int64
}

type newsWorld struct {
	now     time.Time
	history []stored
	nodes   [randomNodes]*State
	seen    [randomNodes]nodeSeen
}

func newNewsWorld() *newsWorld {
	w := &newsWorld{now: time.Unix(1000, 0), history: []stored{{version: 1, targets: []string{"t0", "t1"}}}}
	for i := range w.nodes {
		w.nodes[i] = &State{}
	}
	return w
}

// change writes something into the store.
func (w *newsWorld) change(t *rapid.T) {
	next := w.history[len(w.history)-1]
	next.targets, next.departed = slices.Clone(next.targets), slices.Clone(next.departed)
	name := rapid.IntRange(0, 5).Draw(t, "which")
	switch rapid.SampledFrom([]string{"config", "target", "domain"}).Draw(t, "what") {
	case "config":
		next.version++
	case "target":
		next.targets = toggled(next.targets, fmt.Sprint("t", name))
	case "domain":
		next.departed = toggled(next.departed, fmt.Sprint("d", name%3))
	}
	w.history = append(w.history, next)
}

// toggled returns a list with a name that it lacked, or without it.
func toggled(list []string, name string) []string {
	if i := slices.Index(list, name); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return append(list, name)
}

// snapshot returns what the store says at a revision.
func (w *newsWorld) snapshot(revision int) Snapshot {
	s := w.history[revision]
	d := site.Directory{Revision: int64(revision + 1)}
	for _, n := range s.targets {
		d.Targets = append(d.Targets, site.Target{ID: n, Service: "svc", Address: n, Domain: "d" + string(n[1]%3+'0')})
	}
	return Snapshot{
		Config: site.NewConfig(site.Config{Version: s.version}), Directory: site.NewDirectory(d),
		DrainedDomains: &DrainedDomains{Domains: s.departed, Revision: int64(revision + 1)},
	}
}

func (w *newsWorld) read(t *rapid.T, at, revision int) {
	w.nodes[at].Read(w.now, w.snapshot(revision))
	w.check(t, at)
}

// tell has a node tell another one all that it knows.
func (w *newsWorld) tell(t *rapid.T, from, to int) {
	s := w.nodes[from]
	w.nodes[to].ApplyPeer(w.now, Snapshot{Config: s.config, Directory: s.listed, DrainedDomains: s.departures})
	w.check(t, to)
}

func (w *newsWorld) check(t *rapid.T, at int) {
	s, seen := w.nodes[at], &w.seen[at]
	if s.departures == nil {
		return // Nothing is in force yet.
	}
	if s.config.Version < seen.version || s.listed.Revision < seen.listed || s.departures.Revision < seen.departures {
		t.Fatalf("node %d went back: version %d, targets %d, departures %d after %+v", at, s.config.Version, s.listed.Revision, s.departures.Revision, *seen)
	}
	seen.version, seen.listed, seen.departures = s.config.Version, s.listed.Revision, s.departures.Revision
	s.ExpireGrace(w.now)
	for _, g := range s.Directory().Usable("svc") {
		if slices.Contains(s.departures.Domains, g.Domain) {
			t.Fatalf("node %d uses %s in a failure domain that is out", at, g.ID)
		}
		if _, ok := s.listed.Find(g.ID); !ok && w.now.After(s.keepUntil) {
			t.Fatalf("node %d uses %s, which is not listed", at, g.ID)
		}
	}
}

// settle lets every node read the store after the time for lapsed entries.
func (w *newsWorld) settle(t *rapid.T) {
	last := len(w.history) - 1
	for i := range w.nodes {
		w.read(t, i, last)
		w.now = w.now.Add(2 * returnTime)
		w.read(t, i, last)
		var usable []string
		for _, g := range w.nodes[i].Directory().Usable("svc") {
			usable = append(usable, g.ID)
		}
		if want := w.usable(last); !slices.Equal(want, usable) {
			t.Fatalf("node %d uses %v in the end, want %v", i, usable, want)
		}
	}
}

// usable returns the targets that take work at a revision.
func (w *newsWorld) usable(revision int) []string {
	var list []string
	for _, g := range w.snapshot(revision).Directory.Targets {
		if !slices.Contains(w.history[revision].departed, g.Domain) {
			list = append(list, g.ID)
		}
	}
	return list
}
