package member

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/script"
)

type fleetScript struct {
	About   string      `json:"about"`
	VMs     int         `json:"vms"`
	Regions int         `json:"regions"`
	Seed    uint64      `json:"seed"`
	Loss    float64     `json:"loss"`
	Seeds   []string    `json:"seeds"` // Gossip addresses; all VMs if absent.
	Absent  []string    `json:"absent"`
	Steps   []fleetStep `json:"steps"`
	Deaths  int         `json:"deaths"` // Expected number of running VMs declared dead, counted per observer.
}

type fleetStep struct {
	AtMS   int64    `json:"at_ms"`
	Do     string   `json:"do"`
	VMs    []string `json:"vms"`
	To     []string `json:"to"`
	Key    uint64   `json:"key"`
	Value  int64    `json:"value"`
	Expect *expect  `json:"expect"`
}

// expect is the expected view of every VM in On.
type expect struct {
	On            []string         `json:"on"`
	Live          []string         `json:"live"`
	States        map[string]State `json:"states"`
	Unconfirmed   bool             `json:"doubt"`
	Isolated      bool             `json:"cut_off"`
	Epoch         uint64           `json:"epoch"`
	Announcements map[uint64]int64 `json:"rumors"`
	Restart       bool             `json:"restart"` // Whether each live VM is listed with its current incarnation.
}

func TestTable(t *testing.T) {
	script.Run(t, "testdata/fleet_*.json", func(t *testing.T, s fleetScript) {
		f := newFleet(s.VMs, max(1, s.Regions), s.Seed)
		f.loss = s.Loss
		if s.Seeds != nil {
			f.seeds = s.Seeds
		}
		for _, address := range f.addresses {
			if n := f.nodes[address]; !slices.Contains(s.Absent, n.id) {
				f.start(n)
			}
		}
		begin := f.now
		for _, step := range s.Steps {
			f.run(begin.Add(time.Duration(step.AtMS) * time.Millisecond))
			for _, id := range f.expand(step.VMs) {
				f.do(t, f.find(id), step)
			}
			if step.Expect != nil {
				f.check(t, step)
			}
		}
		if diff := cmp.Diff(s.Deaths, f.deaths); diff != "" {
			t.Errorf("running VMs declared dead (-want +got):\n%s", diff)
		}
	})
}

// expand returns the IDs of the VMs that the words select: "all", regions or IDs.
func (f *fleet) expand(words []string) []string {
	var ids []string
	for _, w := range words {
		for _, address := range f.addresses {
			n := f.nodes[address]
			if w == "all" || w == n.id || w == n.table.Self.Region {
				ids = append(ids, n.id)
			}
		}
	}
	return ids
}

func (f *fleet) do(t *testing.T, n *node, step fleetStep) {
	t.Helper()
	switch step.Do {
	case "start":
		f.start(n)
	case "kill":
		n.up = false
	case "pause":
		n.paused = true
	case "resume":
		f.resume(n)
	case "leave":
		f.step(n, LeaveStarted{})
	case "stop":
		f.step(n, LeaveCompleted{})
		n.up = false
	case "store_lost":
		f.step(n, AttributesChanged{Attributes: Attributes{Ready: true}})
	case "unready":
		f.step(n, AttributesChanged{Attributes: Attributes{StoreReachable: true}})
	case "tell":
		f.step(n, BroadcastRequested{Announcement: Announcement{Kind: "poison", Key: step.Key, Value: step.Value, Until: f.now.Add(time.Minute)}})
	case "cut":
		for _, to := range f.expand(step.To) {
			f.block(n.id, to)
		}
	case "heal":
		clear(f.blocked)
	default:
		t.Fatalf("unknown step %q", step.Do)
	}
}

func (f *fleet) check(t *testing.T, step fleetStep) {
	t.Helper()
	for _, id := range f.expand(step.Expect.On) {
		n := f.find(id)
		want, got := *step.Expect, expect{
			On:          step.Expect.On,
			Unconfirmed: n.view.Unconfirmed,
			Isolated:    n.view.Isolated,
			Epoch:       n.view.Epoch,
		}
		want.Live = f.expand(want.Live)
		for _, m := range n.view.Live() {
			got.Live = append(got.Live, m.ID)
		}
		got.Restart = want.Restart && f.hasIncarnations(n)
		got.States, got.Announcements = f.observed(n, want)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("at %d ms, view of %s (-want +got):\n%s", step.AtMS, id, diff)
		}
	}
}

// hasIncarnations reports whether the view of n has the current incarnation of
// each live VM.
func (f *fleet) hasIncarnations(n *node) bool {
	for _, m := range n.view.Live() {
		if m.Incarnation != f.nodes[m.GossipAddress].table.Self.Incarnation {
			return false
		}
	}
	return true
}

// observed returns the states and announcements that the expectation names.
func (f *fleet) observed(n *node, want expect) (states map[string]State, announcements map[uint64]int64) {
	for id := range want.States {
		if states == nil {
			states = map[string]State{}
		}
		m, _ := n.view.Find(id)
		states[id] = m.State
	}
	if len(want.Announcements) > 0 {
		announcements = n.announcements
	}
	return states, announcements
}

// TestOwnerChangesOnlyForDeadVM checks that the death of a VM moves only the keys
// that it owned, each to the VM that was ranked second.
func TestOwnerChangesOnlyForDeadVM(t *testing.T) {
	f := newFleet(8, 1, 1)
	for _, address := range f.addresses {
		f.start(f.nodes[address])
	}
	f.run(f.now.Add(5 * time.Second))
	before := f.nodes[f.addresses[0]].view
	f.find("vm-003").up = false
	f.run(f.now.Add(5 * time.Second))
	after := f.nodes[f.addresses[0]].view
	for i := range 1000 {
		key := strings.Repeat("k", i%7) + string(rune('a'+i%26)) + time.Duration(i).String()
		old, _ := before.Owner(key)
		now, _ := after.Owner(key)
		next := before.Rank(key, 2)[1].ID
		want := old.ID
		if old.ID == "vm-003" {
			want = next
		}
		if diff := cmp.Diff(want, now.ID); diff != "" {
			t.Errorf("owner of %q (-want +got):\n%s", key, diff)
		}
	}
}

// TestOwnersAreLargest checks that only VMs of the largest size own keys, and that
// VMs of the next size do once the largest ones are dead.
func TestOwnersAreLargest(t *testing.T) {
	f := newFleet(8, 1, 1)
	for i, name := range f.addresses {
		f.nodes[name].table.Self.Millicores = []int{192, 400, 800}[min(2, i/3)]
		f.start(f.nodes[name])
	}
	f.run(f.now.Add(5 * time.Second))
	f.expectOwners(t, "vm-006", "vm-007")
	f.find("vm-006").up = false
	f.find("vm-007").up = false
	f.run(f.now.Add(5 * time.Second))
	f.expectOwners(t, "vm-003", "vm-004", "vm-005")
}

// expectOwners checks that exactly the given VMs own keys, in every view.
func (f *fleet) expectOwners(t *testing.T, want ...string) {
	t.Helper()
	for _, n := range f.nodes {
		if !n.up {
			continue
		}
		var got []string
		for i := range 100 {
			vm, _ := n.view.Owner(strconv.Itoa(i))
			got = append(got, vm.ID)
		}
		slices.Sort(got)
		if diff := cmp.Diff(want, slices.Compact(got)); diff != "" {
			t.Errorf("owners in the view of %s (-want +got):\n%s", n.id, diff)
		}
	}
}
