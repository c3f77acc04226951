package news

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"bergamotworks/script"
)

const (
	// drainBound is the time after which nodes in touch must not use a target whose
	// entry was removed.
	drainBound = 2 * time.Second
	// contactTime is how long a node must have been without trouble to be in touch.
	contactTime = 3 * time.Second
	// lookInterval is the time between two looks at the nodes' directories.
	lookInterval = 10 * time.Millisecond
)

// outageCase is a fleet in which targets leave, or their entries lapse, while nodes
// can't read the store.
type outageCase struct {
	Nodes    int       `json:"nodes"`
	Targets  int       `json:"targets"`
	Seconds  int       `json:"seconds"`
	Seeds    int       `json:"seeds"`
	Troubles []trouble `json:"troubles"`
	// Leaves are the targets whose entries are removed for good, and Lapses those
	// whose entries are removed though they run, until they register again.
	Leaves []entryChange `json:"leaves"`
	Lapses []entryChange `json:"lapses"`
}

// trouble is an impairment of some nodes, or of all if it is one of the store. Store
// readers come first in their order.
type trouble struct {
	Kind    string `json:"kind"`
	Store   bool   `json:"store"` // The store itself is down.
	First   int    `json:"first"`
	Count   int    `json:"count"`
	FromMS  int    `json:"from_ms"`
	UntilMS int    `json:"until_ms"`
}

// entryChange is the removal of the entry of a target, which comes back at BackMS.
type entryChange struct {
	Target string `json:"target"`
	AtMS   int    `json:"at_ms"`
	BackMS int    `json:"back_ms"`
}

// TestOutages guards against nodes that keep targets whose entries were removed since
// another node, or they themselves, could not read the store for a while; and against
// nodes that drop targets whose entries lapse in a real outage.
func TestOutages(t *testing.T) {
	script.Run(t, "testdata/outages/*.json", func(t *testing.T, data map[string]outageCase) {
		for name, c := range data {
			t.Run(name, func(t *testing.T) {
				for seed := range max(1, c.Seeds) {
					synctest.Test(t, func(t *testing.T) { testOutage(t, c, uint64(seed)) })
				}
			})
		}
	})
}

func testOutage(t *testing.T, c outageCase, seed uint64) {
	r := outageRun{readersEnv: newReadersEnv(readersCase{Nodes: c.Nodes, Targets: c.Targets, Seconds: c.Seconds}, seed), outageCase: c}
	for _, n := range r.nodes {
		go n.run()
	}
	defer r.stop()
	for ms := 0; ms < c.Seconds*1000; ms += int(lookInterval.Milliseconds()) {
		r.apply(ms)
		time.Sleep(lookInterval)
		r.checkLeft(t, ms)
		r.checkLapsed(t, ms)
	}
}

// outageRun plays an outageCase.
type outageRun struct {
	*readersEnv
	outageCase
}

// order returns the names of the nodes, store readers first.
func (r outageRun) order() []string {
	var names []string
	for _, m := range r.readers {
		names = append(names, m.ID)
	}
	for _, n := range r.names {
		if !slices.Contains(names, n) {
			names = append(names, n)
		}
	}
	return names
}

// hit returns the names of the nodes that a trouble hits.
func (r outageRun) hit(o trouble) []string {
	if o.Store {
		return r.names
	}
	return r.order()[o.First : o.First+o.Count]
}

// apply applies what is due at ms.
func (r outageRun) apply(ms int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, o := range r.Troubles {
		for _, name := range r.hit(o) {
			switch ms {
			case o.FromMS:
				r.impaired[name] = o.Kind
			case o.UntilMS:
				delete(r.impaired, name)
			}
		}
	}
	for _, c := range slices.Concat(r.Leaves, r.Lapses) {
		switch ms {
		case c.AtMS:
			r.unlisted[c.Target] = true
			r.entryChanges++
		case c.BackMS:
			delete(r.unlisted, c.Target)
			r.entryChanges++
		}
	}
}

// inTouch reports whether a node had no trouble in the contactTime before ms.
func (r outageRun) inTouch(name string, ms int) bool {
	return undisturbed(r.Troubles, ms, func(o trouble) bool { return !o.Store && slices.Contains(r.hit(o), name) })
}

// undisturbed reports whether none of the troubles that hit a node was there in the
// contactTime before ms.
func undisturbed(troubles []trouble, ms int, hits func(trouble) bool) bool {
	from := ms - int(contactTime.Milliseconds())
	return !slices.ContainsFunc(troubles, func(o trouble) bool { return o.FromMS <= ms && o.UntilMS > from && hits(o) })
}

// checkLeft checks that nodes in touch do not use targets that have left.
func (r outageRun) checkLeft(t *testing.T, ms int) {
	t.Helper()
	for _, c := range r.Leaves {
		if ms <= c.AtMS+int(drainBound.Milliseconds()) {
			continue
		}
		for _, name := range r.names {
			if _, used := r.nodes[name].service.Directory().Find(c.Target); used && r.inTouch(name, ms) {
				t.Fatalf("%s still uses %s %d ms after its entry was removed", name, c.Target, ms-c.AtMS)
			}
		}
	}
}

// checkLapsed checks that all nodes use the targets that run though their entries have
// lapsed.
func (r outageRun) checkLapsed(t *testing.T, ms int) {
	t.Helper()
	for _, c := range r.Lapses {
		for _, name := range r.names {
			d := r.nodes[name].service.Directory()
			if _, used := d.Find(c.Target); !used && d.Loaded() {
				t.Fatalf("%s dropped %s at %d ms, whose entry lapsed at %d ms and was back at %d ms", name, c.Target, ms, c.AtMS, c.BackMS)
			}
		}
	}
}
