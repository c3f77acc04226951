package warm

import "time"

// Finish records that a call finished at now. The epoch is the result of
// [Target.Epoch] after its start.
func (t *Target) Finish(now time.Time, epoch int, outcome Outcome) {
	t.advance(now)
	t.peak.observe(now, t.running)
	t.running = max(0, t.running-1)
	t.lastUse = now
	switch outcome.Kind {
	case Succeeded:
		t.recordSuccess(now, epoch, outcome)
	case Failed:
		t.recordFailure(now)
	case Overloaded:
		t.recordRejection(now, epoch)
	case Crashed:
		t.recordCrash(now, epoch)
	case TimedOut:
		t.assumeStillRunning(now, outcome.Latency)
		t.recordTimeout(now, outcome.Latency)
	case Canceled:
		t.recordCanceled(now, epoch, outcome)
	}
}

// assumeStillRunning assumes that a call that timed out may still run on the target,
// until the untracked timeout has passed since its start. The latency is the time
// from the start of the call until it timed out.
func (t *Target) assumeStillRunning(now time.Time, latency time.Duration) {
	if left := t.Settings.untrackedTimeout() - latency; left > 0 {
		t.assume(now, t.untracked+1, left)
	}
}

// recordTimeout counts a call that timed out as a failure of the target. It ignores
// a call that was already in flight when the last such call was counted: both may
// have timed out because of one lost connection. Only a call that started later
// counts as a further failure.
func (t *Target) recordTimeout(now time.Time, latency time.Duration) {
	if now.Add(-latency).Before(t.timedOutAt) {
		return
	}
	t.timedOutAt = now
	t.recordFailure(now)
}

// recordCanceled records the time after which a call was canceled as a lower bound
// of its latency. The time is ignored if calls usually take longer.
func (t *Target) recordCanceled(now time.Time, epoch int, outcome Outcome) {
	if outcome.Latency > t.Latency(now) {
		t.latency.add(now, outcome.Latency)
	}
	if epoch != t.epoch || t.phase == Cold || outcome.FirstToken > 0 {
		return
	}
	if t.firstToken.ratio(outcome.Latency) > 1 {
		t.firstToken.add(outcome.Latency)
		t.adjustLimit(now, t.firstToken.recentRatio(), outcome.Latency)
	}
}

// FirstToken records the time to the first token of a running call, which started
// at the given epoch. A time above coldRatio times the baseline makes the target
// cold.
func (t *Target) FirstToken(now time.Time, epoch int, latency time.Duration) {
	if epoch == t.epoch && t.phase != Cold && t.firstToken.ratio(latency) > coldRatio {
		t.MarkCold(now, Slow)
	}
}

// StreamSlowed records that the tokens of a running call arrive far more slowly
// than before, which makes the target cold.
func (t *Target) StreamSlowed(now time.Time, epoch int) {
	if epoch == t.epoch && t.phase != Cold {
		t.MarkCold(now, Slow)
	}
}

func (t *Target) recordSuccess(now time.Time, epoch int, outcome Outcome) {
	t.failures = 0
	t.latency.add(now, outcome.Latency)
	if epoch != t.epoch {
		return
	}
	t.backoff = 0
	t.probing = false
	firstToken := outcome.FirstToken
	if firstToken <= 0 {
		firstToken = outcome.Latency
	}
	t.FirstToken(now, epoch, firstToken)
	if epoch != t.epoch {
		return
	}
	if t.phase == Cold {
		t.recordColdResponse(max(t.firstToken.ratio(firstToken), t.interToken.ratio(outcome.interToken())))
		return
	}
	t.firstToken.add(firstToken)
	t.interToken.add(outcome.interToken())
	t.adjustLimit(now, max(t.firstToken.recentRatio(), t.interToken.recentRatio()), outcome.Latency)
}

// recordColdResponse counts a response of a cold target and ends the cold start
// after enough fast ones. Four times as many responses of any latency are enough
// as well, since the baseline may have changed.
func (t *Target) recordColdResponse(ratio float64) {
	t.responses++
	if ratio <= congestedRatio {
		t.fastResponses++
	}
	required := t.Settings.WarmUpCalls
	if t.fastResponses >= required || t.responses >= 4*required {
		t.phase = SlowStart
	}
}

// adjustLimit adjusts the limit of a target that is not cold after one response.
// The ratio is that of the recent latency to its baseline.
func (t *Target) adjustLimit(now time.Time, ratio float64, latency time.Duration) {
	if ratio > congestedRatio {
		t.lowerLimit(now, latency)
		return
	}
	if t.running+1 < int(t.limit) {
		return // The limit was not reached, so the response does not justify a higher one.
	}
	if t.phase == SlowStart && t.limit < t.threshold {
		t.limit++
	} else {
		t.phase = Warm
		t.limit += 1 / max(1, t.limit)
	}
	t.limit = min(t.limit, float64(t.Settings.WarmLimit))
	if t.limit >= float64(t.Settings.WarmLimit) {
		t.phase = Warm
	}
}

// lowerLimit lowers the limit, at most once per call latency. If the limit is at
// the cold limit already, load cannot be the cause of the latency, and the recent
// latency becomes the baseline.
func (t *Target) lowerLimit(now time.Time, latency time.Duration) {
	if now.Sub(t.loweredAt) < latency {
		return
	}
	t.loweredAt = now
	t.phase = Warm
	if t.limit <= float64(t.Settings.ColdLimit) {
		t.firstToken.rebase()
		t.interToken.rebase()
		return
	}
	t.limit = max(float64(t.Settings.ColdLimit), t.limit*decreaseFactor)
	t.threshold = t.limit
}

// recordFailure counts a failure. After failureStreak consecutive ones the target is
// cold and backs off.
func (t *Target) recordFailure(now time.Time) {
	t.failures++
	if t.failures >= failureStreak {
		t.MarkCold(now, RepeatedFailures)
		t.backOff(now)
	}
}

func (t *Target) recordRejection(now time.Time, epoch int) {
	t.failures++
	if epoch != t.epoch {
		return
	}
	t.MarkCold(now, Rejected)
	if t.failures >= failureStreak {
		t.backOff(now)
	}
}

// recordCrash makes the target cold and backs off. Until a call succeeds, the limit
// is one.
func (t *Target) recordCrash(now time.Time, epoch int) {
	if epoch != t.epoch && t.probing {
		return // One crash fails several calls but counts once.
	}
	t.MarkCold(now, ConnectionReset)
	t.backOff(now)
	t.probing = true
}

// backOff keeps calls away from the target for a time that doubles up to
// maxBackoff.
func (t *Target) backOff(now time.Time) {
	t.backoff = min(maxBackoff, max(minBackoff, 2*t.backoff))
	t.backoffUntil = now.Add(t.backoff)
}

// firstTokenFactor is the multiple of the usual time to the first token after which
// a call to a target that is not cold times out.
const firstTokenFactor = 12

// FirstByteTimeout returns the time within which the response to a call must start.
// It is zero if the target is cold or the baseline is not known.
func (t *Target) FirstByteTimeout() time.Duration {
	if t.phase == Cold || !t.firstToken.known() {
		return 0
	}
	return time.Duration(firstTokenFactor * max(t.firstToken.baseline, t.firstToken.recent))
}
