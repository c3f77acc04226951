package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	bucketCount        = 32
	announcementBucket = bucketCount // Index of the announcement digest, after the buckets of VMs.
	maxPayloadBytes    = 1200        // Bytes; such a payload passes every common network unfragmented.
	maxHeaderBytes     = 350         // Bytes; upper bound of a message header with its digests.
	joinFanout         = 3           // Maximum number of seeds contacted at once by a VM that has no other VM in its table.
	syncBytesPerSecond = 16 << 10    // Bytes of table entries sent per second, on average.
	syncBurstBytes     = 64 << 10    // Maximum bytes of table entries sent at once.
	earlySyncLimit     = 3           // Early syncs after a join, in case datagrams of the first one were lost.
)

// antiEntropy decides when the table is synchronized, and with which VMs.
type antiEntropy struct {
	seeds             []string
	nextSync          time.Time
	nextReconnect     time.Time
	nextUnknownSync   time.Time // Earliest next sync caused by a message of, or an update about, an unknown VM.
	joinDeadline      time.Time
	joined            bool
	earlySyncs        int
	reconnectAttempts int     // Consecutive attempts while no other VM was known.
	tokens            float64 // Bytes of table entries that may be sent now.
	refilled          time.Time
}

func (a *antiEntropy) start(now time.Time, s Settings) {
	a.nextSync = now.Add(s.SyncInterval)
	a.nextReconnect = now
	a.tokens = syncBurstBytes
	a.refilled = now
	a.joinDeadline = now.Add(s.JoinTimeout)
}

// syncTables periodically synchronizes with a random VM that is not gone, and
// tries to reach VMs that are dead or known only as seeds.
func (t *Table) syncTables() {
	if !t.sync.joined && !t.now.Before(t.sync.joinDeadline) {
		t.endJoin()
	}
	if !t.now.Before(t.sync.nextSync) {
		t.sync.nextSync = t.now.Add(t.settings.SyncInterval)
		for _, e := range t.randomEntries(1, func(e *entry) bool { return !e.State.Gone() }) {
			t.startSync(e.GossipAddress)
		}
	}
	if !t.now.Before(t.sync.nextReconnect) {
		t.reconnect()
	}
}

// endJoin ends the wait for a response from a seed: the VM has received one, or
// JoinTimeout has passed.
func (t *Table) endJoin() {
	t.sync.joined = true
	t.views.membersChanged = true
}

// reconnect contacts addresses that no live VM has: in every probe interval
// until another VM is known, and every ReconnectInterval afterwards, so that
// partitions merge.
func (t *Table) reconnect() {
	count, wait := 1, t.settings.ReconnectInterval
	if len(t.detector.round) == 0 {
		t.sync.reconnectAttempts++
		count, wait = min(t.sync.reconnectAttempts, joinFanout), t.settings.ProbeInterval
	}
	t.sync.nextReconnect = t.now.Add(wait)
	addresses := t.reconnectAddresses()
	t.random.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	for _, address := range addresses[:min(count, len(addresses))] {
		t.startSync(address)
	}
}

// reconnectAddresses returns the addresses of dead VMs, and the seeds that
// belong to no known VM or to one that has left.
func (t *Table) reconnectAddresses() []string {
	known := map[string]bool{t.Self.GossipAddress: true}
	var addresses []string
	for _, e := range t.sorted {
		if e.State == Dead {
			addresses = append(addresses, e.GossipAddress)
		}
		known[e.GossipAddress] = known[e.GossipAddress] || e.State != Left
	}
	for _, s := range t.sync.seeds {
		if !known[s] {
			addresses = append(addresses, s)
		}
	}
	return addresses
}

// syncUnknown synchronizes with the sender of a message that comes from, or
// has an update about, a VM that is not in the table.
func (t *Table) syncUnknown(address string, kind messageKind) {
	if kind == syncDigest || kind == syncState || t.now.Before(t.sync.nextUnknownSync) {
		return
	}
	t.sync.nextUnknownSync = t.now.Add(t.settings.ProbeInterval)
	t.startSync(address)
}

func (t *Table) startSync(address string) {
	t.send(address, message{Kind: syncDigest, Digests: t.digests(), Updates: []memberUpdate{t.selfUpdate()}})
}

// digests returns the sum of the checksums in each bucket of the table, and as
// the last element the digest of the announcements. A VM is in the bucket given
// by the hash of its ID. VMs that are gone are left out.
func (t *Table) digests() []uint32 {
	sums := make([]uint32, bucketCount+1)
	for _, e := range t.sorted {
		if !e.State.Gone() {
			sums[bucket(e.ID)] += checksum(e.update())
		}
	}
	sums[bucket(t.Self.ID)] += checksum(t.selfUpdate())
	sums[announcementBucket] = t.announcements.digest()
	return sums
}

func bucket(id string) int { return int(xxhash.Sum64String(id) % bucketCount) }

// checksum returns a hash of the ID, the incarnation, the number of readiness
// changes and whether the VM is leaving. It is the same for a VM that is alive
// and for one that is suspect.
func checksum(u memberUpdate) uint32 {
	sum := xxhash.Sum64String(u.ID) ^ u.Incarnation*0x9e3779b97f4a7c15
	if u.State == Leaving {
		sum = ^sum
	}
	sum += uint64(u.ReadyVersion) * 0xff51afd7ed558ccd
	return uint32(sum ^ sum>>32)
}

func (e *entry) update() memberUpdate {
	return memberUpdate{
		ID:           e.ID,
		Incarnation:  e.Incarnation,
		State:        e.State,
		Ready:        e.Attributes.Ready,
		ReadyVersion: e.readyVersion,
		Details:      e.details(),
		Millicores:   e.Millicores,
	}
}

// handleSyncDigest sends the entries of the buckets that differ, and the
// digests from which the other VM determines which entries this VM is missing.
func (t *Table) handleSyncDigest(address string, m message) {
	own := t.digests()
	buckets := differingBuckets(own, m.Digests)
	if buckets == 0 {
		t.send(address, message{Kind: syncState})
		return
	}
	t.sendBuckets(address, buckets, own)
}

// handleSyncState handles the response to a sync and sends the entries that the
// other VM is missing.
func (t *Table) handleSyncState(address string, m message) {
	if !t.sync.joined {
		t.endJoin()
	}
	if len(m.Digests) == 0 {
		return
	}
	if t.sync.earlySyncs < earlySyncLimit {
		t.sync.earlySyncs++
		t.sync.nextSync = t.now.Add(t.settings.ProbeInterval)
	}
	if buckets := differingBuckets(t.digests(), m.Digests); buckets != 0 {
		t.sendBuckets(address, buckets, nil)
	}
}

// differingBuckets returns the buckets whose digests differ, as a bit set.
func differingBuckets(own, other []uint32) uint64 {
	var buckets uint64
	for i, d := range own {
		if i < len(other) && other[i] != d {
			buckets |= 1 << i
		}
	}
	return buckets
}

// sendBuckets sends entries in as many datagrams as they need. The last
// datagram carries the digests.
func (t *Table) sendBuckets(address string, buckets uint64, digests []uint32) {
	updates := t.bucketUpdates(buckets)
	var announcements []wireAnnouncement
	if buckets&(1<<announcementBucket) != 0 {
		announcements = t.announcements.all()
	}
	if !t.sync.allow(totalSize(updates)+totalSize(announcements), t.now) {
		return
	}
	for last := false; !last; {
		m := message{Kind: syncState}
		space := maxPayloadBytes - maxHeaderBytes
		updates, m.Updates, space = takeFitting(updates, space)
		announcements, m.Announcements, _ = takeFitting(announcements, space)
		last = len(updates) == 0 && len(announcements) == 0
		if last {
			m.Digests = digests
		}
		t.send(address, m)
	}
}

// allow takes bytes from the token bucket for table entries. Many VMs may
// request a sync at once when a partition ends; those that get no response
// retry later.
func (a *antiEntropy) allow(bytes int, now time.Time) bool {
	a.tokens = min(syncBurstBytes, a.tokens+syncBytesPerSecond*now.Sub(a.refilled).Seconds())
	a.refilled = now
	if float64(bytes) > a.tokens {
		return false
	}
	a.tokens -= float64(bytes)
	return true
}

// takeFitting splits off the leading values that fit into space bytes. It
// returns the others, those that fit, and the bytes left.
func takeFitting[T sized](values []T, space int) (rest, taken []T, left int) {
	for i, v := range values {
		if v.size() > space {
			return values[i:], slices.Clip(values[:i]), space
		}
		space -= v.size()
	}
	return nil, values, space
}

func totalSize[T sized](values []T) int {
	bytes := 0
	for _, v := range values {
		bytes += v.size()
	}
	return bytes
}

func (t *Table) bucketUpdates(buckets uint64) []memberUpdate {
	var updates []memberUpdate
	if buckets&(1<<bucket(t.Self.ID)) != 0 {
		updates = append(updates, t.selfUpdate())
	}
	for _, e := range t.sorted {
		if buckets&(1<<bucket(e.ID)) != 0 {
			updates = append(updates, e.update())
		}
	}
	return updates
}
