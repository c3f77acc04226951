package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/move"
	"bergamotworks/place"
	"bergamotworks/site"
)

// maxMoveTries limits the tries to move a run. Copies use the links of targets also if they
// fail.
const maxMoveTries = 3

// liveRun is an attempt that may be moved while its stream is forwarded.
type liveRun struct {
	exchange *exchange
	target   site.Target
	criteria place.Criteria
	cancel   context.CancelFunc // Cancels the attempt.
	done     chan struct{}      // Closed once the result of a stop is there.

	// The fields below are guarded by the mutex.
	mutex      sync.Mutex
	run        move.Run
	decision   move.Decision
	decided    bool               // No further move may begin now.
	tries      int                // Moves that have begun.
	ended      bool               // The attempt has ended, so that the run must not be stopped any more.
	stopping   bool               // The source has been told to stop the run.
	restarted  bool               // The attempt was canceled to begin again elsewhere.
	finished   bool               // The result of a stop is there.
	unwanted   bool               // The result is not used.
	cancelCopy context.CancelFunc // Ends the call that copies the run while it goes on.
	result     stopResult         // Valid once finished.
}

// watch adds a run to those that may be moved. The mutex of the server is held.
func (s *Server) watch(l *liveRun) {
	if s.closed {
		return
	}
	if s.moves.live == nil {
		s.moves.live = make(map[*liveRun]bool)
	}
	s.moves.live[l] = true
	l.exchange.copies.live = l
	if !s.moves.watching {
		s.moves.watching = true
		s.running.Add(1)
		go s.loopMoves()
	}
}

// loopMoves checks periodically which runs are to be moved, until no run may be moved.
func (s *Server) loopMoves() {
	defer s.running.Done()
	for watching := true; watching; {
		<-s.Clock.After(moveCheckInterval)
		watching = s.checkMoves()
	}
}

// checkMoves starts the moves that are due. It reports whether runs may still be moved.
func (s *Server) checkMoves() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.moves.watching = len(s.moves.live) > 0 && !s.closed
	if !s.moves.watching {
		return false
	}
	sources := make(map[string]move.Source)
	for l := range s.moves.live {
		if !l.mayMove() {
			continue
		}
		source, ok := sources[l.target.ID]
		if !ok {
			source = s.source(l)
			sources[l.target.ID] = source
		}
		if source.Slow || source.Leaving || source.Replaced {
			s.decideMove(l, source)
		}
	}
	return true
}

// source returns the source of a run. The mutex is held.
func (s *Server) source(l *liveRun) move.Source {
	now, d := s.Clock.Now(), s.Directory()
	l.criteria.Targets = d.Usable(l.target.Service)
	source := move.Source{Standing: s.placement.StandingOf(now, l.criteria, l.target)}
	listed, ok := d.Find(l.target.ID)
	source.Leaving = ok && !d.Accepts(listed) || s.admission().Hold(now, l.target).Reason == place.TargetLeaving
	source.Replaced = s.Replacer != nil && s.Replacer.Leaving(now, l.target)
	return source
}

// decideMove starts the move of a run, if the policy decides on one. The mutex is held.
func (s *Server) decideMove(l *liveRun, source move.Source) {
	now, c := s.Clock.Now(), l.criteria
	regular, _ := s.Rollouts.Split(now, l.target.Service, s.Directory().Usable(l.target.Service))
	c.Targets, c.Tried = regular, []string{l.target.ID}
	r := l.progress()
	r.Nodes, r.Draw = s.nodeCount(), s.Random.Uint64()
	d, ok := s.moves.policy.Move(now, r, source, s.placement.Survey(now, c))
	if !ok || !l.begin(d) {
		return
	}
	s.running.Add(1)
	go l.loop(source)
}

// mayMove reports whether no move of the run has begun and the attempt goes on.
func (l *liveRun) mayMove() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return !l.decided && !l.ended && l.tries < maxMoveTries
}

// progress returns the run as it is now.
func (l *liveRun) progress() move.Run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.run
}

// begin records the decision to move the run. It reports false if the attempt has ended.
func (l *liveRun) begin(d move.Decision) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.ended {
		return false
	}
	l.decision, l.decided = d, true
	l.tries++
	return true
}

// recordEvents records that a number of events has arrived.
func (l *liveRun) recordEvents(now time.Time, count int) {
	if count == 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.run.FirstEvent.IsZero() {
		l.run.FirstEvent = now
	}
	l.run.LastEvent = now
	l.run.Events += count
}

// loop moves the run as decided, logs the outcome and frees what is not used.
func (l *liveRun) loop(source move.Source) {
	s := l.exchange.server
	defer s.running.Done()
	began := s.Clock.Now()
	outcome := l.move()
	s.countMove(l.decision.Reason.String(), outcome)
	r := l.progress()
	s.Log.WithFields(logrus.Fields{
		"request": l.exchange.id, "source": l.target.ID, "destination": l.decision.Destination.ID, "action": l.decision.Action.String(),
		"reason": l.decision.Reason.String(), "outcome": outcome, "events": r.Events, "prompt_tokens": r.PromptTokens, "slowdown": source.Factor,
		"stay_ms": l.decision.Stay.Milliseconds(), "elsewhere_ms": l.decision.Elsewhere.Milliseconds(), "ms": s.Clock.Now().Sub(began).Milliseconds(),
	}).Info("moved a run")
	if !l.hasCopy() {
		s.freed(r.ID, false)
	}
	if result, unused := l.finish(); unused {
		s.freeHandle(l.target, l.decision.Destination, result)
	}
}

// finish records that the move has ended. It returns the result, and true if there is a copy
// that must be freed since discardResult was called before. A run that was not told to stop
// may be moved again.
func (l *liveRun) finish() (stopResult, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.stopping {
		l.decided = l.restarted
		return stopResult{}, false
	}
	l.finished = true
	close(l.done)
	return l.result, l.unwanted && l.result.handle != ""
}

// hasCopy reports whether the run was stopped and there is a copy of it.
func (l *liveRun) hasCopy() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.result.handle != ""
}

// discardResult records that the result of the stop is not used. It returns the result, and
// true if there is a copy that must be freed.
func (l *liveRun) discardResult() (stopResult, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.unwanted = true
	return l.result, l.finished && l.result.handle != ""
}

// freeHandle frees a copy that is not used: at the destination and, as the run may have
// been stopped there, at the source.
func (s *Server) freeHandle(source, destination site.Target, result stopResult) {
	if result.copied {
		s.free(destination, result.handle)
	}
	if result.known {
		s.free(source, result.handle)
	}
}

// move moves the run and returns the outcome for logs and metrics.
func (l *liveRun) move() string {
	if l.decision.Action == move.Restart {
		return l.restart()
	}
	handle, outcome := l.copyAhead()
	if outcome == "" {
		outcome = l.prepareStop()
	}
	s := l.exchange.server
	if outcome != "" {
		if handle != "" {
			s.free(l.decision.Destination, handle)
		}
		return outcome
	}
	result := s.stopRun(s.moves.context, l.target, l.exchange.id, l.decision.Destination)
	l.mutex.Lock()
	l.result = result
	l.mutex.Unlock()
	switch {
	case !result.known:
		return "unknown"
	case result.handle == "":
		return "no_run"
	}
	l.cancel() // The source has stopped; what it has sent since the last event is sent again.
	if !result.copied {
		return "stopped_at_source"
	}
	return "stopped"
}

// restart cancels the attempt, so that the request is sent elsewhere, unless an event has
// arrived meanwhile.
func (l *liveRun) restart() string {
	if !l.takeRetry() {
		return "no_budget"
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.ended || l.run.Events > 0 {
		return "ended_before"
	}
	l.restarted = true
	l.cancel()
	return "canceled"
}

// takeRetry charges the retry budget for the attempt that follows, before the run is
// stopped: it would be lost otherwise.
func (l *liveRun) takeRetry() bool {
	s := l.exchange.server
	return s.takeRetry(l.target.Service, s.Clock.Now())
}

// copyAhead copies the run while it continues, so that little is left to copy once it has
// stopped. It returns the handle of the copy, and the outcome of the move if the copy has
// failed, an empty string otherwise.
func (l *liveRun) copyAhead() (handle, outcome string) {
	x := l.exchange
	ctx, cancel := context.WithTimeout(x.server.moves.context, maxCopyTime)
	defer cancel()
	l.mutex.Lock()
	l.cancelCopy = cancel
	ended := l.ended
	l.mutex.Unlock()
	if ended {
		return "", "ended_before"
	}
	r, err := x.server.Mover.Copy(ctx, l.target, x.id, l.decision.Destination, false)
	if err != nil {
		x.server.Log.WithFields(logrus.Fields{"request": x.id, "source": l.target.ID, "destination": l.decision.Destination.ID, "error": err.Error()}).Info("failed to copy a run")
		return "", "copy_failed"
	}
	if r.State != move.CopyMade {
		return r.Handle, r.State.String()
	}
	return r.Handle, ""
}

// prepareStop charges the retry budget for the attempt that follows, and records that the
// source is told to stop the run. It returns the outcome of the move if the run must not be
// stopped, and an empty string otherwise.
func (l *liveRun) prepareStop() string {
	if !l.takeRetry() {
		return "no_budget"
	}
	if !l.beginStop() {
		return "ended_before"
	}
	return ""
}

// beginStop records that the source is told to stop the run. It reports false if the
// attempt has ended.
func (l *liveRun) beginStop() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.ended {
		return false
	}
	l.stopping = true
	return true
}

// endLive ends the watch of the current attempt. Err is the error of the attempt. If the run
// was stopped or canceled to move it, endLive returns a *movedError instead. Ctx is the context
// of the request.
func (x *exchange) endLive(ctx context.Context, err error) error {
	l := x.copies.live
	if l == nil {
		return err
	}
	x.copies.live = nil
	s := x.server
	s.mutex.Lock()
	delete(s.moves.live, l)
	if err == nil && !l.wasSlow(s) {
		s.moves.policy.Ended(l.progress())
	}
	s.mutex.Unlock()
	if !l.end() {
		return x.restartError(ctx, l, err)
	}
	var written *clientWriteError
	if err != nil && !errors.As(err, &written) {
		select {
		case <-l.done:
		case <-ctx.Done():
		}
	}
	if err == nil || ctx.Err() != nil || errors.As(err, &written) {
		if result, unused := l.discardResult(); unused {
			s.freeHandle(l.target, l.decision.Destination, result)
		}
		return err
	}
	return x.stopError(l, err)
}

// stopError returns the error of an attempt whose run was told to stop, which may be why it
// has ended: that is neither a failure of the target nor evidence against the request. It
// returns err if the target is gone or the request has not run.
func (x *exchange) stopError(l *liveRun, err error) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	x.skipRetryCharge = true // The next attempt was charged before.
	if l.result.gone || l.result.handle == "" && fault.VerdictOf(err) == fault.NotRun {
		return err
	}
	return &movedError{
		cause:   fault.New(fault.TargetFailed, fault.MayHaveRun, "the run at %s was stopped to move it", l.target.ID),
		stopped: l.result, destination: l.decision.Destination,
	}
}

// hasBackupFrom reports whether the run has a backup that the given target makes.
func (x *exchange) hasBackupFrom(t site.Target) bool {
	return x.copies.backup.ID != "" && x.copies.backupSource == t.ID
}

// wasSlow reports whether the target of the run counts as slow, so that its pace is not the
// usual one. The mutex of the server is held.
func (l *liveRun) wasSlow(s *Server) bool {
	return s.placement.StandingOf(s.Clock.Now(), l.criteria, l.target).Slow
}

// end records that the attempt has ended, and ends the call that copies its run. It reports
// whether the source was told to stop the run.
func (l *liveRun) end() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ended = true
	if !l.stopping && l.cancelCopy != nil {
		l.cancelCopy()
	}
	return l.stopping
}

// restartError returns the error of an attempt that was canceled to begin again elsewhere,
// or err if it was not.
func (x *exchange) restartError(ctx context.Context, l *liveRun, err error) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.restarted || err == nil || ctx.Err() != nil || fault.From(err).Kind != fault.Canceled {
		return err
	}
	x.skipRetryCharge = true
	return &movedError{cause: fault.New(fault.TargetFailed, fault.MayHaveRun, "the run at %s was canceled because the target is slow", l.target.ID)}
}
