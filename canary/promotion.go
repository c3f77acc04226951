package canary

import "time"

// step is a share of the promotion and how long it holds.
type step struct {
	share float64
	time  time.Duration
}

// promotingSteps returns the shares that follow each other within promotionTime. With the
// first one, a few of the new targets bear what each of them bears at the end; it lasts until
// their responses have been reported. The second one is for versions that are not proven.
func promotingSteps(fresh int) []step {
	first := firstShare
	if fresh > 1 {
		first = float64(canaryTargetCount(fresh, firstShare)) / float64(fresh)
	}
	return []step{{share: first, time: 1100 * time.Millisecond}, {share: 0.4}, {share: provenShare, time: 600 * time.Millisecond}, {share: 1}}
}

// deadline returns the time at which the status must have been written.
func (m *Machine) deadline() time.Time { return m.firstSeen.Add(m.order.Span - visibleTime) }

// promotionStart returns the time at which promotion starts at the earliest: late enough
// that a version that fails only later is found, and early enough that the version has
// taken over by the deadline.
func (m *Machine) promotionStart() time.Time {
	lead := max(minLead, min(m.order.Span/4, maxLead))
	if window := m.order.Span - visibleTime - lead; m.cap()*m.reports.rate()*window.Seconds() < thinResponses {
		return m.deadline().Add(-min(lead+thinLead, m.order.Span*3/4))
	}
	return m.deadline().Add(-min(lead, m.order.Span*3/5))
}

// cap returns the highest share that is granted before the version is good.
func (m *Machine) cap() float64 { return m.Settings.Share * (1 - reservedPart) }

// start begins to observe once there is a new target, or continues the promotion of an
// earlier owner.
func (m *Machine) start(now time.Time) []Action {
	if m.reports.returned() {
		m.finding.Reason = "the version had the requests before the order"
		return m.move(now, Promoting, 1)
	}
	if len(m.fresh) == 0 || len(m.reports.nodes) == 0 {
		return nil
	}
	if share := m.reports.promoted; share > 0 {
		return m.resumePromotion(now, share) // An earlier owner has found that the version is good.
	}
	return m.move(now, Observing, m.cap()*lowPart)
}

// resumePromotion continues with the share that another owner granted, which may have
// exceeded the limit for bad versions only with a proof.
func (m *Machine) resumePromotion(now time.Time, share float64) []Action {
	actions := m.move(now, Promoting, share)
	m.proven = share >= provenShare
	return actions
}

// observe raises the share in steps while nothing speaks against the version, and starts
// its promotion when it is good and late enough.
func (m *Machine) observe(now time.Time) []Action {
	if len(m.fresh) == 0 {
		return m.move(now, Waiting, 0)
	}
	if share := m.reports.promoted; share > 0 {
		return m.resumePromotion(now, share) // Another owner has found that the version is good.
	}
	start := m.promotionStart()
	late := m.deadline().Add(-lastLead)
	observed := now.Sub(m.phaseSince) >= minObservation
	if m.finding.Verdict == Good && observed && !now.Before(start) && !now.After(late) {
		return m.move(now, Promoting, promotingSteps(len(m.fresh))[0].share)
	}
	share, _, _ := m.observingShare(now)
	return m.move(now, Observing, share)
}

// observingShare returns the share while the version is observed, and when it changes. The
// nodes save up canary requests while it is low and send them when it is high, at the rate
// at which the canary targets bear the load of old ones. A version that fails only under
// load fails in each of these pulses, which a single burst of failures does not.
func (m *Machine) observingShare(now time.Time) (share, next float64, in time.Duration) {
	part := 1.0
	if len(m.old) > 0 {
		full := float64(canaryTargetCount(len(m.fresh), m.cap())) / float64(len(m.old))
		part = max(minPulsePart, min(m.cap()/full, 1))
	}
	high, low := m.cap(), m.cap()*lowPart
	if m.overdue(now) {
		return 0, 0, 0
	}
	if first := firstStep - now.Sub(m.phaseSince); first > 0 {
		return low, high, first
	}
	last := m.promotionStart().Add(-reportDelay)
	if part == 1 || m.judge.responses() < goodSamples || !now.Before(last) { // There is nothing to save up, or no time.
		return high, high, 0
	}
	pulse := max(minPulse, min(time.Duration(part/3*float64(m.promotionStart().Sub(m.firstSeen))), maxPulse))
	period := time.Duration(float64(pulse) / part)
	left := last.Sub(now) % period
	if left > pulse {
		return low, high, left - pulse
	}
	return high, low, left
}

// promote raises the share to one in steps, while nothing speaks against the version and a
// bad one would keep to the limit or the version is proven. Otherwise it pauses, so that the
// responses in flight may decide. A version in doubt for long, or without a proof when it is
// too late to take over, is observed again.
func (m *Machine) promote(now time.Time) []Action {
	if m.reports.returned() {
		return nil
	}
	if m.finding.Verdict != Good {
		return m.doubt(now)
	}
	late := m.deadline().Add(-settleTime)
	m.proven = m.proven || m.proves()
	switch {
	case m.proven && m.share >= 1:
		return nil
	case m.proven && now.After(late.Add(-recordTime)):
		return m.move(now, Promoting, 1) // There is no time for steps.
	case m.proven:
	case m.share < 1 && now.After(late):
		return m.move(now, Observing, m.cap()*lowPart)
	case m.mayExceedLimit(now, m.share, pauseSlack):
		return m.pause(now)
	}
	return m.nextStep(now)
}

// doubt handles a promotion while something speaks against the version.
func (m *Machine) doubt(now time.Time) []Action {
	late := m.share < 1 && !m.proven && now.After(m.deadline().Add(-settleTime))
	switch {
	case now.Sub(m.shareSince) > doubtTime, late, m.overdue(now):
		return m.move(now, Observing, m.cap()*lowPart)
	case m.mayExceedLimit(now, m.share, plannedSlack):
		return m.pause(now)
	}
	return nil
}

// pause lowers the share of a promotion to that of a version that may be bad.
func (m *Machine) pause(now time.Time) []Action {
	m.proven = false
	return m.move(now, Promoting, min(m.share, m.cap()))
}

// nextStep raises the share of the promotion when its present step has lasted long enough.
func (m *Machine) nextStep(now time.Time) []Action {
	held := now.Sub(m.shareSince)
	remaining := m.deadline().Sub(m.phaseSince) - settleTime - recordTime
	scale := float64(max(minPromotionTime, min(remaining, promotionTime))) / float64(promotionTime)
	for _, s := range promotingSteps(len(m.fresh)) {
		switch {
		case s.share == m.share && float64(held) < scale*float64(s.time):
			return nil
		case s.share <= m.share || m.proven && s.share < provenShare:
		case !m.proven && m.mayExceedLimit(now, s.share, plannedSlack):
			return nil
		default:
			return m.move(now, Promoting, s.share)
		}
	}
	return nil
}

// overdue reports whether the version has had so many bad responses that nothing may be sent
// to it soon, and it is still not known that it is good.
func (m *Machine) overdue(now time.Time) bool {
	return m.finding.Verdict != Good && !m.manyBadAt.IsZero() && now.Sub(m.manyBadAt) > m.Settings.RollbackTime-stopTime
}

// mayExceedLimit reports whether a bad version would exceed the exposure limit if it got a
// share of the requests until the nodes react to its responses. Slack is the part of
// Settings.Slack that the limit includes.
func (m *Machine) mayExceedLimit(now time.Time, share, slack float64) bool {
	rate := m.reports.rate()
	average := float64(m.reports.sent) / max(1, (now.Sub(m.firstSeen)-reportAge).Seconds())
	expected := float64(m.reports.sent) + min(rate, average)*max(0, m.deadline().Sub(now).Seconds())
	return float64(m.reports.canaries)+share*rate*reactionTime.Seconds() > m.Settings.Share*expected+m.Settings.Slack*slack
}

// proves reports whether the responses suffice to give the version more than a bad one may
// get: targets have borne the load of the first step, and no large group of requests is
// likely to fail often. At traffic that the slack covers, and with few targets, load cannot
// be measured within the limit, and the groups have too few responses.
func (m *Machine) proves() bool {
	fresh, rate := len(m.fresh), m.reports.rate()
	if fresh == 0 {
		return false
	}
	if fresh <= fewTargets || rate*reactionTime.Seconds() <= m.Settings.Slack/2 {
		return m.judge.excludesFailures(1, m.excluded)
	}
	share := promotingSteps(fresh)[0].share
	load := min(1/float64(fresh), share/float64(canaryTargetCount(fresh, share)))
	wanted := min(provenResponses, share*rate*provenTime.Seconds())
	return float64(m.judge.loaded(load, m.excluded)) >= wanted && m.judge.excludesFailures(largeGroup, m.excluded)
}

// takenOver reports whether nearly all new work has gone to the new version for a second,
// and few requests run on the old one or have had the time until shortly before the deadline.
func (m *Machine) takenOver(now time.Time) bool {
	return m.phase == Promoting && m.share >= 1 && !now.Before(m.gatherUntil) && now.Sub(m.shareSince) >= settleTime &&
		(m.reports.returned() || m.drained(now) || !now.Before(m.completion())) && m.reports.moved(now)
}

// drained reports whether few requests still run on the old version. It takes effect only in
// the last part of a long span: the nodes of another owner, which this one does not know,
// may follow later.
func (m *Machine) drained(now time.Time) bool {
	runs, known := m.reports.oldRuns(now)
	return known && runs <= fewRuns && !now.Before(m.deadline().Add(followTime-m.order.Span/drainedPart))
}

// completion returns the time at which a version that has taken over is recorded as
// complete although requests run on the old one.
func (m *Machine) completion() time.Time {
	return m.deadline().Add(-max(recordTime, min(m.order.Span/20, 5*time.Second)))
}
