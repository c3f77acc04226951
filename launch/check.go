package launch

import (
	"context"
	"maps"

	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/site"
)

// checkService returns an error of kind fault.Invalid unless the service exists.
func checkService(s note.Sections, service string) error {
	if _, ok := s.Services[service]; !ok {
		return fault.InvalidField("service", "service %q does not exist", service)
	}
	return nil
}

// CheckChange returns an error of kind fault.Conflict if a change of the configuration
// contradicts an order in the store. It reads the store only if the change may do so.
func (s *Service) CheckChange(ctx context.Context, before, after note.Config) error {
	b, a := before.Sections, after.Sections
	if maps.Equal(b.Targets, a.Targets) {
		return nil
	}
	rollouts, _, err := s.list(ctx)
	if err != nil {
		return fault.From(err).WithVerdict(fault.NotRun)
	}
	for _, r := range rollouts {
		if err := checkChange(r, b, a); err != nil {
			return err
		}
	}
	return nil
}

// checkChange returns an error if a change contradicts an order: if it takes the last targets
// of the version that has the requests out of service. The state of failure domains is not
// considered, since draining one must always be possible.
func checkChange(r site.Rollout, before, after note.Sections) error {
	oldBefore, newBefore := inService(before, r)
	oldAfter, newAfter := inService(after, r)
	if r.State == site.RolloutComplete {
		if newBefore > 0 && newAfter == 0 && oldAfter > 0 {
			return conflictError(r, "the last targets of this version, which has the requests, would leave")
		}
		return nil
	}
	if oldBefore > 0 && oldAfter == 0 && (newAfter > 0 || r.State == site.RolloutRunning) {
		return conflictError(r, "the last targets of other versions, which have the requests, would leave")
	}
	return nil
}

func conflictError(r site.Rollout, text string) error {
	return fault.New(fault.Conflict, fault.NotRun, "contradicts the rollout of version %s of %s (order %d, %s): %s", r.Version, r.Service, r.Revision, r.State, text)
}

// inService returns the number of targets of the order's service that accept new work: those
// of other versions and those of the order's.
func inService(s note.Sections, r site.Rollout) (others, ordered int) {
	for _, t := range s.Targets {
		switch {
		case t.Service != r.Service || t.State != note.InService:
		case t.Version == r.Version:
			ordered++
		default:
			others++
		}
	}
	return others, ordered
}
