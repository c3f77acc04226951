package news

import (
	"context"
	"slices"
	"time"

	"bergamotworks/member"
	"bergamotworks/site"
)

const (
	// readers is the number of VMs that read the store for all, so that the calls
	// to it do not grow with the fleet.
	readers   = 8
	readerKey = "news/readers"
	// listenInterval is the time between two questions to a reader.
	listenInterval = 600 * time.Millisecond
	// reliedAge is the age of a reader's last reading up to which others rely on
	// it. It is not much longer than readInterval.
	reliedAge = 1400 * time.Millisecond
)

// reads reports whether this VM reads the store itself: it is one of the readers,
// or cannot tell who they are.
func (s *Service) reads() bool {
	view := s.View()
	if view.Unconfirmed || view.Isolated || !s.Directory().Loaded() {
		return true
	}
	ranked := view.Rank(readerKey, readers)
	return len(ranked) < readers || slices.ContainsFunc(ranked, s.isSelf)
}

func (s *Service) isSelf(m member.VM) bool { return m.ID == s.Self }

// listen takes in the news of a reader, or of another one if it has not read the
// store for a while itself. It reports false if neither can be relied on.
func (s *Service) listen(ctx context.Context) bool {
	return slices.ContainsFunc(s.some(s.View().Rank(readerKey, readers)), func(vm string) bool { return s.listenTo(ctx, vm) })
}

// listenTo takes in the news of one reader and reports whether it can be relied
// on.
func (s *Service) listenTo(ctx context.Context, vm string) bool {
	answer, err := s.askPeer(ctx, vm)
	if err != nil || answer.Age > reliedAge {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.heard = s.Clock.Now().Add(-answer.Age)
	s.state.PeerReadStore()
	return true
}

// shifted returns a directory whose times are those of a clock that is ahead of
// the teller's by a difference.
func shifted(d site.Directory, difference time.Duration) site.Directory {
	targets := slices.Clone(d.Targets)
	for i := range targets {
		if !targets[i].ColdUntil.IsZero() {
			targets[i].ColdUntil = targets[i].ColdUntil.Add(difference)
		}
	}
	d.Targets = targets
	return site.NewDirectory(d)
}
