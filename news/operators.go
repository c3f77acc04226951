package news

import (
	"context"
	"time"

	"bergamotworks/site"
)

// loopOperatorState reads and watches what operators write while this VM reads
// the store itself.
func (s *Service) loopOperatorState(ctx context.Context) error {
	var position site.Position // Zero if the operator state must be read.
	var readAt time.Time
	for ctx.Err() == nil {
		if !s.readsStore() {
			position = site.Position{}
			if !s.sleep(ctx, maxFetchInterval) {
				return nil
			}
			continue
		}
		if position.Revision != 0 && s.Clock.Now().Sub(readAt) < operatorReadInterval {
			if !s.watchUnchanged(ctx, position) {
				position = site.Position{}
			}
			continue
		}
		var err error
		readAt = s.Clock.Now()
		if position, err = s.readOperatorState(ctx); err == nil {
			continue
		}
		s.fetchFromPeers(ctx)
		if !s.sleep(ctx, operatorRetryInterval) {
			return nil
		}
	}
	return nil
}

// watchUnchanged watches the operator state for watchWait and reports whether it
// is known to be the same as at a position of the store.
func (s *Service) watchUnchanged(ctx context.Context, position site.Position) bool {
	callCtx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	sent := s.Clock.Now()
	changed, err := s.Source.WaitForChange(callCtx, position, watchWait)
	took := s.Clock.Now().Sub(sent)
	if err != nil {
		s.recordWatchError(ctx, took, err)
		return false
	}
	if !changed && took >= watchWait {
		s.confirmOperatorState(sent.Add(watchWait), position)
	}
	return !changed
}

// readOperatorState reads the operator state and returns the store's position,
// zero if the read fails.
func (s *Service) readOperatorState(ctx context.Context) (site.Position, error) {
	callCtx, cancel := context.WithTimeout(ctx, operatorReadTimeout)
	defer cancel()
	sent := s.Clock.Now()
	o, err := s.Source.OperatorState(callCtx)
	if err != nil {
		s.recordReadError(ctx, "configuration", err)
		return site.Position{}, err
	}
	defer s.confirmOperatorState(sent, o.Position)
	s.mutex.Lock()
	snapshot := Snapshot{Config: o.Config, DrainedDomains: &DrainedDomains{Domains: o.DrainedDomains, Position: o.Position}, AppliedAt: s.Clock.Now()}
	if o.RolloutsRead {
		snapshot.Rollouts = &Rollouts{Rollouts: o.Rollouts, Position: o.Position}
	}
	change := s.state.Apply(snapshot)
	s.mutex.Unlock()
	s.logChange(change, "store")
	return o.Position, nil
}

// checkUnchanged reports whether the store still holds the operator state of this
// node. That costs little, where a read transfers the whole configuration.
func (s *Service) checkUnchanged(ctx context.Context) (bool, error) {
	s.mutex.Lock()
	position := s.operatorPosition
	s.mutex.Unlock()
	if position.Revision == 0 {
		return false, nil
	}
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sent := s.Clock.Now()
	changed, err := s.Source.WaitForChange(callCtx, position, minWatchWait)
	if err != nil {
		s.recordWatchError(ctx, s.Clock.Now().Sub(sent), err)
		return false, err
	}
	if !changed {
		s.confirmOperatorState(sent, position)
	}
	return !changed, nil
}

// OperatorStateAge returns the time since the store is known to have held the
// operator state of this node. Before the first read, and after a pause of the VM
// until the next one, it is the maximum duration.
func (s *Service) OperatorStateAge() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, operators := s.ages(s.Clock.Now())
	return operators
}

// ages returns the ages of the directory and of the operator state. The mutex is
// held.
func (s *Service) ages(now time.Time) (directory, operators time.Duration) {
	s.pauses.observe(now)
	return s.pauses.age(now, s.lastStoreRead), s.pauses.age(now, s.operatorsAsOf)
}

// confirmOperatorState records that the store held the operator state of this
// node, or an older one, at the given time and at a position of the store.
func (s *Service) confirmOperatorState(asOf time.Time, position site.Position) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if asOf.After(s.operatorsAsOf) {
		s.operatorsAsOf = asOf
	}
	s.operatorPosition = s.operatorPosition.Latest(position)
}
