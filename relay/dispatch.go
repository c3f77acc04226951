package relay

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"bergamotworks/fault"
	"bergamotworks/site"
)

const (
	// maxRejections is the number of targets that may reject a request or not
	// respond to a connect; after a further one the client is told to retry later.
	// Targets whose host refuses the connection at once do not count.
	maxRejections = 3
	// noTargetRetryAfter is the retry delay sent to clients if no target
	// accepts the request.
	noTargetRetryAfter = 400 * time.Millisecond
	// noTargetPollInterval is the wait before the next search for a free
	// target.
	noTargetPollInterval = 50 * time.Millisecond
	// maxPriority is the least urgent priority that is sent to targets.
	maxPriority      = 9
	headerConnection = "connection"

	headerContentType   = "Content-Type"
	headerContentLength = "Content-Length"
)

// dispatch sends the request to one target after another until one has
// responded or no further attempt is allowed.
func (x *exchange) dispatch(ctx context.Context) error {
	var tried []string
	rejections := 0
	var unknownOutcome error // Last failure after which the request may have run.
	for {
		t, err := x.nextTarget(ctx, tried, unknownOutcome)
		if err != nil {
			return err
		}
		if err := x.prepareAttempt(ctx, unknownOutcome); err != nil {
			return err
		}
		err = x.attemptOrContinue(ctx, t)
		if err == nil {
			return nil
		}
		if x.headerSent && !x.canResume(err) {
			return err
		}
		if unsent(err) {
			x.discountAttempt()
			continue
		}
		if fault.From(err).Kind != fault.Expired { // Otherwise the target is not to blame.
			tried = append(tried, t.ID)
		}
		if fault.VerdictOf(err) == fault.NotRun {
			if !refusedConnect(err) {
				rejections++
			}
			if rejections > maxRejections {
				return x.noTargetError(unknownOutcome)
			}
			if err := x.afterRejection(ctx, err); err != nil {
				return cmp.Or(unknownOutcome, err)
			}
			continue
		}
		unknownOutcome = err
		x.runs++
		if !x.route.Retryable() || x.runs >= max(1, x.route.MaxAttempts) {
			return err
		}
	}
}

// attemptOrContinue sends the request to a target, and goes on with its run from a copy if
// that is possible once the run has ended there.
func (x *exchange) attemptOrContinue(ctx context.Context, t site.Target) error {
	err := x.attempt(ctx, t, x.runs+1 < max(1, x.route.MaxAttempts))
	if err == nil {
		return nil
	}
	return x.continueRun(ctx, t, err)
}

// nextTarget chooses the target of the next attempt and waits for one as long as
// that may help. UnknownOutcome is the last failure after which the request may
// have run.
func (x *exchange) nextTarget(ctx context.Context, tried []string, unknownOutcome error) (site.Target, error) {
	for {
		if ctx.Err() != nil || x.timeLeft() <= 0 {
			return site.Target{}, x.deadlineError(unknownOutcome)
		}
		if t, ok := x.chooseTarget(tried); ok {
			return t, nil
		}
		if err := x.heldError(tried); err != nil {
			return site.Target{}, cmp.Or(unknownOutcome, err)
		}
		if !x.waitForTarget(ctx) {
			return site.Target{}, x.noTargetError(unknownOutcome)
		}
	}
}

// heldError returns the error of a request for which only targets are left that leave
// or have asked to wait, nil if there are others. The retry delay is the shortest of
// their times, unless one of the targets that have been tried may be free earlier.
func (x *exchange) heldError(tried []string) error {
	admission := x.server.admission()
	if admission.Empty() {
		return nil
	}
	now := x.server.Clock.Now()
	usable := x.regularTargets(now)
	untried := slices.DeleteFunc(slices.Clone(usable), func(t site.Target) bool { return slices.Contains(tried, t.ID) })
	if _, held := admission.AllHeld(now, untried); !held {
		return nil
	}
	retryAfter, all := admission.AllHeld(now, usable)
	if !all {
		retryAfter = noTargetRetryAfter
	}
	x.server.counters.allHeld.Inc()
	return fault.New(fault.Busy, fault.NotRun, "the targets of %s that are left leave or have asked to wait", x.service).WithRetryAfter(retryAfter)
}

// afterRejection prepares the attempt after one that has not run. If a result that
// the request reads is gone, the stages run again. It returns an error if there may
// be no further attempt.
func (x *exchange) afterRejection(ctx context.Context, err error) error {
	e := fault.From(err)
	x.skipRetryCharge = e.Kind == fault.Unavailable // The attempt reached no target.
	if e.Kind == fault.Expired {
		return x.remakeInputs(ctx, err)
	}
	return nil
}

// prepareAttempt checks whether the request has been quarantined meanwhile, charges
// the retry budget for the next attempt and runs the stages again if their results
// are needed. UnknownOutcome is the last failure after which the request may have
// run.
func (x *exchange) prepareAttempt(ctx context.Context, unknownOutcome error) error {
	if err := x.checkQuarantine(); err != nil {
		return cmp.Or(unknownOutcome, err)
	}
	if !x.takeAttempt() {
		return x.retryBudgetError(unknownOutcome)
	}
	return x.rerunStages(ctx)
}

// discountAttempt removes an attempt that was not sent from the count. The next one is not
// charged either.
func (x *exchange) discountAttempt() {
	x.attempts--
	x.skipRetryCharge = true
}

// takeAttempt reports whether another attempt is allowed. Attempts after the
// first are charged to the retry budget, unless skipRetryCharge is set.
func (x *exchange) takeAttempt() bool {
	if x.attempts == 0 || x.skipRetryCharge {
		x.skipRetryCharge = false
		return true
	}
	return x.server.takeRetry(x.service, x.server.Clock.Now())
}

// canResume reports whether an interrupted stream may continue at another
// target.
func (x *exchange) canResume(err error) bool {
	var writeErr *clientWriteError
	return x.route.Resumable && x.lastEventID != noEventID && !errors.As(err, &writeErr)
}

// waitForTarget waits for a moment before the next search for a target. It
// reports false if the latency target of the route has passed, the service has
// no targets or ctx is canceled.
func (x *exchange) waitForTarget(ctx context.Context) bool {
	now := x.server.Clock.Now()
	if now.Sub(x.arrived) > x.route.LatencyTarget || len(x.server.Directory().Usable(x.service)) == 0 {
		return false
	}
	if len(x.regularTargets(now)) == 0 && x.server.Rollouts.Ordered(x.service) {
		return false // Otherwise targets of a new version are held for a moment.
	}
	select {
	case <-ctx.Done():
		return false
	case <-x.server.Clock.After(noTargetPollInterval):
		return true
	}
}

// chooseTarget returns the best target that has not been tried, if there is
// one.
func (x *exchange) chooseTarget(tried []string) (site.Target, bool) {
	s := x.server
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.dropOldState()
	return x.choose(tried)
}

// choose returns the best target among those that the call may choose from. The mutex is
// held.
func (x *exchange) choose(tried []string) (site.Target, bool) {
	s := x.server
	now, c := s.Clock.Now(), x.criteria(tried)
	x.usable = c.Targets
	c.Targets = s.Rollouts.Select(now, x.service, x.usable)
	t, ok := s.placement.Choose(now, c)
	if ok || s.Rollouts == nil {
		return t, ok
	}
	c.Targets = s.Rollouts.Fallback(now, x.service, x.usable, c.Targets)
	return s.placement.Choose(now, c)
}

// deadlineError returns the error of a request that ran out of time.
func (x *exchange) deadlineError(unknownOutcome error) error {
	if unknownOutcome != nil {
		return fault.New(fault.DeadlineExceeded, fault.MayHaveRun, "out of time after: %s", unknownOutcome)
	}
	return fault.New(fault.DeadlineExceeded, fault.NotRun, "out of time before a target was found")
}

// noTargetError returns the error of a request that no target accepts;
// unknownOutcome takes precedence.
func (x *exchange) noTargetError(unknownOutcome error) error {
	if unknownOutcome != nil {
		return unknownOutcome
	}
	return fault.New(fault.Busy, fault.NotRun, "no target of %s takes the request", x.service).WithRetryAfter(noTargetRetryAfter)
}

// retryBudgetError returns the error of a request without a retry left;
// unknownOutcome takes precedence.
func (x *exchange) retryBudgetError(unknownOutcome error) error {
	if unknownOutcome != nil {
		return unknownOutcome
	}
	return fault.New(fault.Busy, fault.NotRun, "the budget for retries to %s is spent", x.service).WithRetryAfter(noTargetRetryAfter)
}
