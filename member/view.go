package member

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// View is an immutable snapshot of the membership.
type View struct {
	Self    VM
	Version uint64 // Increases with each change other than of attributes.
	// Epoch increases whenever other VMs may have taken over the keys that this
	// VM owns. The state that this VM kept as an owner in an earlier epoch must
	// not be used: another owner may have replaced it.
	Epoch uint64
	// Unconfirmed means that the VM has not joined, was paused or has not been
	// confirmed by any other VM. An owner must not start work while
	// unconfirmed.
	Unconfirmed bool
	// Isolated means that the VM can reach neither the store nor any other VM.
	// It must not accept new work.
	Isolated bool

	members []VM   // Every known VM, sorted by ID.
	owners  owners // VMs that may own keys.
}

// Members returns every known VM, including those that are gone, sorted by ID.
// The slice must not be modified.
func (v View) Members() []VM { return v.members }

// Live returns the VMs that are alive or suspect, sorted by ID.
func (v View) Live() []VM {
	live := make([]VM, 0, len(v.members))
	for _, m := range v.members {
		if m.State.Live() {
			live = append(live, m)
		}
	}
	return live
}

// Find returns the VM with the given ID, and whether it is known.
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
// and ready VMs whose CPU capacity is not much lower than that of the largest.
// It returns false if there is none.
func (v View) Owner(key string) (VM, bool) {
	return v.at(v.owners.highest(xxhash.Sum64String(key)))
}

// OwnerIn returns the owner of the key among the VMs of a failure domain, or among
// all if no VM there may own keys. It returns false if there is none at all.
func (v View) OwnerIn(key, domain string) (VM, bool) {
	hash := xxhash.Sum64String(key)
	inDomain := func(index int) bool { return v.members[index].Domain == domain }
	if index := v.owners.highestWhere(hash, inDomain); index >= 0 {
		return v.members[index], true
	}
	return v.at(v.owners.highest(hash))
}

// Rank returns up to n VMs in the order in which they would own the key.
func (v View) Rank(key string, n int) []VM {
	return v.first(v.owners.rank(xxhash.Sum64String(key)), n)
}

// RankReady is like Rank, but if fewer than n VMs may own keys, ready VMs follow
// whose capacity is too low for that.
func (v View) RankReady(key string, n int) []VM {
	return v.first(v.owners.rankReady(xxhash.Sum64String(key), n), n)
}

// first returns the members with the first n of the indexes.
func (v View) first(indexes []int, n int) []VM {
	indexes = indexes[:min(n, len(indexes))]
	vms := make([]VM, 0, len(indexes))
	for _, at := range indexes {
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
