package relay

import (
	"context"
	"errors"

	"bergamotworks/fault"
	"bergamotworks/place"
	"bergamotworks/site"
	"bergamotworks/wire"
)

// refusedConnect reports whether an attempt reached a host on which no process listens
// at the address of the target.
func refusedConnect(err error) bool {
	var connectError *wire.ConnectError
	return errors.As(err, &connectError) && connectError.Refused
}

// isLocalShortage reports whether this VM lacked the resources for an attempt, which says
// nothing about the target.
func isLocalShortage(err error) bool {
	var connectError *wire.ConnectError
	return errors.As(err, &connectError) && connectError.Local
}

// attempt sends the request to one target and forwards its response. MayRetry
// says whether a further attempt is allowed after a failure.
func (x *exchange) attempt(ctx context.Context, t site.Target, mayRetry bool) error {
	s := x.server
	now := s.Clock.Now()
	x.attempts++
	if !s.Rollouts.Admit(now, x.service, x.usable, t) {
		return errNotAdmitted
	}
	s.Rollouts.RunStarted(t)
	defer s.Rollouts.RunEnded(t)
	x.target, x.sentAt, x.targetBegan = t.ID, now, 0
	attemptCtx, cancel := context.WithCancel(ctx) // It is canceled if the run is moved.
	defer cancel()
	x.prepareCopies(t, cancel)
	s.mutex.Lock()
	x.call = nil
	if x.copies.from == "" { // Otherwise the target does not read the prompt.
		s.beginCall(x, t)
	}
	s.placement.CallStarted(now, t)
	s.mutex.Unlock()
	status, err := x.send(attemptCtx, t, mayRetry)
	err = x.endLive(ctx, err)
	x.dropUnusedBackup(t, err)
	return x.endAttempt(t, status, err)
}

// send sends the request to a target and forwards its response. It returns the status of
// the response, zero if there was none.
func (x *exchange) send(ctx context.Context, t site.Target, mayRetry bool) (int, error) {
	s := x.server
	resp, err := s.Client.Do(ctx, x.targetCall(t))
	if err != nil {
		return 0, err
	}
	defer resp.Close()
	if x.route.Kind != site.Stream || resp.Status >= 300 {
		x.recordBegin()
	}
	s.recordLoad(t, resp.Headers.Get(s.Names.Load))
	if err := x.checkResponse(resp, mayRetry); err != nil {
		return resp.Status, err
	}
	if x.route.Kind != site.Stream && resp.Status < 300 {
		x.firstEvent()
	}
	return resp.Status, x.forward(ctx, resp)
}

// mayHaveCrashed reports whether the target of an attempt may have crashed on the
// request. One that sent something that is no response has not.
func mayHaveCrashed(err error) bool {
	e := fault.From(err)
	var invalid *wire.InvalidResponseError
	return e.Kind == fault.ConnectionLost && e.Verdict != fault.NotRun && !errors.As(err, &invalid)
}

// endAttempt records and logs the outcome of an attempt and returns err. The status is that
// of the response, zero if there was none.
func (x *exchange) endAttempt(t site.Target, status int, err error) error {
	s := x.server
	x.recordVersion(t, status, err)
	s.mutex.Lock()
	s.placement.End(s.Clock.Now(), x.call, outcomeOf(err))
	s.placement.CallEnded(s.Clock.Now(), t, outcomeOf(err))
	paceChanges := s.placement.TakePaceChanges()
	s.mutex.Unlock()
	s.announcePace(paceChanges)
	if err == nil {
		x.recordCompletion()
		return nil
	}
	s.logFailedAttempt(x, t, err)
	s.reportTarget(t, err)
	if mayHaveCrashed(err) && !s.Rollouts.ExplainsLoss(t) {
		x.recordLoss(t)
	}
	return err
}

// outcomeOf returns what an error means for the health of a target.
func outcomeOf(err error) place.Outcome {
	if err == nil {
		return place.Succeeded
	}
	e := fault.From(err)
	if place.IsHeld(err) || isLocalShortage(err) || isMoved(err) {
		return place.Unknown
	}
	switch e.Kind {
	case fault.Canceled, fault.DeadlineExceeded:
		return place.Unknown
	case fault.Unavailable, fault.ConnectionLost:
		return place.Unreachable
	case fault.Busy:
		return place.Overloaded
	case fault.Conflict:
		return place.WrongTarget
	}
	var writeErr *clientWriteError
	if errors.As(err, &writeErr) {
		return place.Unknown
	}
	return place.Failed
}
