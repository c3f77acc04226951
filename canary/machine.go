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
