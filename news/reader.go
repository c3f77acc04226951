package news

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"bergamotworks/member"
	"bergamotworks/site"
)

const (
	// readerCount is the number of VMs that read the store for all others, so
	// that the load on the store does not grow with the fleet.
	readerCount   = 8
	readerRankKey = "news/readers"
	// maxFetchInterval and minFetchInterval limit the time between two fetches from a
	// store reader. Between them, the next fetch begins when the state is fetchAge old, so
	// that there is time to ask other readers, and the store, if some have died.
	maxFetchInterval = 600 * time.Millisecond
	minFetchInterval = 200 * time.Millisecond
	fetchAge         = 1200 * time.Millisecond
	// maxReadersAsked is the number of store readers that are asked before the store.
	maxReadersAsked = 3
	// hedgeDelay is the time after which another store reader is asked, too, or the
	// store.
	hedgeDelay = 150 * time.Millisecond
	// maxDirectoryAge and maxOperatorAge are the greatest ages of the parts of a
	// store reader's state at which others rely on it. They are not much longer
	// than the time in which a read and a watch confirm them.
	maxDirectoryAge = 1400 * time.Millisecond
	maxOperatorAge  = watchWait + watchSlack
)

// readsStore reports whether this VM reads the store itself: it is a store
// reader, or it does not know which VMs are.
func (s *Service) readsStore() bool {
	view := s.View()
	if view.Unconfirmed || view.Isolated || !s.Directory().Loaded() {
		return true
	}
	ranked := view.RankReady(readerRankKey, readerCount)
	return len(ranked) < readerCount || slices.ContainsFunc(ranked, s.isSelf)
}

func (s *Service) isSelf(m member.VM) bool { return m.ID == s.Self }

// fetchFromReaders fetches state from a random store reader, and from up to
// maxReadersAsked if the ones before have no recent state or have not responded after
// hedgeDelay. It reports false if none has recent state, or hedgeDelay after it has asked
// the last one.
func (s *Service) fetchFromReaders(ctx context.Context) bool {
	vms := s.randomPeers(s.View().RankReady(readerRankKey, readerCount), maxReadersAsked)
	fetches := newReaderFetches(ctx, s, len(vms))
	defer fetches.release()
	var hedge <-chan time.Time
	for waiting := 0; waiting > 0 || len(vms) > 0; {
		if len(vms) > 0 && (waiting == 0 || hedge == nil) {
			fetches.start(vms[0])
			waiting++
			vms = vms[1:]
			hedge = s.Clock.After(hedgeDelay)
		}
		select {
		case ok := <-fetches.recent:
			if ok {
				return true
			}
			waiting--
		case <-hedge:
			if len(vms) == 0 {
				return false
			}
			hedge = nil
		}
	}
	return false
}

// untilNextFetch returns the time until the next fetch from a store reader.
func (s *Service) untilNextFetch() time.Duration {
	return min(max(fetchAge-s.TimeSinceStoreRead(), minFetchInterval), maxFetchInterval)
}

// readerFetches are fetches from store readers at once. The first one that gets recent
// state cancels the others; without one they go on, since a long transfer may need more
// time than the caller has.
type readerFetches struct {
	service *Service
	context context.Context
	cancel  context.CancelFunc
	recent  chan bool    // Receives whether the state of a reader is recent; has room for all.
	users   atomic.Int32 // The fetches that run, and the caller.
}

func newReaderFetches(ctx context.Context, s *Service, count int) *readerFetches {
	f := &readerFetches{service: s, recent: make(chan bool, count)}
	f.context, f.cancel = context.WithCancel(ctx)
	f.users.Add(1)
	return f
}

// start starts a fetch, for which [Service.Run] waits before it returns.
func (f *readerFetches) start(vm string) {
	f.users.Add(1)
	f.service.fetches.Add(1)
	go readerFetch{fetches: f, vm: vm}.run()
}

// release ends the use by a fetch or by the caller.
func (f *readerFetches) release() {
	if f.users.Add(-1) == 0 {
		f.cancel()
	}
}

// readerFetch is a fetch from one store reader.
type readerFetch struct {
	fetches *readerFetches
	vm      string
}

func (r readerFetch) run() {
	f := r.fetches
	defer f.service.fetches.Done()
	defer f.release()
	recent := f.service.fetchFromReader(f.context, r.vm)
	f.recent <- recent
	if recent {
		f.cancel()
	}
}

// fetchFromReader fetches state from one store reader and reports whether it is
// recent.
func (s *Service) fetchFromReader(ctx context.Context, vm string) bool {
	u, err := s.fetch(ctx, vm)
	if err != nil {
		return false
	}
	if u.Age > maxDirectoryAge || u.OperatorAge > maxOperatorAge {
		s.logOldState(vm, u)
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if readAt := s.Clock.Now().Add(-u.Age); readAt.After(s.lastStoreRead) {
		s.lastStoreRead = readAt
	}
	return true
}

// shiftTimes returns the directory of a peer with its times converted to the
// local clock, which is ahead of the peer's by difference.
func shiftTimes(d site.Directory, difference time.Duration) site.Directory {
	targets := slices.Clone(d.Targets)
	for i := range targets {
		if !targets[i].ColdUntil.IsZero() {
			targets[i].ColdUntil = targets[i].ColdUntil.Add(difference)
		}
	}
	d.Targets = targets
	return site.NewDirectory(d)
}
