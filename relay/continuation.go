package relay

import (
	"context"
	"errors"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/site"
)

// origin is a copy from which a run can go on.
type origin struct {
	target  site.Target // To which the request is sent.
	copy    string      // Identifies the copy, for the field CopyFrom.
	kind    string      // Backup, migration or source, for logs and metrics.
	returns bool        // The target is the one that stopped the run.
	gone    bool        // The source has ended; the route's limit of attempts does not apply then.
}

// continueRun continues a run that was stopped at its target, or whose target is lost, from a
// copy. Err is the error of the attempt at that target. It is returned if there is no copy or
// no target accepts the run. The error of a continuation never has the verdict NotRun.
func (x *exchange) continueRun(ctx context.Context, source site.Target, err error) error {
	for {
		origins := x.origins(ctx, source, err)
		next, failure, ran := x.tryOrigins(ctx, origins)
		if !ran {
			x.freeOrigins(origins)
			return err
		}
		if failure == nil {
			return nil
		}
		x.runs++
		source, err = next, fault.From(failure).WithVerdict(fault.MayHaveRun)
		if isMoved(failure) {
			err = failure
		}
	}
}

// origins returns the copies from which a run can go on after an attempt has failed, the
// best first. There are none unless the run has ended at the source.
func (x *exchange) origins(ctx context.Context, source site.Target, err error) []origin {
	s := x.server
	var written *clientWriteError
	if s.Mover == nil || errors.As(err, &written) || x.headerSent && x.lastEventID == noEventID {
		return nil
	}
	backed := x.hasBackupFrom(source)
	var moved *movedError
	state, destination := stopResult{}, site.Target{}
	switch e := fault.From(err); {
	case errors.As(err, &moved):
		state, destination = moved.stopped, moved.destination
	case e.Kind == fault.ConnectionLost && e.Verdict != fault.NotRun && backed:
		destination = x.copies.backup
		state = x.askSource(ctx, source)
		x.logLoss(source, state)
	}
	if !state.known {
		return nil
	}
	var list []origin
	copyID := source.Address + "/" + state.handle
	if state.handle != "" && state.copied {
		list = append(list, origin{target: destination, copy: copyID, kind: "migration"})
	}
	if state.handle != "" {
		list = append(list, origin{target: source, copy: copyID, kind: "source", returns: true})
	}
	if backed {
		list = append(list, origin{target: x.copies.backup, copy: x.copies.backup.Address + "/" + x.id, kind: "backup", gone: state.gone})
	}
	return list
}

// askSource finds out whether a run with a backup has ended at its target, after the
// connection to it was lost. It stops the run if it can. A target that can't move runs has
// ended it only if the target itself is gone.
func (x *exchange) askSource(ctx context.Context, source site.Target) stopResult {
	state := x.server.stopRun(ctx, source, x.id, x.copies.backup)
	service, _ := x.config.Service(x.service)
	if !service.Engine.Moves && !state.gone {
		return stopResult{}
	}
	return state
}

// freeOrigins frees the copies that no target has used. The backup is freed at the end of
// the request.
func (x *exchange) freeOrigins(origins []origin) {
	for _, o := range origins {
		if _, handle, ok := strings.Cut(o.copy, "/"); ok && o.kind != "backup" {
			x.server.free(o.target, handle)
		}
	}
}

// logLoss logs what is known of a run after the connection to its target was lost.
func (x *exchange) logLoss(source site.Target, state stopResult) {
	x.server.Log.WithFields(logrus.Fields{
		"request": x.id, "target": source.ID, "backup": x.copies.backup.ID, "ended": state.known, "target_gone": state.gone, "copied": state.handle != "",
	}).Info("run with a backup is lost")
}

// tryOrigins sends the request to the targets of the copies until one may have run it. It
// returns that target and the error of its attempt, and false if none has.
func (x *exchange) tryOrigins(ctx context.Context, origins []origin) (site.Target, error, bool) {
	for _, o := range origins {
		err := x.admitContinuation(ctx, o)
		if err == nil {
			err = x.rerunStages(ctx) // Targets require their results, although they do not read the prompt again.
		}
		if err == nil {
			err = x.attemptFrom(ctx, o)
		}
		x.recordContinuation(o, err)
		if err == nil || fault.VerdictOf(err) != fault.NotRun && !unsent(err) {
			return o.target, err, true
		}
	}
	return site.Target{}, nil, false
}

// admitContinuation returns an error if a run must not continue from a copy. Otherwise it
// charges the retry budget.
func (x *exchange) admitContinuation(ctx context.Context, o origin) error {
	if ctx.Err() != nil || x.timeLeft() <= 0 {
		return fault.New(fault.DeadlineExceeded, fault.NotRun, "no time is left")
	}
	if !o.gone && !o.returns && !x.allowsAttempt() {
		return fault.New(fault.Busy, fault.NotRun, "the route allows no further attempt")
	}
	if !o.returns && !x.accepts(o.target) {
		return fault.New(fault.Busy, fault.NotRun, "target %s must not get the run", o.target.ID)
	}
	if err := x.checkQuarantine(); err != nil {
		return err
	}
	if !x.takeAttempt() {
		return fault.New(fault.Busy, fault.NotRun, "the budget for retries to %s is spent", x.service)
	}
	return nil
}

// accepts reports whether a target may get the run now: it accepts new work, is not held,
// and neither its warm-up nor a rollout keeps the run from it.
func (x *exchange) accepts(t site.Target) bool {
	s := x.server
	now := s.Clock.Now()
	targets := x.regularTargets(now)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c := x.criteria(nil)
	c.Targets = targets
	return s.placement.Accepts(now, c, t)
}

// attemptFrom sends the request to the target of a copy.
func (x *exchange) attemptFrom(ctx context.Context, o origin) error {
	x.usable = x.server.Directory().Usable(x.service)
	if o.returns && !slices.ContainsFunc(x.usable, func(t site.Target) bool { return t.ID == o.target.ID }) {
		x.usable = append(slices.Clone(x.usable), o.target) // It is not listed as usable while it drains.
	}
	x.copies.from, x.copies.returns, x.copies.continued = o.copy, o.returns, true
	x.server.freed(x.copies.key, o.kind == "backup") // It is used now, or of no further use.
	err := x.attempt(ctx, o.target, false)
	x.copies.from, x.copies.returns = "", false
	if unsent(err) {
		x.discountAttempt()
	}
	return err
}

// recordContinuation counts and logs how an attempt from a copy has ended.
func (x *exchange) recordContinuation(o origin, err error) {
	outcome := "completed"
	fields := logrus.Fields{"request": x.id, "target": o.target.ID, "copy": o.copy, "kind": o.kind, "last_event": x.lastEventID, "sends": x.attempts}
	if err != nil {
		outcome = "failed"
		if fault.VerdictOf(err) == fault.NotRun || unsent(err) {
			outcome = "not_run"
		}
		fields["error"] = err.Error()
	}
	fields["outcome"] = outcome
	x.server.countMove("continuation_"+o.kind, outcome)
	x.server.Log.WithFields(fields).Info("continued a run from a copy")
}
