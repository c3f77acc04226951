package pool

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const maxPrefixes = 8192 // Maximum number of entries of the prefix index.

// rendezvousHash returns the rank of a target for a prefix in rendezvous hashing.
func rendezvousHash(target, prefix uint64) uint64 {
	data := binary.LittleEndian.AppendUint64(nil, target)
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(data, prefix))
}

// prefixIndex records which targets may have a prompt prefix, given as a hash, in
// their cache. Its entries are hints, derived from dispatches and from cache
// events, which arrive late and may be incomplete. Prefix zero means none.
type prefixIndex struct {
	targets map[uint64]uint64 // Bit set of targets by prefix.
	recent  []uint64          // Prefixes in order of insertion; a ring buffer once it has maxPrefixes.
	next    int               // Index of the oldest prefix once full.
}

func (x *prefixIndex) holders(prefix uint64) uint64 { return x.targets[prefix] }

// recordDispatch records that a target runs a call with a prefix. It removes other
// targets from the entry, as they may have evicted the prefix since; they are
// added again when they report it. A zero prefix is ignored.
func (x *prefixIndex) recordDispatch(prefix uint64, bit int) {
	if x.holders(prefix)&(1<<bit) != 0 {
		return
	}
	x.add(prefix, bit)
	if prefix != 0 {
		x.targets[prefix] = 1 << bit
	}
}

// add records that a target has a prefix in its cache. A zero prefix is ignored.
func (x *prefixIndex) add(prefix uint64, bit int) {
	if prefix == 0 {
		return
	}
	if x.targets == nil {
		x.targets = make(map[uint64]uint64)
	}
	if _, ok := x.targets[prefix]; !ok {
		x.insert(prefix)
	}
	x.targets[prefix] |= 1 << bit
}

// insert adds a prefix and evicts the oldest one when the ring buffer is full.
func (x *prefixIndex) insert(prefix uint64) {
	if len(x.recent) < maxPrefixes {
		x.recent = append(x.recent, prefix)
		return
	}
	delete(x.targets, x.recent[x.next])
	x.recent[x.next] = prefix
	x.next = (x.next + 1) % maxPrefixes
}

// remove records that a target no longer has a prefix. It keeps an empty entry, so
// that each prefix is in the ring buffer only once.
func (x *prefixIndex) remove(prefix uint64, bit int) {
	if set, ok := x.targets[prefix]; ok {
		x.targets[prefix] = set &^ (1 << bit)
	}
}

// dropTarget removes a target from all entries.
func (x *prefixIndex) dropTarget(bit int) {
	for k, set := range x.targets {
		x.targets[k] = set &^ (1 << bit)
	}
}

// latest returns the prefixes inserted last, newest first and at most count, among
// those that some target may have.
func (x *prefixIndex) latest(count int) []uint64 {
	var found []uint64
	for i := len(x.recent); i > 0 && len(found) < count; i-- {
		prefix := x.recent[(x.next+i-1)%len(x.recent)]
		if x.targets[prefix] != 0 {
			found = append(found, prefix)
		}
	}
	return found
}
