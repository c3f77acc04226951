package batch

import (
	"context"

	"bergamotworks/fault"
)

// remoteCall is a submission in flight to the owner on another VM.
type remoteCall struct {
	vm     string
	cancel context.CancelCauseFunc
}

// callOwner submits work to another VM. It returns early with a Conflict
// error if the membership reports that VM as dead or left, since the
// connection to a VM that lost power may stay silent for longer.
func (s *Service) callOwner(ctx context.Context, vm string, params submission, response *handleList) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c := &remoteCall{vm: vm, cancel: cancel}
	s.mutex.Lock()
	s.remoteCalls[c] = struct{}{}
	s.mutex.Unlock()
	err := s.Peers.Call(ctx, vm, MethodSubmit, params, response)
	s.mutex.Lock()
	delete(s.remoteCalls, c)
	s.mutex.Unlock()
	if cause := fault.From(context.Cause(ctx)); err != nil && ctx.Err() != nil && cause.Kind == fault.Conflict {
		return cause
	}
	return err
}

// cancelLostCalls cancels the submissions to VMs that are dead or have left.
// The caller holds s.mutex.
func (s *Service) cancelLostCalls() {
	view := s.View()
	for c := range s.remoteCalls {
		if vm, ok := view.Find(c.vm); ok && vm.State.Gone() {
			c.cancel(fault.New(fault.Conflict, fault.NotRun, "%s is gone", c.vm))
		}
	}
}
