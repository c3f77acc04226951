package batch

import (
	"context"

	"bergamotworks/fault"
)

// sent is work that another VM gathers.
type sent struct {
	vm     string
	cancel context.CancelCauseFunc
}

// call submits work to another VM. The call ends early if that VM is found to be
// gone, since its connection may stay silent for longer.
func (s *Service) call(ctx context.Context, vm string, params submission, answer *handles) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c := &sent{vm: vm, cancel: cancel}
	s.mutex.Lock()
	s.sent[c] = struct{}{}
	s.mutex.Unlock()
	err := s.Peers.Call(ctx, vm, MethodSubmit, params, answer)
	s.mutex.Lock()
	delete(s.sent, c)
	s.mutex.Unlock()
	if cause := fault.From(context.Cause(ctx)); err != nil && ctx.Err() != nil && cause.Kind == fault.Conflict {
		return cause
	}
	return err
}

// recall ends the calls to VMs that are gone, under the service's mutex.
func (s *Service) recall() {
	view := s.View()
	for c := range s.sent {
		if vm, ok := view.Find(c.vm); ok && vm.State.Gone() {
			c.cancel(fault.New(fault.Conflict, fault.NotRun, "%s is gone", c.vm))
		}
	}
}
