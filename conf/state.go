package conf

import (
	"math/bits"
	"slices"
	"time"

	"bergamotworks/ports"
)

const (
	watcherCount              = 3
	minAnnouncePeers          = 3
	initialFetchPeers         = 3
	watcherPollInterval       = 1200 * time.Millisecond
	minPollInterval           = 5 * time.Second
	pollIntervalPerNode       = 250 * time.Millisecond // Nodes other than watchers poll the store at most four times a second in total.
	watchRetryInterval        = time.Second
	initialFetchRetryInterval = time.Second
)

// state decides when a node reads and watches the store, fetches from a peer
// and announces its revision. It performs no I/O, has no locks and changes only
// in step.
type state struct {
	self           string
	random         ports.Random
	activeRevision int64

	live      []string // Other live VMs, sorted.
	watcher   bool     // This node watches the head.
	watching  bool
	reading   bool
	fetching  map[string]bool
	announced map[string]int64 // Newer revisions by the peer that announced them.

	lastModRevision   int64 // Modification revision of the head at the last read; zero before the first read or if there was no head.
	changedSinceRead  bool  // The watch has reported a change since the last read began.
	changedBeforeRead bool  // Value of changedSinceRead when the last read began.

	nextRead         time.Time
	nextWatch        time.Time
	nextInitialFetch time.Time
	firstReadDone    bool
	initialFetches   int // Initial fetches in flight.
}

// step handles one event and returns the actions to perform.
func (s *state) step(now time.Time, input event) []action {
	var actions []action
	switch e := input.(type) {
	case tick:
		s.live = e.live
		s.watcher = isWatcher(s.self, s.live)
	case peerRevision:
		s.observe(e.vm, e.revision)
	case storeRead:
		actions = s.readDone(now, e)
	case fetched:
		s.fetchDone(now, e)
	case activated:
		actions = s.activationDone(e.revision)
	case headChanged:
		s.changedSinceRead = true
		s.nextRead = now
	case watchEnded:
		s.watching = false
		s.nextWatch = now.Add(s.jitter(watchRetryInterval))
		s.nextRead = now
	}
	return append(actions, s.startDue(now)...)
}

// ready reports whether a configuration is active, the store has been read
// once, successfully or not, and no initial fetch is in flight.
func (s *state) ready() bool { return s.activeRevision > 0 && s.firstReadDone && s.initialFetches == 0 }

// untilNextStep returns the time after which step must be called again even
// without an event; it is zero or negative if that is due.
func (s *state) untilNextStep(now time.Time) time.Duration {
	next := s.nextRead
	if s.reading {
		next = now.Add(watcherPollInterval)
	}
	if s.watcher && !s.watching && s.nextWatch.Before(next) {
		next = s.nextWatch
	}
	if s.initialFetchDue() && s.nextInitialFetch.Before(next) {
		next = s.nextInitialFetch
	}
	return next.Sub(now)
}

// observe records the revision that is active on a peer, if it is newer.
func (s *state) observe(vm string, revision int64) {
	if revision > s.activeRevision {
		s.announced[vm] = revision
	}
}

// readDone handles the result of a read of the store.
func (s *state) readDone(now time.Time, e storeRead) []action {
	s.reading = false
	s.firstReadDone = true
	if e.err != nil {
		s.nextRead = now.Add(s.jitter(s.pollInterval()))
		return nil
	}
	var actions []action
	if s.missedChange(e) {
		s.watching = false
		s.nextWatch = now
		actions = append(actions, closeWatch{})
	}
	s.lastModRevision = e.unchanged.ModRevision
	if e.revision < s.activeRevision && s.watcher {
		actions = append(actions, restore{unchanged: e.unchanged})
	}
	return actions
}

// missedChange reports whether a read has found a change that the watch has not
// reported. Such a watch is closed and opened again.
func (s *state) missedChange(e storeRead) bool {
	return s.watching && !s.changedBeforeRead && !s.changedSinceRead && s.lastModRevision != 0 && e.unchanged.ModRevision != s.lastModRevision
}

// fetchDone handles the result of a fetch and discards the announcement of a
// peer that did not deliver the announced revision. If that was the last
// announcement, the store is read at once.
func (s *state) fetchDone(now time.Time, e fetched) {
	delete(s.fetching, e.vm)
	s.initialFetches = max(0, s.initialFetches-1)
	if e.err == nil && e.revision >= s.announced[e.vm] {
		return
	}
	hadAnnounced := len(s.announced) > 0
	delete(s.announced, e.vm)
	if hadAnnounced && len(s.announced) == 0 && s.nextRead.After(now) {
		s.nextRead = now
	}
}

// activationDone handles a new active revision and announces it to random
// peers.
func (s *state) activationDone(revision int64) []action {
	if revision <= s.activeRevision {
		return nil
	}
	s.activeRevision = revision
	for vm, newest := range s.announced {
		if newest <= revision {
			delete(s.announced, vm)
		}
	}
	vms := s.pickPeers(s.announcePeers())
	if len(vms) == 0 {
		return nil
	}
	return []action{announce{vms: vms}}
}

// announcePeers returns the number of peers that a new revision is announced
// to. Adding the logarithm of the fleet's size makes it unlikely that the
// announcements miss a node.
func (s *state) announcePeers() int { return minAnnouncePeers + bits.Len(uint(len(s.live))) }

// startDue returns the actions that are due.
func (s *state) startDue(now time.Time) []action {
	var actions []action
	if !s.reading && !now.Before(s.nextRead) {
		s.reading = true
		s.nextRead = now.Add(s.jitter(s.pollInterval()))
		s.changedBeforeRead, s.changedSinceRead = s.changedSinceRead, false
		actions = append(actions, readStore{})
	}
	if s.watcher && !s.watching && !now.Before(s.nextWatch) {
		s.watching = true
		actions = append(actions, openWatch{})
	}
	if !s.watcher && s.watching {
		s.watching = false
		actions = append(actions, closeWatch{})
	}
	if s.initialFetchDue() && !now.Before(s.nextInitialFetch) {
		s.nextInitialFetch = now.Add(s.jitter(initialFetchRetryInterval))
		return append(actions, s.initialFetch()...)
	}
	return append(actions, s.fetchNewest()...)
}

// initialFetchDue reports whether to fetch from random peers because no
// configuration is active yet.
func (s *state) initialFetchDue() bool {
	return s.activeRevision == 0 && len(s.fetching) == 0 && len(s.live) > 0
}

// initialFetch fetches from random peers whatever configuration they have.
func (s *state) initialFetch() []action {
	var actions []action
	for _, vm := range s.pickPeers(initialFetchPeers) {
		s.fetching[vm] = true
		s.initialFetches++
		actions = append(actions, fetchPeer{vm: vm})
	}
	return actions
}

// fetchNewest fetches from the peer that announced the newest revision, one
// peer at a time. Ties go to the smallest name.
func (s *state) fetchNewest() []action {
	if len(s.fetching) > 0 || len(s.announced) == 0 {
		return nil
	}
	best := ""
	for vm, revision := range s.announced {
		if best == "" || revision > s.announced[best] || revision == s.announced[best] && vm < best {
			best = vm
		}
	}
	s.fetching[best] = true
	return []action{fetchPeer{vm: best}}
}

// pickPeers returns up to count random live peers.
func (s *state) pickPeers(count int) []string {
	vms := slices.Clone(s.live)
	count = min(count, len(vms))
	for i := range count {
		j := i + int(s.random.Uint64()%uint64(len(vms)-i))
		vms[i], vms[j] = vms[j], vms[i]
	}
	return vms[:count]
}

// pollInterval returns the mean time between two reads of the store while no
// change is reported.
func (s *state) pollInterval() time.Duration {
	if s.watcher {
		return watcherPollInterval
	}
	return max(minPollInterval, time.Duration(len(s.live)+1)*pollIntervalPerNode)
}

// jitter returns a random time from 3/4 to 5/4 of the interval.
func (s *state) jitter(interval time.Duration) time.Duration {
	return interval*3/4 + time.Duration(s.random.Uint64()%uint64(interval/2))
}
