package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// owners ranks the VMs that may own keys by rendezvous hashing.
type owners struct {
	hashes  []uint64 // Hash of each VM's ID.
	indexes []int    // Index of each VM among the members of the view.
	// small holds the other ready VMs, whose capacity is too low to own keys.
	small *owners
}

// minOwnerShare is the minimum CPU capacity of an owner as a fraction of that of
// the largest VM. Small VMs do not own keys, since an owner coordinates work for
// many VMs.
const minOwnerShare = 0.75

func newOwners(members []VM) owners {
	o := owners{small: &owners{}}
	minimum := minOwnerShare * float64(maxMillicores(members))
	for i, m := range members {
		switch {
		case !m.mayOwn():
		case float64(m.Millicores) >= minimum:
			o.add(m, i)
		default:
			o.small.add(m, i)
		}
	}
	return o
}

func (o *owners) add(m VM, index int) {
	o.hashes = append(o.hashes, xxhash.Sum64String(m.ID))
	o.indexes = append(o.indexes, index)
}

// mayOwn reports whether the VM may own keys.
func (v VM) mayOwn() bool { return v.State.Live() && v.Attributes.Ready }

// maxMillicores returns the CPU capacity of the largest VM that may own keys.
func maxMillicores(members []VM) int {
	largest := 0
	for _, m := range members {
		if m.mayOwn() {
			largest = max(largest, m.Millicores)
		}
	}
	return largest
}

// highest returns the index of the member with the highest score, or -1.
func (o owners) highest(key uint64) int {
	return o.highestWhere(key, func(int) bool { return true })
}

// highestWhere is the same among the members whose indexes accept allows.
func (o owners) highestWhere(key uint64, accept func(index int) bool) int {
	best, index := uint64(0), -1
	for i, h := range o.hashes {
		if !accept(o.indexes[i]) {
			continue
		}
		if s := Score(key, h); index < 0 || s > best {
			best, index = s, o.indexes[i]
		}
	}
	return index
}

// rankReady returns the indexes of all owners, followed by those of the smaller
// VMs if there are fewer than n.
func (o owners) rankReady(key uint64, n int) []int {
	ranked := o.rank(key)
	if len(ranked) < n && o.small != nil {
		ranked = append(ranked, o.small.rank(key)...)
	}
	return ranked
}

// rank returns the indexes of all owners in descending order of their scores.
func (o owners) rank(key uint64) []int {
	indexes := make([]int, len(o.hashes))
	for i := range indexes {
		indexes[i] = i
	}
	slices.SortFunc(indexes, func(a, b int) int {
		return cmp.Compare(Score(key, o.hashes[b]), Score(key, o.hashes[a]))
	})
	for i, p := range indexes {
		indexes[i] = o.indexes[p]
	}
	return indexes
}

// Score combines the hash of a key with that of a VM, or of any other candidate
// ranked for the key, by the finalizer of MurmurHash3.
func Score(key, vm uint64) uint64 {
	x := key ^ vm
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
