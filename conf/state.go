package conf

import (
	"math/bits"
	"slices"
	"time"

	"bergamotworks/ports"
)

const (
	watcherCount     = 3
	minAnnounceCount = 3
	bootPeerCount    = 3
	watcherPoll      = 1200 * time.Millisecond
	minPeerPoll      = 5 * time.Second
	peerPollPerNode  = 250 * time.Millisecond // The whole fleet polls four times a second.
	watchRetryPeriod = time.Second
	bootRetryPeriod  = time.Second
)

// state decides when a node reads the store, watches it, fetches from a peer
// and tells its peers. It is driven by step alone.
type state struct {
	self    string
	random  ports.Random
	inForce int64

	live     []string // Other VMs, sorted.
	duty     bool     // This node is one of the watchers.
	watching bool
	reading  bool
	fetching map[string]bool
	newest   map[string]int64 // Revisions above inForce that peers have named.

	seen     int64 // Modification revision of the head at the last read.
	notified bool  // The watch has reported a change since the last read began.
	expected bool  // It had reported one when the last read began.

	nextRead  time.Time
	nextWatch time.Time
	nextBoot  time.Time
	readOnce  bool
	booting   int // Calls of the start that are still open.
}

// step takes one event and returns what is to be done.
func (s *state) step(now time.Time, input event) []action {
	var actions []action
	switch e := input.(type) {
	case membersSeen:
		s.live = e.live
		s.duty = onDuty(s.self, s.live)
	case learned:
		s.learn(e.vm, e.revision)
	case storeRead:
		actions = s.read(now, e)
	case fetched:
		s.fetchEnded(now, e)
	case installed:
		actions = s.install(e.revision)
	case headChanged:
		s.notified = true
		s.nextRead = now
	case watchEnded:
		s.watching = false
		s.nextWatch = now.Add(s.jitter(watchRetryPeriod))
		s.nextRead = now
	}
	return append(actions, s.plan(now)...)
}

// ready reports whether the start is over and a configuration is in force.
func (s *state) ready() bool { return s.inForce > 0 && s.readOnce && s.booting == 0 }

// wake returns when step must be called again at the latest.
func (s *state) wake(now time.Time) time.Duration {
	next := s.nextRead
	if s.reading {
		next = now.Add(watcherPoll)
	}
	if s.duty && !s.watching && s.nextWatch.Before(next) {
		next = s.nextWatch
	}
	if s.bootDue() && s.nextBoot.Before(next) {
		next = s.nextBoot
	}
	return next.Sub(now)
}

func (s *state) learn(vm string, revision int64) {
	if revision > s.inForce {
		s.newest[vm] = revision
	}
}

// read takes the outcome of a read.
func (s *state) read(now time.Time, e storeRead) []action {
	s.reading = false
	s.readOnce = true
	if e.err != nil {
		s.nextRead = now.Add(s.jitter(s.pollPeriod()))
		return nil
	}
	var actions []action
	if s.silent(e) {
		s.watching = false
		s.nextWatch = now
		actions = append(actions, closeWatch{})
	}
	s.seen = e.modRevision
	if e.revision < s.inForce && s.duty {
		actions = append(actions, restore{modRevision: e.modRevision})
	}
	return actions
}

// silent reports whether a read has found a change that the watch kept quiet.
func (s *state) silent(e storeRead) bool {
	return s.watching && !s.expected && !s.notified && s.seen != 0 && e.modRevision != s.seen
}

// fetchEnded drops what a peer had named if it did not deliver. Once no peer is
// left that names a newer revision, the store is read at once.
func (s *state) fetchEnded(now time.Time, e fetched) {
	delete(s.fetching, e.vm)
	s.booting = max(0, s.booting-1)
	if e.err == nil && e.revision >= s.newest[e.vm] {
		return
	}
	behind := len(s.newest) > 0
	delete(s.newest, e.vm)
	if behind && len(s.newest) == 0 && s.nextRead.After(now) {
		s.nextRead = now
	}
}

func (s *state) install(revision int64) []action {
	if revision <= s.inForce {
		return nil
	}
	s.inForce = revision
	for vm, newest := range s.newest {
		if newest <= revision {
			delete(s.newest, vm)
		}
	}
	vms := s.choose(s.announceCount())
	if len(vms) == 0 {
		return nil
	}
	return []action{announce{vms: vms}}
}

// announceCount returns how many peers are told of a new revision. With the
// logarithm of the fleet's size added, few fleets leave any node out.
func (s *state) announceCount() int { return minAnnounceCount + bits.Len(uint(len(s.live))) }

// plan starts what is due.
func (s *state) plan(now time.Time) []action {
	var actions []action
	if !s.reading && !now.Before(s.nextRead) {
		s.reading = true
		s.nextRead = now.Add(s.jitter(s.pollPeriod()))
		s.expected, s.notified = s.notified, false
		actions = append(actions, readStore{})
	}
	if s.duty && !s.watching && !now.Before(s.nextWatch) {
		s.watching = true
		actions = append(actions, openWatch{})
	}
	if !s.duty && s.watching {
		s.watching = false
		actions = append(actions, closeWatch{})
	}
	if s.bootDue() && !now.Before(s.nextBoot) {
		s.nextBoot = now.Add(s.jitter(bootRetryPeriod))
		return append(actions, s.boot()...)
	}
	return append(actions, s.fetchNewest()...)
}

// bootDue reports whether peers are to be asked for any configuration.
func (s *state) bootDue() bool {
	return s.inForce == 0 && len(s.fetching) == 0 && len(s.live) > 0
}

// boot asks some peers for whatever they have.
func (s *state) boot() []action {
	var actions []action
	for _, vm := range s.choose(bootPeerCount) {
		s.fetching[vm] = true
		s.booting++
		actions = append(actions, fetchPeer{vm: vm})
	}
	return actions
}

// fetchNewest asks the peer that has named the newest revision.
func (s *state) fetchNewest() []action {
	if len(s.fetching) > 0 || len(s.newest) == 0 {
		return nil
	}
	best := ""
	for vm, revision := range s.newest {
		if best == "" || revision > s.newest[best] || revision == s.newest[best] && vm < best {
			best = vm
		}
	}
	s.fetching[best] = true
	return []action{fetchPeer{vm: best}}
}

// choose returns up to count other VMs at random.
func (s *state) choose(count int) []string {
	vms := slices.Clone(s.live)
	count = min(count, len(vms))
	for i := range count {
		j := i + int(s.random.Uint64()%uint64(len(vms)-i))
		vms[i], vms[j] = vms[j], vms[i]
	}
	return vms[:count]
}

// pollPeriod returns the time between two reads of the store without news.
func (s *state) pollPeriod() time.Duration {
	if s.duty {
		return watcherPoll
	}
	return max(minPeerPoll, time.Duration(len(s.live)+1)*peerPollPerNode)
}

// jitter returns a time from three to five quarters of the period.
func (s *state) jitter(period time.Duration) time.Duration {
	return period*3/4 + time.Duration(s.random.Uint64()%uint64(period/2))
}
