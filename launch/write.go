package launch

import (
	"context"

	"bergamotworks/canary"
	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/ports"
	"bergamotworks/site"
)

var _ canary.StateStore = (*Service)(nil)

// Start orders the rollout of a version and returns the order as it is stored. It is
// idempotent while the order is open, so that a call whose response was lost may be
// repeated. It fails with fault.Conflict if another order for the service is open.
func (s *Service) Start(ctx context.Context, r site.Rollout) (site.Rollout, error) {
	if err := checkOrder(r); err != nil {
		return site.Rollout{}, err
	}
	if err := checkService(s.Config().Sections, r.Service); err != nil {
		return site.Rollout{}, err
	}
	rollouts, _, err := s.list(ctx)
	if err != nil {
		return site.Rollout{}, fault.From(err).WithVerdict(fault.NotRun)
	}
	current, found := site.FindRollout(rollouts, r.Service)
	if found && !current.State.Final() && current.Version == r.Version && current.Span == r.Span {
		return current, nil
	}
	if !found && len(rollouts) >= maxRollouts {
		return site.Rollout{}, fault.New(fault.Conflict, fault.NotRun, "there are %d orders already; withdraw decided ones", len(rollouts))
	}
	if found {
		if err := checkReplaced(current, r); err != nil {
			return site.Rollout{}, err
		}
	}
	then := []ports.Op{ports.Put{Key: orderPrefix + r.Service, Value: encode(orderEntry{Service: r.Service, Version: r.Version, SpanMS: r.Span.Milliseconds()})}}
	if current.StateRevision > 0 {
		then = append(then, ports.Delete{Key: statePrefix + r.Service})
	}
	revision, err := s.replace(ctx, r.Service, current, then)
	r.Revision = revision
	return r, err
}

// checkReplaced returns an error of kind fault.Conflict if an order must not replace the
// current one.
func checkReplaced(current, next site.Rollout) error {
	switch {
	case !current.State.Final():
		return fault.New(fault.Conflict, fault.NotRun, "the rollout of version %s of %s is open (order %d); withdraw it first", current.Version, current.Service, current.Revision)
	case current.State == site.RolloutComplete && current.Version == next.Version:
		return fault.New(fault.Conflict, fault.NotRun, "version %s of %s has the requests since order %d", current.Version, current.Service, current.Revision)
	}
	return nil
}

// Withdraw ends the rollout of a service and returns its order. An open one is recorded as
// rolled back, so that nodes that start later know, too, that the version must get no
// requests. A decided one is removed; this fails with fault.Conflict while it decides which
// targets get the requests. Withdraw fails with fault.NotFound if there is no order.
func (s *Service) Withdraw(ctx context.Context, service string) (site.Rollout, error) {
	rollouts, _, err := s.list(ctx)
	if err != nil {
		return site.Rollout{}, fault.From(err).WithVerdict(fault.NotRun)
	}
	current, found := site.FindRollout(rollouts, service)
	if !found {
		return site.Rollout{}, fault.New(fault.NotFound, fault.NotRun, "there is no rollout of %q", service)
	}
	if !current.State.Final() {
		state := stateEntry{Order: current.Revision, State: site.RolloutRolledBack, Reason: reasonWithdrawn}
		_, err := s.replace(ctx, service, current, []ports.Op{ports.Put{Key: statePrefix + service, Value: encode(state)}})
		current.State = site.RolloutRolledBack
		return current, err
	}
	if name, ok := excludedTarget(s.Config().Sections, current); ok {
		return site.Rollout{}, fault.New(fault.Conflict, fault.NotRun,
			"order %d is decided, and without it target %s would get requests again; remove the target first, or start another rollout", current.Revision, name)
	}
	_, err = s.replace(ctx, service, current, []ports.Op{ports.Delete{Key: orderPrefix + service}, ports.Delete{Key: statePrefix + service}})
	return current, err
}

// Record implements [canary.StateStore]. It reads what is recorded first, so that it may be
// repeated after a lost response. The write compares the revisions that were read: neither
// an order that has been replaced nor a state that another node has written meanwhile is
// overwritten.
func (s *Service) Record(ctx context.Context, order site.Rollout, state site.RolloutState) (site.RolloutState, error) {
	rollouts, _, err := s.list(ctx)
	if err != nil {
		return 0, err
	}
	current, found := site.FindRollout(rollouts, order.Service)
	if !found || current.Revision != order.Revision {
		return 0, fault.New(fault.NotFound, fault.NotRun, "the order of revision %d for %s is gone", order.Revision, order.Service)
	}
	if current.Keeps(state) {
		return current.State, nil
	}
	entry := stateEntry{Order: order.Revision, State: state}
	_, err = s.replace(ctx, order.Service, current, []ports.Op{ports.Put{Key: statePrefix + order.Service, Value: encode(entry)}})
	return state, err
}

// replace applies operations to the entries of a service unless its order or state has
// changed since it was read, and returns the revision of the store.
func (s *Service) replace(ctx context.Context, service string, current site.Rollout, then []ports.Op) (int64, error) {
	response, err := s.Store.Commit(ctx, ports.Txn{
		Compares: []ports.Compare{
			{Key: orderPrefix + service, ModRevision: current.Revision},
			{Key: statePrefix + service, ModRevision: current.StateRevision},
		},
		Then: then,
	})
	if err != nil {
		return 0, err
	}
	if !response.Succeeded {
		return 0, fault.New(fault.Conflict, fault.NotRun, "the rollout of %s has changed meanwhile", service)
	}
	s.requestRead()
	return response.Revision, nil
}

// excludedTarget returns a target that gets no requests because of a decided order.
func excludedTarget(s note.Sections, r site.Rollout) (string, bool) {
	for name, t := range s.Targets {
		if t.Service == r.Service && (t.Version == r.Version) == (r.State == site.RolloutRolledBack) {
			return name, true
		}
	}
	return "", false
}
