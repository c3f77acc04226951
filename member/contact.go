package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	bucketCount  = 32
	rumorBucket  = bucketCount // The bit after the buckets of VMs stands for the rumours.
	maxDatagram  = 1200        // Bytes of payload that pass every network unfragmented.
	headerBytes  = 350         // Bound on the header of a message with its digests.
	joinFanout   = 3           // Seeds asked at once, at most, by a VM that knows no other.
	bulkRate     = 16 << 10    // Bytes of table entries sent a second, on average.
	bulkBurst    = 64 << 10    // Bytes of table entries sent at once, at most.
	syncsOnStart = 3           // Early comparisons, which repair lost datagrams of the first.
)

// contacts decides when tables are compared, and with whom.
type contacts struct {
	seeds     []string
	syncDue   time.Time
	tryDue    time.Time
	askDue    time.Time // Earliest time to ask the sender of an unknown VM.
	joinUntil time.Time
	joined    bool
	early     int
	tries     int     // Rounds in which no VM was known.
	bulk      float64 // Bytes of table entries that may be sent now.
	bulkAt    time.Time
}

func (c *contacts) start(now time.Time, s Settings) {
	c.syncDue = now.Add(s.SyncInterval)
	c.tryDue = now
	c.bulk = bulkBurst
	c.bulkAt = now
	c.joinUntil = now.Add(s.JoinTimeout)
}

// contact compares tables with a random live VM from time to time, and tries
// to reach VMs that are dead or only seeded.
func (t *Table) contact() {
	if !t.contacts.joined && !t.now.Before(t.contacts.joinUntil) {
		t.join()
	}
	if !t.now.Before(t.contacts.syncDue) {
		t.contacts.syncDue = t.now.Add(t.settings.SyncInterval)
		for _, e := range t.pick(1, func(e *entry) bool { return !e.State.Gone() }) {
			t.compare(e.GossipAddress)
		}
	}
	if !t.now.Before(t.contacts.tryDue) {
		t.reconnect()
	}
}

func (t *Table) join() {
	t.contacts.joined = true
	t.views.stale = true
}

// reconnect tries addresses that no live VM has: all the time until the first
// answer, and now and then afterwards, so that partitions merge.
func (t *Table) reconnect() {
	count, wait := 1, t.settings.ReconnectInterval
	if len(t.probes.order) == 0 {
		t.contacts.tries++
		count, wait = min(t.contacts.tries, joinFanout), t.settings.ProbeInterval
	}
	t.contacts.tryDue = t.now.Add(wait)
	addresses := t.unreached()
	t.random.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	for _, a := range addresses[:min(count, len(addresses))] {
		t.compare(a)
	}
}

// unreached returns the addresses that may belong to VMs which this VM does
// not hold live.
func (t *Table) unreached() []string {
	known := map[string]bool{t.Self.GossipAddress: true}
	var addresses []string
	for _, e := range t.sorted {
		if e.State == Dead {
			addresses = append(addresses, e.GossipAddress)
		}
		known[e.GossipAddress] = known[e.GossipAddress] || e.State != Left
	}
	for _, s := range t.contacts.seeds {
		if !known[s] {
			addresses = append(addresses, s)
		}
	}
	return addresses
}

// askUnknown compares tables with the sender of a message about a VM that is
// not known here.
func (t *Table) askUnknown(address string, kind messageKind) {
	if kind == syncDigest || kind == syncState || t.now.Before(t.contacts.askDue) {
		return
	}
	t.contacts.askDue = t.now.Add(t.settings.ProbeInterval)
	t.compare(address)
}

func (t *Table) compare(address string) {
	t.send(address, message{Kind: syncDigest, Digests: t.digests(), Deltas: []delta{t.selfDelta()}})
}

// digests returns a checksum of each bucket of the table.
func (t *Table) digests() []uint32 {
	sums := make([]uint32, bucketCount+1)
	for _, e := range t.sorted {
		if !e.State.Gone() {
			sums[bucket(e.ID)] += checksum(e.delta())
		}
	}
	sums[bucket(t.Self.ID)] += checksum(t.selfDelta())
	sums[rumorBucket] = t.rumors.digest()
	return sums
}

func bucket(id string) int { return int(xxhash.Sum64String(id) % bucketCount) }

func checksum(d delta) uint32 {
	sum := xxhash.Sum64String(d.ID) ^ d.Incarnation*0x9e3779b97f4a7c15
	if d.State == Leaving {
		sum = ^sum
	}
	sum += uint64(d.Turn) * 0xff51afd7ed558ccd
	return uint32(sum ^ sum>>32)
}

func (e *entry) delta() delta {
	return delta{
		ID:          e.ID,
		Incarnation: e.Incarnation,
		State:       e.State,
		Ready:       e.Attributes.Ready,
		Turn:        e.turn,
		Details:     e.details(),
		Millicores:  e.Millicores,
	}
}

// answerSync sends the entries of the buckets that differ, and the digests by
// which the other side finds what is missing here.
func (t *Table) answerSync(address string, m message) {
	own := t.digests()
	buckets := differing(own, m.Digests)
	if buckets == 0 {
		t.send(address, message{Kind: syncState})
		return
	}
	t.sendBuckets(address, buckets, own)
}

// takeSync follows an answer, and returns what the other side is missing.
func (t *Table) takeSync(address string, m message) {
	if !t.contacts.joined {
		t.join()
	}
	if len(m.Digests) == 0 {
		return
	}
	if t.contacts.early < syncsOnStart {
		t.contacts.early++
		t.contacts.syncDue = t.now.Add(t.settings.ProbeInterval)
	}
	if buckets := differing(t.digests(), m.Digests); buckets != 0 {
		t.sendBuckets(address, buckets, nil)
	}
}

// differing returns the buckets whose digests differ, as bits.
func differing(own, other []uint32) uint64 {
	var buckets uint64
	for i, d := range own {
		if i < len(other) && other[i] != d {
			buckets |= 1 << i
		}
	}
	return buckets
}

// sendBuckets sends entries in as many datagrams as they need, the last one
// with the digests.
func (t *Table) sendBuckets(address string, buckets uint64, digests []uint32) {
	deltas := t.entriesOf(buckets)
	var rumors []wireRumor
	if buckets&(1<<rumorBucket) != 0 {
		rumors = t.rumors.all()
	}
	if !t.contacts.allow(total(deltas)+total(rumors), t.now) {
		return
	}
	for last := false; !last; {
		m := message{Kind: syncState}
		room := maxDatagram - headerBytes
		deltas, m.Deltas, room = chunk(deltas, room)
		rumors, m.Rumors, _ = chunk(rumors, room)
		last = len(deltas) == 0 && len(rumors) == 0
		if last {
			m.Digests = digests
		}
		t.send(address, m)
	}
}

// allow takes bytes from the budget of table entries. Many VMs may ask at once
// when a partition ends; those that get no answer ask again later.
func (c *contacts) allow(bytes int, now time.Time) bool {
	c.bulk = min(bulkBurst, c.bulk+bulkRate*now.Sub(c.bulkAt).Seconds())
	c.bulkAt = now
	if float64(bytes) > c.bulk {
		return false
	}
	c.bulk -= float64(bytes)
	return true
}

// chunk splits off the values that fit into the room.
func chunk[T sized](values []T, room int) (rest, taken []T, left int) {
	for i, v := range values {
		if v.size() > room {
			return values[i:], slices.Clip(values[:i]), room
		}
		room -= v.size()
	}
	return nil, values, room
}

func total[T sized](values []T) int {
	bytes := 0
	for _, v := range values {
		bytes += v.size()
	}
	return bytes
}

func (t *Table) entriesOf(buckets uint64) []delta {
	var deltas []delta
	if buckets&(1<<bucket(t.Self.ID)) != 0 {
		deltas = append(deltas, t.selfDelta())
	}
	for _, e := range t.sorted {
		if buckets&(1<<bucket(e.ID)) != 0 {
			deltas = append(deltas, e.delta())
		}
	}
	return deltas
}
