package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// owners ranks the VMs that may own keys by rendezvous hashing.
type owners struct {
	hashes  []uint64 // Hash of each VM's ID.
	indexes []int    // Place of each VM among the members of the view.
}

// ownerSize is the part of the largest VM's processing power that an owner has at
// least. Owners do the work of many VMs.
const ownerSize = 0.75

func newOwners(members []VM) owners {
	var o owners
	least := ownerSize * float64(largest(members))
	for i, m := range members {
		if m.owns() && float64(m.Millicores) >= least {
			o.hashes = append(o.hashes, xxhash.Sum64String(m.ID))
			o.indexes = append(o.indexes, i)
		}
	}
	return o
}

// owns reports whether the VM may own keys.
func (v VM) owns() bool { return v.State.Live() && v.Attributes.Ready }

// largest returns the processing power of the largest VM that may own keys.
func largest(members []VM) int {
	most := 0
	for _, m := range members {
		if m.owns() {
			most = max(most, m.Millicores)
		}
	}
	return most
}

// first returns the place of the VM with the highest score, or -1.
func (o owners) first(key uint64) int {
	best, found := uint64(0), -1
	for i, h := range o.hashes {
		if s := Score(key, h); found < 0 || s > best {
			best, found = s, o.indexes[i]
		}
	}
	return found
}

// rank returns the places of all VMs by falling score.
func (o owners) rank(key uint64) []int {
	places := make([]int, len(o.hashes))
	for i := range places {
		places[i] = i
	}
	slices.SortFunc(places, func(a, b int) int {
		return cmp.Compare(Score(key, o.hashes[b]), Score(key, o.hashes[a]))
	})
	for i, p := range places {
		places[i] = o.indexes[p]
	}
	return places
}

// Score mixes the hashes of a key and a VM, or of whatever else is ranked for
// the key, by the finaliser of MurmurHash3.
func Score(key, vm uint64) uint64 {
	x := key ^ vm
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
