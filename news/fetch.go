package news

import (
	"context"
	"slices"
	"time"

	"bergamotworks/fault"
	"bergamotworks/member"
	"bergamotworks/site"
)

// fetchFromPeers fetches newer state from some live nodes.
func (s *Service) fetchFromPeers(ctx context.Context) {
	for _, vm := range s.randomPeers(s.View().Live(), maxFetchPeers) {
		_, _ = s.fetch(ctx, vm) // It logs its error; the next attempt follows soon.
	}
}

// randomPeers returns the identifiers of up to count of the VMs, without this one, in
// random order.
func (s *Service) randomPeers(vms []member.VM, count int) []string {
	vms = slices.DeleteFunc(slices.Clone(vms), s.isSelf)
	var ids []string
	for len(vms) > 0 && len(ids) < count {
		at := int(s.Random.Uint64() % uint64(len(vms)))
		ids = append(ids, vms[at].ID)
		vms = slices.Delete(vms, at, at+1)
	}
	return ids
}

// fetch fetches newer state from another node and applies it.
func (s *Service) fetch(ctx context.Context, vm string) (update, error) {
	sent := s.Clock.Now()
	u, err := s.fetchParts(ctx, vm)
	s.recordFetch(ctx, vm, s.Clock.Now().Sub(sent), err)
	if err != nil {
		return update{}, err
	}
	if u.OperatorAge < maxAge {
		s.confirmOperatorState(sent.Add(-u.OperatorAge), site.Position{Epoch: u.OperatorEpoch, Revision: u.OperatorRevision})
	}
	return u, nil
}

// fetchParts fetches the drained failure domains, the rollouts and, by calls of their own,
// a newer directory and a newer configuration. Large ones on a slow network link
// then delay nothing else.
func (s *Service) fetchParts(ctx context.Context, vm string) (update, error) {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	s.mutex.Lock()
	local := s.state.revisions()
	s.mutex.Unlock()
	local.Transfers = true
	var u update
	sent := s.Clock.Now()
	if err := s.Peers.Call(callCtx, vm, MethodFetch, local, &u); err != nil {
		return update{}, err
	}
	readAt := u.readAt(sent)
	s.apply(vm, u, readAt)
	if u.ConfigRevision == 0 {
		u.OperatorAge = maxAge // A VM of an earlier version does not state it.
	}
	if s.lacks(u.DirectoryVersion) {
		if err := s.fetchDirectory(ctx, vm, readAt, u.GraceRemaining); err != nil {
			return update{}, err
		}
	}
	if u.ConfigRevision > s.Config().Revision {
		if err := s.fetchConfig(ctx, vm); err != nil {
			return update{}, err
		}
	}
	return u, nil
}

// lacks reports whether another node's directory is later than that of this one and has
// other targets.
func (s *Service) lacks(v directoryVersion) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.lacks(v)
}

// readAt returns the time of the read of the store from which the state of another
// node comes, given the time at which its update was requested; zero if there was
// none.
func (u update) readAt(requested time.Time) time.Time {
	if u.Age < 0 || u.Age == maxAge {
		return time.Time{}
	}
	return requested.Add(-u.Age)
}

// apply merges the update of another node, which has read the store at readAt.
func (s *Service) apply(vm string, u update, readAt time.Time) {
	sn := Snapshot{DrainedDomains: u.DrainedDomains, Rollouts: u.Rollouts, Unchanged: u.DirectoryVersion, ReadAt: readAt, AppliedAt: s.Clock.Now()}
	if u.Config != nil {
		sn.Config = site.NewConfig(*u.Config)
	}
	if u.Directory != nil {
		sn.Directory = shiftTimes(*u.Directory, s.Clock.Now().Sub(u.Now))
	}
	if u.GraceRemaining > 0 {
		sn.GraceEnd = sn.AppliedAt.Add(u.GraceRemaining)
	}
	s.mutex.Lock()
	change := s.state.Apply(sn)
	s.mutex.Unlock()
	s.logChange(change, vm)
}

// HandleFetch returns the revisions and ages of this node's state, and the drained failure
// domains and rollouts if they are newer than those of the other node. It returns an
// Unavailable error if this node has neither a configuration nor a directory.
func (s *Service) HandleFetch(_ context.Context, remote revisions) (update, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.Clock.Now()
	directoryAge, operatorAge := s.ages(now)
	u := update{Now: now, Age: directoryAge, OperatorAge: operatorAge, OperatorRevision: s.operatorPosition.Revision, OperatorEpoch: s.operatorPosition.Epoch, GraceRemaining: s.state.GraceRemaining(now)}
	if c := s.state.Config(); c.Loaded() {
		u.ConfigRevision = c.Revision
	}
	u.DirectoryVersion = s.state.directoryVersion(now)
	if d := s.state.drained; d != nil && d.After(site.Position{Epoch: remote.DrainedDomainsEpoch, Revision: remote.DrainedDomainsRevision}) {
		u.DrainedDomains = d
	}
	u.Rollouts = s.state.newerRollouts(site.Position{Epoch: remote.RolloutsEpoch, Revision: remote.RolloutsRevision})
	if !remote.Transfers {
		s.addInline(&u, remote)
	}
	if u.DirectoryVersion.Revision == 0 && !s.state.Config().Loaded() {
		return update{}, fault.New(fault.Unavailable, fault.NotRun, "nothing is known here")
	}
	return u, nil
}

// addInline adds what a VM of an earlier version does not fetch separately. The
// mutex is held.
func (s *Service) addInline(u *update, remote revisions) {
	if c := s.state.Config(); c.Loaded() && c.Revision > remote.ConfigRevision {
		u.Config = &c
	}
	if d := s.state.registered; d.Loaded() && d.Revision > remote.DirectoryRevision {
		u.Directory = &d
	}
}
