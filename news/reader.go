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
	ranked := view.Rank(readerRankKey, readerCount)
	return len(ranked) < readerCount || slices.ContainsFunc(ranked, s.isSelf)
}

func (s *Service) isSelf(m member.VM) bool { return m.ID == s.Self }

// fetchFromReaders fetches state from a random store reader, or from another
// one if the first does not respond or has no recent state. It reports false if
// neither has.
func (s *Service) fetchFromReaders(ctx context.Context) bool {
	return slices.ContainsFunc(s.randomPeers(s.View().Rank(readerRankKey, readerCount)), func(vm string) bool { return s.fetchFromReader(ctx, vm) })
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
	s.state.PeerReadStore()
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
