package news

import (
	"context"
	"slices"
	"time"

	"bergamotworks/member"
)

// maxReportedFetches is the number of VMs that are asked for a configuration that
// is known to be newer, before the VM leaves that to its refresh.
const maxReportedFetches = 3

// maxReports is the number of newer revisions that are remembered.
const maxReports = 64

// report says that a VM has a revision of the configuration.
type report struct {
	vm       string // Empty once the VM was asked for it.
	revision int64
	at       time.Time
}

func (s *Service) prepare() {
	s.setup.Do(func() { s.wake = make(chan struct{}, 1) })
}

// ObserveRevision records the revision of the configuration that another VM
// reports. If it is newer, it is fetched from there at once. It does not block.
func (s *Service) ObserveRevision(vm string, revision int64) {
	s.prepare()
	newer := s.addReport(report{vm: vm, revision: revision, at: s.Clock.Now()})
	if !newer {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// addReport remembers a report and reports whether its revision is newer than that
// of this node and those reported before.
func (s *Service) addReport(r report) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.dropReports()
	if r.revision <= max(s.state.Config().Revision, s.newestReport().revision) {
		return false
	}
	if len(s.reports) == maxReports {
		s.reports = s.reports[:maxReports-1]
	}
	s.reports = append(s.reports, r)
	return true
}

// dropReports forgets the revisions that this node has. The mutex is held.
func (s *Service) dropReports() {
	current := s.state.Config().Revision
	s.reports = slices.DeleteFunc(s.reports, func(r report) bool { return r.revision <= current })
}

// newestReport returns the report of the newest revision, the zero value if there
// is none. The mutex is held.
func (s *Service) newestReport() report {
	if len(s.reports) == 0 {
		return report{}
	}
	return s.reports[len(s.reports)-1]
}

// Outdated reports whether another VM has reported a newer configuration than
// that of this node.
func (s *Service) Outdated() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.newestReport().revision > s.state.Config().Revision
}

// OutdatedFor returns the time since the oldest report of a configuration that this
// node lacks and a live VM has, zero if there is none.
func (s *Service) OutdatedFor() time.Duration {
	s.mutex.Lock()
	s.dropReports()
	current := s.state.Config().Revision
	if len(s.reports) == 0 {
		s.mutex.Unlock()
		return 0
	}
	oldest := s.reports[0]
	s.mutex.Unlock()
	if len(s.newerVMs(current)) == 0 {
		return 0
	}
	return s.Clock.Now().Sub(oldest.at)
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
	s.dropReports()
	current, r := s.state.Config().Revision, s.newestReport()
	if len(s.reports) > 0 {
		s.reports[len(s.reports)-1].vm = ""
	}
	s.mutex.Unlock()
	if r.revision <= current {
		return "", false
	}
	if r.vm != "" {
		return r.vm, true
	}
	vms := s.randomPeers(s.newerVMs(current), 1)
	if len(vms) == 0 {
		return "", false
	}
	return vms[0], true
}
