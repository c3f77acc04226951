package batch

import (
	"context"

	"github.com/sirupsen/logrus"
)

// Release releases results of a service that are no longer needed. It returns
// without waiting for the owners or the targets.
func (s *Service) Release(service string, handles []string) {
	if len(handles) == 0 {
		return
	}
	s.once.Do(s.init)
	for owner, owned := range s.handlesByOwner(service, handles) {
		if owner == "" || owner == s.Self {
			s.release(service, owned)
			continue
		}
		s.running.Add(1)
		r := remoteRelease{service: s, vm: owner, request: releaseRequest{Service: service, Handles: owned}}
		go r.run()
	}
}

// handlesByOwner groups handles by the owners of the targets that store them.
// Results of targets that are gone are dropped.
func (s *Service) handlesByOwner(service string, handles []string) map[string][]string {
	directory, l := s.Directory(), s.layout(service)
	grouped := make(map[string][]string)
	for _, h := range handles {
		target, ok := directory.FindByAddress(TargetAddress(h))
		if !ok && l.split {
			continue
		}
		owner := l.owner(target.Domain)
		grouped[owner] = append(grouped[owner], h)
	}
	return grouped
}

// HandleRelease releases results for another node. Results of a service that
// this VM does not batch are ignored; they expire at their targets.
func (s *Service) HandleRelease(_ context.Context, p releaseRequest) (struct{}, error) {
	s.once.Do(s.init)
	s.release(p.Service, p.Handles)
	return struct{}{}, nil
}

func (s *Service) release(service string, handles []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if b := s.batchers[service]; b != nil {
		b.table.Release(handles)
		s.perform(b)
	}
}

// remoteRelease asks the owner of a service to release results.
type remoteRelease struct {
	service *Service
	vm      string
	request releaseRequest
}

func (r remoteRelease) run() {
	defer r.service.running.Done()
	ctx, cancel := context.WithTimeout(r.service.baseContext, maintenanceTimeout)
	defer cancel()
	var response struct{}
	err := r.service.Peers.Call(ctx, r.vm, MethodRelease, r.request, &response)
	if err == nil {
		return
	}
	r.service.Log.WithFields(logrus.Fields{"peer": r.vm, "service": r.request.Service, "handles": len(r.request.Handles), "error": err.Error()}).Warn("owner did not release results; releasing them at their targets")
	r.service.releaseDirectly(r.request.Handles)
}

// releaseDirectly releases results at the targets that store them, since the
// owner of their service does not respond. The next owner sees the free capacity
// when it queries the targets.
func (s *Service) releaseDirectly(handles []string) {
	directory := s.Directory()
	byTarget := make(map[string]ReleaseResults)
	for _, h := range handles {
		target, ok := directory.FindByAddress(TargetAddress(h))
		if !ok || s.Admission.Hold(s.Clock.Now(), target).Excludes() {
			continue
		}
		release := byTarget[target.ID]
		byTarget[target.ID] = ReleaseResults{Target: target, Handles: append(release.Handles, h)}
	}
	for _, release := range byTarget {
		s.running.Add(1)
		go releaseTask{service: s, release: release}.run()
	}
}
