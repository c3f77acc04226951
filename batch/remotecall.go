package batch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/member"
)

// remoteCall is a submission in flight to the owner on another VM.
type remoteCall struct {
	vm     string
	cancel context.CancelCauseFunc
	// movable means that another owner could take the work if this one does not
	// respond.
	movable bool
}

// callOwner submits work to another VM. It returns early with a Conflict error
// if the membership reports that VM as dead or left, since the connection to a VM
// that lost power may stay silent for longer, and if the VM does not respond to a
// probe while another owner could take the work.
func (s *Service) callOwner(ctx context.Context, vm string, movable bool, params submission, response *submitResponse) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c := &remoteCall{vm: vm, cancel: cancel, movable: movable}
	s.startRemoteCall(c)
	err := s.Peers.Call(ctx, vm, MethodSubmit, params, response)
	s.endRemoteCall(c, err)
	if cause := fault.From(context.Cause(ctx)); err != nil && ctx.Err() != nil && cause.Kind == fault.Conflict {
		return cause
	}
	return err
}

func (s *Service) startRemoteCall(c *remoteCall) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.remoteCalls[c] = struct{}{}
	s.contacts.callStarted(s.Clock.Now(), c.vm)
}

func (s *Service) endRemoteCall(c *remoteCall, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.remoteCalls, c)
	s.contacts.callEnded(s.Clock.Now(), c.vm, responded(err))
}

// responded reports whether the outcome of a call shows that the peer is alive.
// An error that this node made itself, without a response, does not.
func responded(err error) bool {
	if err == nil {
		return true
	}
	switch fault.From(err).Kind {
	case fault.Canceled, fault.DeadlineExceeded, fault.Unavailable, fault.ConnectionLost:
		return false
	}
	return true
}

// cancelLostCalls cancels the submissions to VMs that are dead or have left.
// The caller holds s.mutex.
func (s *Service) cancelLostCalls() {
	view := s.View()
	gone := func(id string) bool {
		vm, ok := view.Find(id)
		return ok && vm.State.Gone()
	}
	for c := range s.remoteCalls {
		if gone(c.vm) {
			c.cancel(fault.New(fault.Conflict, fault.NotRun, "%s is gone", c.vm))
		}
	}
	s.contacts.drop(gone)
}

// startProbes probes the VMs that have been silent for too long. The caller
// holds s.mutex.
func (s *Service) startProbes(now time.Time) {
	view := s.View()
	suspect := func(id string) bool {
		vm, ok := view.Find(id)
		return ok && vm.State == member.Suspect
	}
	for _, vm := range s.contacts.dueProbes(now, suspect) {
		s.running.Add(1)
		go probeTask{service: s, vm: vm}.run()
	}
}

// probeTask asks a silent VM whether it still responds.
type probeTask struct {
	service *Service
	vm      string
}

func (p probeTask) run() {
	s := p.service
	defer s.running.Done()
	ctx, cancel := context.WithTimeout(s.baseContext, probeTimeout)
	defer cancel()
	sent := s.Clock.Now()
	var response struct{}
	err := s.Peers.Call(ctx, p.vm, MethodProbe, struct{}{}, &response)
	s.probeEnded(p.vm, s.Clock.Now().Sub(sent), err)
}

// probeEnded records the outcome of a probe. If the VM has become silent, the
// submissions to it that others can take are canceled. A VM of an earlier version
// does not know the method, but its error is a response.
func (s *Service) probeEnded(vm string, took time.Duration, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.contacts.probeEnded(s.Clock.Now(), vm, responded(err)) {
		return
	}
	if !s.contacts.silent(vm) {
		s.Log.WithField("peer", vm).Info("owner responds again")
		return
	}
	moved := 0
	for c := range s.remoteCalls {
		if c.vm == vm && c.movable {
			c.cancel(fault.New(fault.Conflict, fault.NotRun, "%s does not respond", vm))
			moved++
		}
	}
	s.Metrics.GetOrCreateCounter("batch_silent_owners_total").Inc()
	s.Log.WithFields(logrus.Fields{"peer": vm, "probe_ms": took.Milliseconds(), "moved": moved, "pending": len(s.remoteCalls), "error": err.Error()}).Warn("owner does not respond; moving its work to others")
}
