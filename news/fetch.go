package news

import (
	"context"
	"slices"

	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/member"
	"bergamotworks/site"
)

// ask takes in the news of some other nodes.
func (s *Service) ask(ctx context.Context) {
	for _, vm := range s.some(s.View().Live()) {
		if _, err := s.askPeer(ctx, vm); err != nil {
			s.Log.WithFields(logrus.Fields{"peer": vm, "error": err.Error()}).Info("no news from peer")
		}
	}
}

// some returns the identifiers of up to askedPeers other VMs of a list, in random
// order.
func (s *Service) some(vms []member.VM) []string {
	vms = slices.DeleteFunc(slices.Clone(vms), s.isSelf)
	var ids []string
	for len(vms) > 0 && len(ids) < askedPeers {
		at := int(s.Random.Uint64() % uint64(len(vms)))
		ids = append(ids, vms[at].ID)
		vms = slices.Delete(vms, at, at+1)
	}
	return ids
}

func (s *Service) askPeer(ctx context.Context, vm string) (told, error) {
	calling, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	s.mutex.Lock()
	mine := s.state.known()
	s.mutex.Unlock()
	var answer told
	if err := s.Peers.Call(calling, vm, MethodFetch, mine, &answer); err != nil {
		return told{}, err
	}
	s.take(vm, answer)
	return answer, nil
}

func (s *Service) take(vm string, answer told) {
	n := Snapshot{DrainedDomains: answer.Departures}
	if answer.Config != nil {
		n.Config = site.NewConfig(*answer.Config)
	}
	if answer.Directory != nil {
		n.Directory = shifted(*answer.Directory, s.Clock.Now().Sub(answer.Now))
	}
	s.mutex.Lock()
	now := s.Clock.Now()
	if answer.Keep > 0 {
		s.state.ExtendGrace(now, answer.Keep)
	}
	change := s.state.ApplyPeer(now, n)
	s.mutex.Unlock()
	s.changed(change, vm)
}

// HandleFetch answers with what is newer than what another node knows.
func (s *Service) HandleFetch(_ context.Context, theirs known) (told, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.Clock.Now()
	answer := told{Now: now, Age: now.Sub(s.heard), Keep: s.state.GraceRemaining(now)}
	if c := s.state.Config(); c.Loaded() && c.Version > theirs.Version {
		answer.Config = &c
	}
	if d := s.state.listed; d.Loaded() && d.Revision > theirs.Revision {
		answer.Directory = &d
	}
	if d := s.state.departures; d != nil && d.Revision > theirs.Departures {
		answer.Departures = d
	}
	if answer.Config == nil && answer.Directory == nil && !s.state.Config().Loaded() {
		return told{}, fault.New(fault.Unavailable, fault.NotRun, "nothing is known here")
	}
	return answer, nil
}
