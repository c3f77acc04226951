package member

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// View is the membership at one moment. It is an immutable value.
type View struct {
	Self    VM
	Version uint64 // Rises with each change of members, states or readiness.
	// Epoch rises whenever others may have taken over what this VM owns. What
	// was owned under an earlier epoch must be treated as taken over from a
	// crashed owner.
	Epoch uint64
	// Doubt says that the VM has not joined, was paused or is not confirmed by
	// any other VM. An owner starts no work while in doubt.
	Unconfirmed bool
	// CutOff says that the VM hears neither the store nor any other VM. It
	// must take no new work.
	Isolated bool

	members []VM   // Every VM that is known, by ID.
	owners  owners // Live and ready VMs.
}

// Members returns every VM that is known, those that are gone included, sorted
// by ID. The slice must not be changed.
func (v View) Members() []VM { return v.members }

// Live returns the VMs that are alive and not leaving, sorted by ID.
func (v View) Live() []VM {
	live := make([]VM, 0, len(v.members))
	for _, m := range v.members {
		if m.State.Live() {
			live = append(live, m)
		}
	}
	return live
}

// Find returns the VM with the ID.
func (v View) Find(id string) (VM, bool) {
	at, ok := slices.BinarySearchFunc(v.members, id, func(m VM, id string) int {
		return strings.Compare(m.ID, id)
	})
	if !ok {
		return VM{}, false
	}
	return v.members[at], true
}

// Owner returns the VM that owns the key, by rendezvous hashing over the live
// and ready VMs that are not much smaller than the largest of them. It returns false if there is none.
func (v View) Owner(key string) (VM, bool) {
	return v.at(v.owners.first(xxhash.Sum64String(key)))
}

// Rank returns up to n VMs in the order in which they would own the key.
func (v View) Rank(key string, n int) []VM {
	ranked := v.owners.rank(xxhash.Sum64String(key))
	ranked = ranked[:min(n, len(ranked))]
	vms := make([]VM, 0, len(ranked))
	for _, at := range ranked {
		vms = append(vms, v.members[at])
	}
	return vms
}

func (v View) at(index int) (VM, bool) {
	if index < 0 {
		return VM{}, false
	}
	return v.members[index], true
}
