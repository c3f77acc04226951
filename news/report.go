package news

import (
	"context"
	"time"

	"bergamotworks/member"
)

// maxReportedFetches is the number of VMs that are asked for a configuration that
// is known to be newer, before the VM leaves that to its refresh.
const maxReportedFetches = 3

// report says that a VM has a revision of the configuration.
type report struct {
	vm       string
	revision int64
	since    time.Time // When this node was first known to lack a newer configuration.
}

func (s *Service) prepare() {
	s.setup.Do(func() { s.wake = make(chan struct{}, 1) })
}

// ObserveRevision records the revision of the configuration that another VM
// reports. If it is newer, it is fetched from there at once. It does not block.
func (s *Service) ObserveRevision(vm string, revision int64) {
	s.prepare()
	s.mutex.Lock()
	newer := revision > s.state.Config().Revision && revision > s.reported.revision
	if newer {
		since := s.reported.since
		if s.reported.revision <= s.state.Config().Revision {
			since = s.Clock.Now()
		}
		s.reported = report{vm: vm, revision: revision, since: since}
	}
	s.mutex.Unlock()
	if !newer {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Outdated reports whether another VM has reported a newer configuration than
// that of this node.
func (s *Service) Outdated() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reported.revision > s.state.Config().Revision
}

// OutdatedFor returns how long this node has lacked a newer configuration that a
// live VM has, zero if it lacks none.
func (s *Service) OutdatedFor() time.Duration {
	s.mutex.Lock()
	current, r := s.state.Config().Revision, s.reported
	s.mutex.Unlock()
	if r.revision <= current || len(s.newerVMs(current)) == 0 {
		return 0
	}
	return s.Clock.Now().Sub(r.since)
}

// newerVMs returns the live VMs that have reported a newer configuration than the
// given revision.
func (s *Service) newerVMs(revision int64) []member.VM {
	var newer []member.VM
	for _, m := range s.View().Live() {
		if m.Attributes.Revision > revision {
			newer = append(newer, m)
		}
	}
	return newer
}

// loopReported fetches configurations that other VMs report.
func (s *Service) loopReported(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
			s.fetchReported(ctx)
		}
	}
}

// fetchReported fetches the configuration from the VM that reported it, or from
// others that have a newer one than this VM.
func (s *Service) fetchReported(ctx context.Context) {
	for range maxReportedFetches {
		vm, ok := s.newerVM()
		if !ok {
			return
		}
		if _, err := s.fetch(ctx, vm); err == nil || ctx.Err() != nil {
			return
		}
	}
}

// newerVM returns a VM that has a newer configuration than this one: the one that
// reported it, once, then a random one. It returns false if none is known.
func (s *Service) newerVM() (string, bool) {
	s.mutex.Lock()
	current, r := s.state.Config().Revision, s.reported
	s.reported.vm = ""
	s.mutex.Unlock()
	if r.revision <= current {
		return "", false
	}
	if r.vm != "" {
		return r.vm, true
	}
	vms := s.randomPeers(s.newerVMs(current))
	if len(vms) == 0 {
		return "", false
	}
	return vms[0], true
}
