package warm

import "time"

// Finish counts the end of a call at now. The epoch is the one at its start.
func (t *Target) Finish(now time.Time, epoch int, outcome Outcome) {
	t.settle(now)
	t.peak.see(now, t.running)
	t.running = max(0, t.running-1)
	t.lastUse = now
	switch outcome.Kind {
	case Succeeded:
		t.succeed(now, epoch, outcome)
	case Failed:
		t.fail(now)
	case Overloaded:
		t.refuse(now, epoch)
	case Crashed:
		t.crash(now, epoch)
	case Silent:
		t.assumeStillRunning(now, outcome.Latency)
		t.countSilence(now, outcome.Latency)
	case Canceled:
		t.giveUp(now, epoch, outcome)
	}
}

// assumeStillRunning assumes that a call which was given up for silence may still run on
// the target, as long as calls may take there from their start.
func (t *Target) assumeStillRunning(now time.Time, elapsed time.Duration) {
	if left := t.Settings.absent() - elapsed; left > 0 {
		t.assume(now, t.foreign+1, left)
	}
}

// countSilence counts a silent call as a failure. Calls that were under way when the
// last one was found silent share its cause, a lost connection: the target is
// at fault only if a call is silent that began later.
func (t *Target) countSilence(now time.Time, elapsed time.Duration) {
	if now.Add(-elapsed).Before(t.silentAt) {
		return
	}
	t.silentAt = now
	t.fail(now)
}

// giveUp takes in that a call had not ended after a time: it would have taken
// longer. It says nothing if calls usually take longer.
func (t *Target) giveUp(now time.Time, epoch int, outcome Outcome) {
	if outcome.Latency > t.Latency(now) {
		t.latency.add(now, outcome.Latency)
	}
	if epoch != t.epoch || t.phase == Cold || outcome.FirstToken > 0 {
		return
	}
	if t.first.ratio(outcome.Latency) > 1 {
		t.first.add(outcome.Latency)
		t.adapt(now, t.first.excess(), outcome.Latency)
	}
}

// FirstToken takes in the latency of a first token while its call still runs.
func (t *Target) FirstToken(now time.Time, epoch int, latency time.Duration) {
	if epoch == t.epoch && t.phase != Cold && t.first.ratio(latency) > coldRatio {
		t.MarkCold(now, Slow)
	}
}

// StreamSlowed takes in that the tokens of a running call come far slower than before.
func (t *Target) StreamSlowed(now time.Time, epoch int) {
	if epoch == t.epoch && t.phase != Cold {
		t.MarkCold(now, Slow)
	}
}

func (t *Target) succeed(now time.Time, epoch int, outcome Outcome) {
	t.failures = 0
	t.latency.add(now, outcome.Latency)
	if epoch != t.epoch {
		return
	}
	t.backoff = 0
	t.probing = false
	first := outcome.FirstToken
	if first <= 0 {
		first = outcome.Latency
	}
	t.FirstToken(now, epoch, first)
	if epoch != t.epoch {
		return
	}
	if t.phase == Cold {
		t.prove(max(t.first.ratio(first), t.between.ratio(outcome.pace())))
		return
	}
	t.first.add(first)
	t.between.add(outcome.pace())
	t.adapt(now, max(t.first.excess(), t.between.excess()), outcome.Latency)
}

// prove counts an answer of a cold target and ends the cold start after enough
// of them. Slow answers count as well once there are many, since the norm may
// have moved.
func (t *Target) prove(ratio float64) {
	t.answers++
	if ratio <= congestedRatio {
		t.proofs++
	}
	need := t.Settings.WarmUpCalls
	if t.proofs >= need || t.answers >= 4*need {
		t.phase = SlowStart
	}
}

// adapt moves the limit of a warm target by one answer.
func (t *Target) adapt(now time.Time, ratio float64, latency time.Duration) {
	if ratio > congestedRatio {
		t.shrink(now, latency)
		return
	}
	if t.running+1 < int(t.limit) {
		return // The limit was not in use: the answer says nothing about it.
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

// shrink lowers the limit at most once in the time of one call. If latency is
// high at the lowest limit already, the load is not its cause: it is the norm now.
func (t *Target) shrink(now time.Time, latency time.Duration) {
	if now.Sub(t.lastShrink) < latency {
		return
	}
	t.lastShrink = now
	t.phase = Warm
	if t.limit <= float64(t.Settings.ColdLimit) {
		t.first.accept()
		t.between.accept()
		return
	}
	t.limit = max(float64(t.Settings.ColdLimit), t.limit*shrinkFactor)
	t.threshold = t.limit
}

func (t *Target) fail(now time.Time) {
	t.failures++
	if t.failures >= failureStreak {
		t.MarkCold(now, Broken)
		t.back(now)
	}
}

func (t *Target) refuse(now time.Time, epoch int) {
	t.failures++
	if epoch != t.epoch {
		return
	}
	t.MarkCold(now, Refused)
	if t.failures >= failureStreak {
		t.back(now)
	}
}

func (t *Target) crash(now time.Time, epoch int) {
	if epoch != t.epoch && t.probing {
		return // One crash ends several calls: it counts once.
	}
	t.MarkCold(now, Reset)
	t.back(now)
	t.probing = true
}

// back keeps calls away from the target for a time that doubles.
func (t *Target) back(now time.Time) {
	t.backoff = min(longestBackoff, max(firstBackoff, 2*t.backoff))
	t.notBefore = now.Add(t.backoff)
}

// silenceFactor is the multiple of the usual time to the first token after which
// a warm target counts as silent.
const silenceFactor = 12

// FirstByteTimeout returns the time in which a warm target must begin its answer, zero
// while the usual time is not known or the target is cold.
func (t *Target) FirstByteTimeout() time.Duration {
	if t.phase == Cold || !t.first.known() {
		return 0
	}
	return time.Duration(silenceFactor * max(t.first.usual, t.first.recent))
}
