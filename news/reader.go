package news

import (
	"context"
	"slices"
	"time"

	"bergamotworks/member"
	"bergamotworks/site"
)

const (
	// readerCount is the number of VMs that read the store for all others, so
	// that the load on the store does not grow with the fleet.
	readerCount   = 8
	readerRankKey = "news/readers"
	// fetchInterval is the time between two fetches from a store reader.
	fetchInterval = 600 * time.Millisecond
	// hedgeDelay is the time after which a second store reader is asked, too.
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

// fetchFromReaders fetches state from a random store reader, and from another
// one if the first has no recent state or has not responded after hedgeDelay. It
// reports false if neither has recent state.
func (s *Service) fetchFromReaders(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	vms := s.randomPeers(s.View().RankReady(readerRankKey, readerCount))
	recent := make(chan bool, len(vms))
	var hedge <-chan time.Time
	for waiting := 0; waiting > 0 || len(vms) > 0; {
		if len(vms) > 0 && (waiting == 0 || hedge == nil) {
			s.startFetch(readerFetch{service: s, ctx: ctx, vm: vms[0], recent: recent})
			waiting++
			vms = vms[1:]
			hedge = s.Clock.After(hedgeDelay)
		}
		select {
		case ok := <-recent:
			if ok {
				return true
			}
			waiting--
		case <-hedge:
			hedge = nil
		}
	}
	return false
}

// readerFetch is a fetch from one store reader.
type readerFetch struct {
	service *Service
	ctx     context.Context
	vm      string
	recent  chan<- bool // Receives whether the state is recent; has room for it.
}

// startFetch starts a fetch, for which [Service.Run] waits before it returns.
func (s *Service) startFetch(f readerFetch) {
	s.fetches.Add(1)
	go f.run()
}

func (f readerFetch) run() {
	defer f.service.fetches.Done()
	f.recent <- f.service.fetchFromReader(f.ctx, f.vm)
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
