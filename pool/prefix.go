package pool

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const maxPrefixes = 8192

// prefixHash returns a number by which targets rank for a prefix.
func prefixHash(target, prefix uint64) uint64 {
	text := binary.LittleEndian.AppendUint64(nil, target)
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(text, prefix))
}

// prefixIndex says which targets may hold a prompt prefix in their cache. Its
// entries are hints: they come from dispatches and from late, incomplete events.
type prefixIndex struct {
	slots  map[uint64]uint64 // Bit set of slots by prefix.
	recent []uint64          // Prefixes in order of entry, a ring once full.
	next   int
}

func (x *prefixIndex) holders(prefix uint64) uint64 { return x.slots[prefix] }

// use enters the target that last ran a prefix. What other targets held before
// may have left their caches since, unless they report it again.
func (x *prefixIndex) use(prefix uint64, slot int) {
	if x.holders(prefix)&(1<<slot) != 0 {
		return
	}
	x.add(prefix, slot)
	if prefix != 0 {
		x.slots[prefix] = 1 << slot
	}
}

// add enters a target that reports to hold a prefix.
func (x *prefixIndex) add(prefix uint64, slot int) {
	if prefix == 0 {
		return
	}
	if x.slots == nil {
		x.slots = make(map[uint64]uint64)
	}
	if _, known := x.slots[prefix]; !known {
		x.remember(prefix)
	}
	x.slots[prefix] |= 1 << slot
}

// remember enters a prefix and forgets the oldest one when the ring is full.
func (x *prefixIndex) remember(prefix uint64) {
	if len(x.recent) < maxPrefixes {
		x.recent = append(x.recent, prefix)
		return
	}
	delete(x.slots, x.recent[x.next])
	x.recent[x.next] = prefix
	x.next = (x.next + 1) % maxPrefixes
}

// remove keeps an empty entry, so that the ring names each prefix once.
func (x *prefixIndex) remove(prefix uint64, slot int) {
	if bits, known := x.slots[prefix]; known {
		x.slots[prefix] = bits &^ (1 << slot)
	}
}

// drop forgets all that a target held.
func (x *prefixIndex) drop(slot int) {
	for k, bits := range x.slots {
		x.slots[k] = bits &^ (1 << slot)
	}
}

// latest returns at most count prefixes that some target may hold.
func (x *prefixIndex) latest(count int) []uint64 {
	var found []uint64
	for i := len(x.recent); i > 0 && len(found) < count; i-- {
		prefix := x.recent[(x.next+i-1)%len(x.recent)]
		if x.slots[prefix] != 0 {
			found = append(found, prefix)
		}
	}
	return found
}
