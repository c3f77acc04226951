package canary

import (
	"cmp"
	"slices"
	"time"

	"bergamotworks/site"
)

const (
	// reservedPart is the part of the share that is not granted. It covers requests that
	// are sent but do not reach the service.
	reservedPart = 0.1
	// visibleTime is the time from writing an order until a node has read it, and
	// recordTime that for writing the status.
	visibleTime, recordTime = 800 * time.Millisecond, 600 * time.Millisecond
	// settleTime is the time for which nearly all new work must go to the new version
	// before the order is complete: half a second until all nodes have the grant, and a
	// second thereafter.
	settleTime = 1600 * time.Millisecond
	// Promotion takes promotionTime, and minPromotionTime if it starts late. With the
	// time for settling and recording, it starts at least minLead and at most maxLead
	// before the deadline, if possible a quarter of the span, so that streams of the old
	// version can end.
	promotionTime, minPromotionTime = 2 * time.Second, 600 * time.Millisecond
	minLead, maxLead                = 4500 * time.Millisecond, 15 * time.Second
	lastLead                        = minPromotionTime + settleTime + recordTime
	// If so few requests are expected that fewer than thinResponses can be observed, the
	// promotion starts thinLead earlier: its first steps then show how the version responds,
	// within the limit.
	thinLead = 1500 * time.Millisecond
	// The share starts at lowPart of what is granted at most, for firstStep, and returns
	// to it between pulses, which take from minPulse to maxPulse and at least minPulsePart
	// of the time. The nodes get the share half a second apart. The last pulse ends
	// reportDelay before the promotion, so that its responses are known.
	lowPart            = 0.34
	minPulsePart       = 0.3
	firstStep          = 500 * time.Millisecond
	minPulse, maxPulse = 1200 * time.Millisecond, 4 * time.Second
	reportDelay        = 700 * time.Millisecond
	// minObservation is how long a version is observed before it may be good, unless
	// the deadline leaves less time.
	minObservation = 1500 * time.Millisecond
	// gatherTime is the time in which an owner that takes over an order receives the
	// reports of all nodes before it grants anything, and firstOwnerTime the age up to which an
	// order has had no other owner.
	gatherTime, firstOwnerTime = 700 * time.Millisecond, time.Second
	// doubtTime is how long doubts may last during the promotion before the version is
	// observed again. It is longer than a burst.
	doubtTime = 2500 * time.Millisecond
	// The promotion starts near firstShare. A share of provenShare and more needs a proof that
	// the version is good, unless a bad one would keep to the limit.
	firstShare, provenShare = 0.25, 0.6
	// With fewTargets or fewer, the first step has so large a share that the responses under
	// load of a proof exceed what a bad version may get; only failures are excluded then.
	fewTargets = 3
	// reactionTime is the time from a request until all nodes use the grant that follows from
	// its response: a report, an assessment and a grant.
	reactionTime = 1100 * time.Millisecond
	// The proof needs provenResponses under load, or those of provenTime at the first step if
	// there are few requests.
	provenResponses = 40
	provenTime      = 800 * time.Millisecond
	// reportAge is the mean age of what the nodes have reported.
	reportAge = 250 * time.Millisecond
	// The promotion of a version without a proof proceeds while a bad one would keep to the
	// share and the part plannedSlack of the slack. It pauses when a bad one would exceed the
	// part pauseSlack, and in doubt plannedSlack. The rest of the slack is for requests in
	// flight that an assessment misses.
	plannedSlack, pauseSlack = 0.4, 0.6
	// manyBad is the number of bad responses after which Settings.RollbackTime begins; a few
	// more may not be reported yet. The nodes know within stopTime that they must stop.
	manyBad  = 45
	stopTime = 1500 * time.Millisecond
	// decisionInterval is the shortest time between two assessments of the evidence.
	decisionInterval = 200 * time.Millisecond
	// pauseTime is the time between two events after which an owner has been paused.
	pauseTime = 1500 * time.Millisecond
	// announceTime is how long a verdict is announced again.
	announceTime = 3 * time.Second
	// movedShare is the part of the new work that goes to the new version when it has
	// taken over.
	movedShare = 0.95
	// fewRuns is the number of requests on the old targets that may be lost when an operator
	// stops them before the deadline requires it.
	fewRuns = 2
	// An order can be complete because few requests run on the old targets only in the last
	// part of its span: 1/drainedPart of it, less followTime. Earlier, the nodes of another
	// owner may still send requests to them.
	drainedPart = 8
	followTime  = 2 * time.Second
	// shortWindow is the time for observation up to which no allowances are kept for
	// later.
	shortWindow = 5 * time.Second
	// thinResponses is the number of responses of the new version up to which nodes get
	// allowances.
	thinResponses = 40
)

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

// Machine decides on one order. The zero value waits for an order.
type Machine struct {
	Settings Settings

	order       site.Rollout
	acceptedAt  time.Time // Time at which this owner read the order.
	firstSeen   time.Time // Time at which any node read it.
	lastStep    time.Time
	phase       Phase
	phaseSince  time.Time
	share       float64
	shareSince  time.Time
	gatherUntil time.Time
	old, fresh  []site.Target // Targets of other versions, and of the order's.
	reports     reports
	judge       Judge
	finding     Finding
	excluded    []string
	decidedAt   time.Time
	manyBadAt   time.Time // Time of the bad response after which the rollback time begins, as far as reported.
	proven      bool      // The promotion may exceed what a bad version may get.
	recorded    bool      // The state is recorded as this owner has written or read it.
	replyTo     string    // VM whose report the last Step handled; empty after any other event.
}

// Step handles an event and returns the actions that follow from it.
func (m *Machine) Step(now time.Time, e Event) []Action {
	m.replyTo = ""
	if m.opened() && now.Sub(m.lastStep) > pauseTime {
		m.resume(now)
	}
	m.lastStep = now
	switch e := e.(type) {
	case OrderSeen:
		return m.accept(now, e.Order)
	case OrderGone:
		return m.withdraw(now)
	case TargetsChanged:
		m.old, m.fresh = e.Old, e.New
	case StatusWritten:
		return m.record(now, e)
	case VerdictReceived:
		return m.applyVerdict(now, e)
	case ReportReceived:
		return m.receive(now, e.Report)
	case Tick:
		return append(m.repeat(now), m.tick(now)...)
	}
	return nil
}

// opened reports whether there is an order that is neither final nor withdrawn.
func (m *Machine) opened() bool { return m.order.ID() > 0 && m.phase < Complete }

// withdraw ends an order that has been removed, so that there is none to which a status
// could belong.
func (m *Machine) withdraw(now time.Time) []Action {
	open := m.opened()
	m.recorded = true
	if !open {
		return nil
	}
	return m.conclude(now, Withdrawn, "order removed")
}

// applyVerdict applies the verdict of another owner.
func (m *Machine) applyVerdict(now time.Time, e VerdictReceived) []Action {
	if !m.opened() || e.Order != m.order.ID() || e.Phase != RolledBack {
		return nil
	}
	return m.rollBack(now, "verdict of another owner")
}

// resume discards what an owner that was paused had planned: another one may have decided
// meanwhile, and the nodes may report to that one.
func (m *Machine) resume(now time.Time) {
	m.gatherUntil = now.Add(gatherTime)
	m.shareSince = now
	m.recorded = false
}

func (m *Machine) accept(now time.Time, r site.Rollout) []Action {
	var actions []Action
	switch {
	case r.ID() < m.order.ID():
		return nil
	case r.ID() == m.order.ID():
		m.order.StateRevision = r.StateRevision
	default:
		if m.opened() {
			actions = m.conclude(now, Withdrawn, "order replaced")
		}
		*m = Machine{Settings: m.Settings, order: r, acceptedAt: now, firstSeen: now, lastStep: now, phaseSince: now, shareSince: now,
			gatherUntil: now, old: m.old, fresh: m.fresh}
		m.reassignTargets()
	}
	return append(actions, m.adopt(now, r.State)...)
}

// reassignTargets divides the known targets by the version of a new order.
func (m *Machine) reassignTargets() {
	all := slices.Concat(m.old, m.fresh)
	m.old, m.fresh = nil, nil
	for _, t := range all {
		if t.Version == m.order.Version {
			m.fresh = append(m.fresh, t)
		} else {
			m.old = append(m.old, t)
		}
	}
}

// adopt continues with a state that is recorded in the store. A final one ends the order,
// whatever this owner has found, since operators act on it.
func (m *Machine) adopt(now time.Time, state site.RolloutState) []Action {
	to, ok := finalPhaseOf(state)
	if !ok {
		return nil
	}
	m.recorded = true
	if m.phase == to || m.phase == Withdrawn {
		return nil
	}
	return m.conclude(now, to, "recorded as "+state.String())
}

// record handles the result of a write. After a conflict, the status has been written by
// another owner, so that this one must see again that the version has taken over.
func (m *Machine) record(now time.Time, e StatusWritten) []Action {
	if e.State.Final() {
		return m.adopt(now, e.State)
	}
	m.recorded = m.opened()
	if e.Conflict {
		m.shareSince = now
	}
	return nil
}

// rollBack ends the order with a verdict that is not recorded yet.
func (m *Machine) rollBack(now time.Time, reason string) []Action {
	m.recorded = false
	return append(m.conclude(now, RolledBack, reason), m.write(now)...)
}

// conclude moves to a phase that ends the order.
func (m *Machine) conclude(now time.Time, to Phase, reason string) []Action {
	share := 0.0
	if to == Complete {
		share = 1
	}
	m.finding.Reason = reason
	return append(m.move(now, to, share), Announce{Order: m.order.ID(), Phase: to})
}

// move changes phase and share.
func (m *Machine) move(now time.Time, to Phase, share float64) []Action {
	from := m.phase
	if from == to && m.share == share {
		return nil
	}
	if from != to {
		m.phase, m.phaseSince, m.proven = to, now, false
	}
	m.share, m.shareSince = share, now
	return []Action{LogDecision{Order: m.order.ID(), Service: m.order.Service, Version: m.order.Version, From: from, To: to, Evidence: m.Evidence()}}
}

func (m *Machine) receive(now time.Time, r Report) []Action {
	if r.Order != m.order.ID() || m.order.ID() == 0 {
		return nil
	}
	n, rows, ok := m.reports.add(now, r)
	if !ok {
		return nil
	}
	m.replyTo = r.VM
	if seen := now.Add(-r.Age); seen.Before(m.firstSeen) {
		m.firstSeen = seen
		if m.phase == Waiting && m.acceptedAt.Sub(seen) > firstOwnerTime {
			m.gatherUntil = m.acceptedAt.Add(gatherTime)
		}
	}
	m.judge.Add(now, r.Domain, rows)
	if m.opened() && r.Phase == RolledBack {
		return m.rollBack(now, "verdict of an earlier owner")
	}
	m.allot(now, n)
	return m.tick(now)
}

// tick decides by the evidence and the time, also when a report arrives, so that no step
// waits for the next tick.
func (m *Machine) tick(now time.Time) []Action {
	if !m.opened() || now.Sub(m.decidedAt) < decisionInterval {
		return nil
	}
	m.decidedAt = now
	var actions []Action
	m.assess(now)
	switch {
	case m.finding.Verdict == Bad && !m.reports.returned():
		return m.rollBack(now, m.finding.Reason)
	case now.Before(m.gatherUntil):
	case m.phase == Waiting:
		actions = m.start(now)
	case m.phase == Observing:
		actions = m.observe(now)
	case m.phase == Promoting:
		actions = m.promote(now)
	}
	if m.phase == Waiting || m.phase == Observing {
		if now.After(m.deadline()) && !now.Before(m.gatherUntil) && m.reports.current(now) {
			return append(actions, m.rollBack(now, "deadline passed: "+cmp.Or(m.finding.Reason, "no targets"))...)
		}
	}
	return append(actions, m.write(now)...)
}

// repeat repeats a verdict that is not recorded: the write until it has succeeded,
// and the announcement for a time, since announcements can be lost. Nodes that miss it
// learn it from the reply to their report.
func (m *Machine) repeat(now time.Time) []Action {
	if m.phase != RolledBack || m.recorded {
		return nil
	}
	actions := m.write(now)
	if now.Sub(m.phaseSince) <= announceTime {
		actions = append(actions, Announce{Order: m.order.ID(), Phase: m.phase})
	}
	return actions
}

// assess judges the evidence and excludes a target that may be the only bad one. The others
// must then show at the present share that they are not.
func (m *Machine) assess(now time.Time) {
	m.finding = m.judge.Assess(len(m.fresh), m.excluded)
	if m.manyBadAt.IsZero() && m.judge.excess() >= manyBad {
		m.manyBadAt = now
	}
	s := m.finding.Suspect
	if s == "" || slices.Contains(m.excluded, s) || s == otherTargets {
		return
	}
	if limit := min(MaxExcluded, len(m.fresh)/2); len(m.excluded) < limit {
		m.excluded = append(m.excluded, s)
		if m.phase == Promoting && m.share < 1 {
			m.shareSince = now
		}
	}
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

// write returns the action that records the state, if it is not recorded. Each owner
// writes the running state once, which makes the writes of an earlier one conflict.
func (m *Machine) write(now time.Time) []Action {
	switch {
	case m.phase == RolledBack && !m.recorded:
		return []Action{WriteStatus{State: site.RolloutRolledBack}}
	case m.takenOver(now):
		return []Action{WriteStatus{State: site.RolloutComplete}}
	case m.opened() && !m.recorded:
		return []Action{WriteStatus{State: site.RolloutRunning}}
	}
	return nil
}

// allot gives a node with too little traffic for the share an allowance out of a quarter
// of the slack. Two owners at once give half of it. Half of the allowances are kept for
// the later part of the observation.
func (m *Machine) allot(now time.Time, n *nodeReports) {
	if m.phase != Observing || m.judge.responses() >= thinResponses {
		return
	}
	used := max(0, n.report.Canaries-int(m.share*float64(n.report.Sent)))
	if n.usable() == 0 {
		n.allowance = min(n.allowance, used) // Another node can use it.
	}
	if used < n.allowance {
		return
	}
	limit := m.Settings.Slack / 4
	if window := m.promotionStart().Sub(m.phaseSince); window > shortWindow {
		limit *= min(1, 0.5+0.5*float64(now.Sub(m.phaseSince))/float64(window))
	}
	n.allowance += max(0, min(n.usable(), int(limit)-m.reports.allowances()))
}

// Grant returns the reply to the report that the last Step handled, with the allowance of
// its node. After any other event, the allowance is zero.
func (m *Machine) Grant(now time.Time) Grant {
	grant := Grant{Order: m.order.ID(), Phase: m.phase, Share: m.share, ValidFor: GrantLifetime, Excluded: m.excluded}
	switch {
	case now.Before(m.gatherUntil) && m.opened():
		grant.Share = 0
	case m.phase == Observing:
		grant.Share, grant.NextShare, grant.NextIn = m.observingShare(now)
	}
	if m.phase == Promoting && m.share >= 1 {
		grant.CompleteIn = max(1, m.completion().Sub(now))
	}
	if n := m.reports.nodes[m.replyTo]; n != nil {
		grant.Allowance = n.allowance
	}
	return grant
}

// Evidence summarises what the machine knows of the order.
func (m *Machine) Evidence() Summary {
	s := Summary{Order: m.order.ID(), Service: m.order.Service, Version: m.order.Version, Phase: m.phase, Share: m.share,
		Nodes: len(m.reports.nodes), Verdict: m.finding.Verdict, Reason: m.finding.Reason, Excluded: m.excluded,
		Age: m.lastStep.Sub(m.firstSeen), ReportAge: m.lastStep.Sub(m.reports.last)}
	s.Sent, s.Canaries = m.reports.sent, m.reports.canaries
	s.OldRuns, _ = m.reports.oldRuns(m.lastStep)
	s.Old, s.New = m.judge.totals()
	return s
}
