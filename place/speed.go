package place

import (
	"math"
	"slices"
	"time"

	"bergamotworks/site"
)

const (
	// A target is slow from slowThreshold times the expected time to the first event
	// on, and until it is below usualThreshold.
	slowThreshold  = 2.0
	usualThreshold = 1.4
	minSlowdown    = 0.5
	maxSlowdown    = 16.0
	// speedGain is the gain of the learned slowdown, which is a mean of logarithms.
	// Responses on time of a slow target have recoveryGain.
	speedGain    = 0.15
	recoveryGain = 0.5
	// A first event is overdue after a multiple of the expected time plus
	// overdueAllowance. The multiple is overdueDeviations standard deviations of the
	// logarithm above the mean of all responses of the service, within the bounds: work
	// takes up to 2.5 times as long on a VM that is busy for a moment, and behind the
	// prompts of other nodes, which alone must not count.
	minOverdueFactor  = 3.0
	maxOverdueFactor  = 6.0
	overdueDeviations = 3.5
	overdueAllowance  = 50 * time.Millisecond
	// toleratedShare is the part of the latency target of a request within which a first
	// event is never overdue. Shorter waits can come from prompts of other requests.
	toleratedShare = 0.33
	// uncachedShare is the part of the time that the target takes if it has nothing of
	// the prompt cached that is expected at least.
	uncachedShare = 0.4
	// goodWindow is how long before an announcement a response may have come in time and
	// still outweigh it.
	goodWindow = time.Second
	// maxCheckGap is the time between two checks for overdue first events from which on
	// this node counts as paused in between. Its own pause does not count towards the time
	// of its calls.
	maxCheckGap = 300 * time.Millisecond
	// reportWindow is how old a load report may be to explain a response that is late.
	reportWindow = 200 * time.Millisecond
	// minOverdueTargets is the number of targets from which on overdue first events of
	// most of them are taken for a pause of this node.
	minOverdueTargets = 3
	// speedLifetime is how long a slowdown that another node has announced counts. It
	// is halved every speedHalfLife, so that the target gets a few requests, which show
	// whether it holds on.
	speedLifetime = 6 * time.Second
	speedHalfLife = 2 * time.Second
	// maxSpeedObservers limits the announcements that are kept of one target.
	maxSpeedObservers = 8
	// speedProbeSpacing is the time between two requests that are sent to a slow target
	// as a probe, over all nodes, and minSpeedProbeInterval that of one node.
	speedProbeSpacing     = 500 * time.Millisecond
	minSpeedProbeInterval = time.Second
	// announceRatio and announceInterval: a slowdown is announced again if it has
	// changed by that ratio, or after that time if there is new evidence.
	announceRatio    = 1.5
	announceInterval = time.Second
)

// Call is a call whose times are compared with what was expected of them.
type Call struct {
	target        site.Target
	state         *targetState
	work          Work
	startedAt     time.Time
	unread        float64 // Tokens of the request that the target reads.
	ahead         float64 // Tokens that it reads before.
	scale         float64
	wait          float64 // Seconds that do not depend on the tokens.
	base          float64 // Expected seconds to the first event at a target of usual speed.
	uncached      float64 // The same if the target has nothing of the prompt cached.
	awaited       bool    // The first event has not come.
	tolerated     float64 // Seconds to the first event that do not matter for the latency target.
	overdue       bool    // The target has been marked as slow because the first event was overdue.
	disturbed     bool    // This node was paused meanwhile, so the time says nothing.
	learnedBefore float64 // Slowdown learned before that, as a logarithm.
	ended         bool
	lateness      float64 // Ratio of the time to the first event to the expected one, for the Pace; zero if it is not known.
}

// SpeedChange is what this node has found out about the speed of a target.
type SpeedChange struct {
	Target   site.Target
	Slowdown float64 // Multiple of the expected time.
	Slow     bool    // The target counts as slow.
	Changed  bool    // It did not before, or did and does not now.
	Overdue  bool    // The first event has not come yet.
	Elapsed  time.Duration
	Expected time.Duration
	Announce bool // Other nodes should know.
}

// SpeedReport is what another node says of the speed of a target.
type SpeedReport struct {
	Target   uint64  // Key of the target and its incarnation, see [TargetKey].
	Slowdown float64 // Multiple of the expected time.
	Observer uint16  // Hash of the ID of the VM that reports it.
}

// receivedSpeed is a report with the time at which it was received.
type receivedSpeed struct {
	SpeedReport
	at time.Time
}

// slowdown returns what is left of a reported slowdown.
func (r receivedSpeed) slowdown(now time.Time) float64 {
	age := now.Sub(r.at)
	if age >= speedLifetime {
		return 1
	}
	return 1 + (r.Slowdown-1)*math.Exp2(-age.Seconds()/speedHalfLife.Seconds())
}

// Begin records that a request is about to be sent to a target. It returns nil if the
// targets of the service are not chosen by the expected time. It is called before
// [Table.CallStarted].
func (t *Table) Begin(now time.Time, target site.Target, criteria Criteria) *Call {
	if !t.estimates(criteria) {
		return nil
	}
	e := t.estimator(now, criteria)
	o := e.option(&target, t.state(target), e.cachedBy(target))
	c := &Call{
		target: target, state: o.state, work: criteria.Work, startedAt: now, unread: o.unread, ahead: o.state.unread,
		scale: o.scale(), base: o.base, wait: o.base - o.scale()*e.service.model.estimate(o.unread+o.state.unread), awaited: true,
		tolerated: toleratedShare * criteria.LatencyTarget.Seconds(),
	}
	c.uncached = c.base + c.scale*(e.service.model.estimate(c.work.unread(0))-e.service.model.estimate(c.unread))
	e.service.prefixes.add(now, criteria.Work.Prefixes)
	e.service.unread.add(c.unread, meanGain)
	e.service.held.add(float64(c.work.tokens()), meanGain)
	o.state.estimatedFor = target.Service
	o.state.recordCached(now, criteria.Work.Prefixes)
	o.state.unread += c.unread
	o.state.held += int64(c.work.tokens())
	if o.state.slow {
		o.state.speedProbedAt = now
	}
	if len(t.awaited) == 0 {
		t.checkedAt = now
	}
	t.awaited = append(t.awaited, c)
	return c
}

// FirstEvent records that the first event of a call has arrived.
func (t *Table) FirstEvent(now time.Time, c *Call) {
	if c == nil || !c.awaited {
		return
	}
	t.discountPause(now)
	t.stopAwaiting(c)
	if c.disturbed {
		return
	}
	service, elapsed := t.service(c.target.Service), now.Sub(c.startedAt).Seconds()
	ratio := c.ratio(elapsed)
	judged, queued := service.model.judges(), c.state.queueReported(now)
	// Responses of targets with a queue count, too: without them the expected time is too
	// short, and targets look slow.
	service.model.add(c.unread+c.ahead, max(elapsed-c.wait, elapsed/maxSampleRatio)/c.scale, 1/max(1, c.state.ownSlowdown()))
	if !judged || queued {
		// The time says how full the target is and not how fast.
		if c.overdue {
			c.state.learned = min(c.state.learned, c.learnedBefore)
			t.recordChange(now, c, c.state.ownSlowdown(), false)
		}
		return
	}
	overdue := elapsed > service.overdueAfter(c)
	if overdue {
		c.lateness = ratio
	} else {
		c.lateness = min(ratio, slowPaceRatio) // Work takes longer at times without a cause that lasts.
	}
	service.ratios.add(math.Log(min(max(ratio, minSlowdown), maxSlowdown)), meanGain)
	if !overdue {
		c.state.goodAt = now
	}
	gain := speedGain
	if c.state.slow && ratio < slowThreshold {
		gain = recoveryGain
	}
	c.state.addSpeed(ratio, gain)
	if overdue {
		c.state.learned = max(c.state.learned, math.Log(min(elapsed/c.cautiousExpected(), maxSlowdown)))
	}
	t.recordChange(now, c, ratio, false)
}

// End records that a call has ended.
func (t *Table) End(now time.Time, c *Call, o Outcome) {
	if c == nil || c.ended {
		return
	}
	c.ended = true
	t.stopAwaiting(c)
	c.state.held -= int64(c.work.tokens())
	if o == Succeeded {
		t.service(c.target.Service).seconds.add(now.Sub(c.startedAt).Seconds(), meanGain)
	}
	waiting := 0
	if c.state.queueReported(now) {
		waiting = c.state.reported.Waiting
	}
	if change, ok := t.Pace.Responded(now, c.target, o, c.lateness, waiting); ok {
		t.paceChanges = append(t.paceChanges, change)
	}
}

// TakePaceChanges returns the changes of levels that calls have caused since it was last
// called. Other nodes should know them.
func (t *Table) TakePaceChanges() []PaceChange {
	changes := t.paceChanges
	t.paceChanges = nil
	return changes
}

// stopAwaiting records that the first event of a call is not awaited any more.
func (t *Table) stopAwaiting(c *Call) {
	if !c.awaited {
		return
	}
	c.awaited = false
	c.state.unread -= c.unread
	t.awaited = slices.DeleteFunc(t.awaited, func(o *Call) bool { return o == c })
}

// ratio returns how much longer the first event took than expected. What may have been
// the reading of tokens that were not cached any more counts half.
func (c *Call) ratio(elapsed float64) float64 {
	if elapsed <= c.base {
		return elapsed / c.base
	}
	return elapsed / math.Sqrt(c.base*min(c.uncached, elapsed))
}

// cautiousExpected returns the expected time in seconds, with regard to what the target may not
// have cached any more.
func (c *Call) cautiousExpected() float64 { return max(c.base, uncachedShare*c.uncached) }

// overdueAfter returns the seconds after which the first event of a call is overdue.
func (s *serviceState) overdueAfter(c *Call) float64 {
	factor := math.Exp(s.ratios.value + overdueDeviations*math.Sqrt(s.ratios.variance))
	return max(min(max(factor, minOverdueFactor), maxOverdueFactor)*c.cautiousExpected()+overdueAllowance.Seconds(), c.tolerated)
}

// queueReported reports whether requests wait at a target for a slot by its report, which
// comes with the response.
func (s *targetState) queueReported(now time.Time) bool {
	return now.Sub(s.reportedAt) < reportWindow && s.reported.Waiting > 0
}

// CheckSpeeds examines the first events that are awaited and returns what has been found
// out since the last call. It is called several times in a second while calls are in
// flight.
func (t *Table) CheckSpeeds(now time.Time) []SpeedChange {
	t.discountPause(now)
	t.checkedAt = now
	waiting, overdue := make(map[*targetState]bool), make(map[*targetState]bool)
	for _, c := range t.awaited {
		waiting[c.state] = true
		if t.overdue(now, c) {
			overdue[c.state] = true
		}
	}
	if paused := len(overdue) >= minOverdueTargets && 2*len(overdue) > len(waiting); !paused && len(overdue) > 0 {
		for _, c := range t.awaited {
			if !t.overdue(now, c) {
				continue
			}
			ratio := now.Sub(c.startedAt).Seconds() / c.cautiousExpected()
			if !c.overdue {
				c.overdue, c.learnedBefore = true, c.state.learned
			}
			c.state.learned = max(c.state.learned, math.Log(min(ratio, maxSlowdown)))
			t.recordChange(now, c, ratio, true)
		}
	}
	changes := t.speedChanges
	t.speedChanges = nil
	return changes
}

// discountPause takes a pause of this node since the last check out of the times of its
// calls, of which the speed of their targets is not learned.
func (t *Table) discountPause(now time.Time) {
	gap := now.Sub(t.checkedAt)
	if len(t.awaited) == 0 || gap <= maxCheckGap {
		return
	}
	t.checkedAt = now
	for _, c := range t.awaited {
		c.startedAt, c.disturbed = c.startedAt.Add(min(gap, now.Sub(c.startedAt))), true
	}
}

// overdue reports whether the first event of a call is overdue.
func (t *Table) overdue(now time.Time, c *Call) bool {
	service := t.service(c.target.Service)
	return service.model.judges() && now.Sub(c.startedAt).Seconds() > service.overdueAfter(c)
}

// recordChange records a change of the learned speed after evidence from a call, if it
// is one, or evidence that other nodes should have. Ratio is that of the call.
func (t *Table) recordChange(now time.Time, c *Call, ratio float64, overdue bool) {
	s := c.state
	was, slowdown := s.slow, s.ownSlowdown()
	s.slow = slowdown >= slowThreshold || was && slowdown >= usualThreshold
	if !was && !s.slow {
		return
	}
	if s.slow != was {
		s.speedProbedAt = now
	}
	told := slowdown
	if ratio < usualThreshold {
		told = ratio // It is faster than the mean of its last responses.
	}
	change := SpeedChange{
		Target: c.target, Slowdown: told, Slow: s.slow, Changed: s.slow != was, Overdue: overdue,
		Elapsed: now.Sub(c.startedAt), Expected: time.Duration(c.base * float64(time.Second)),
	}
	ratioToTold := max(told/max(s.announced, minSlowdown), s.announced/max(told, minSlowdown))
	change.Announce = change.Changed || ratioToTold >= announceRatio || now.Sub(s.announcedAt) >= announceInterval
	if !change.Announce {
		return
	}
	s.announced, s.announcedAt = told, now
	t.speedChanges = append(t.speedChanges, change)
}

// addSpeed adds a ratio of the time that a call took to the expected one.
func (s *targetState) addSpeed(ratio, gain float64) {
	s.learned += gain * (math.Log(min(max(ratio, minSlowdown), maxSlowdown)) - s.learned)
}

// ownSlowdown returns the slowdown that this node has learned.
func (s *targetState) ownSlowdown() float64 { return math.Exp(s.learned) }

// ObserveSpeed records a report of another node that was received at now. One that says
// that a target is as fast as usual brings back half of the speed that this node has
// learned, so that a few of them suffice.
func (t *Table) ObserveSpeed(now time.Time, target site.Target, r SpeedReport) {
	if t.speeds == nil {
		t.speeds = make(map[uint64][]receivedSpeed)
	}
	r.Slowdown = min(max(r.Slowdown, minSlowdown), maxSlowdown)
	list := slices.DeleteFunc(t.speeds[r.Target], func(o receivedSpeed) bool {
		return o.Observer == r.Observer || now.Sub(o.at) >= speedLifetime
	})
	if r.Slowdown < slowThreshold {
		for i := range list {
			list[i].Slowdown = math.Sqrt(max(1, list[i].Slowdown))
		}
		if state := t.state(target); state.slow {
			state.learned *= 1 - recoveryGain
			state.slow = state.ownSlowdown() >= usualThreshold
		}
	}
	if len(list) == maxSpeedObservers {
		list = list[1:]
	}
	t.speeds[r.Target] = append(list, receivedSpeed{SpeedReport: r, at: now})
}

// announcedSlowdowns returns the slowdowns of the targets that other nodes have
// announced. Responses to this node that came in time outweigh earlier announcements.
// If they concern more than maxReportedShare of the targets, they are ignored.
func (t *Table) announcedSlowdowns(now time.Time, criteria Criteria) map[string]float64 {
	if len(t.speeds) == 0 {
		return nil
	}
	slow, out := 0, make(map[string]float64)
	for _, target := range criteria.Targets {
		list := t.speeds[TargetKey(target)]
		if len(list) == 0 {
			continue
		}
		slowdown, good := 1.0, t.state(target).goodAt
		for _, r := range list {
			if r.at.Sub(good) > goodWindow {
				slowdown = max(slowdown, r.slowdown(now))
			}
		}
		if slowdown > 1 {
			out[target.ID] = slowdown
		}
		if slowdown >= slowThreshold {
			slow++
		}
	}
	if float64(slow) > maxReportedShare*float64(len(criteria.Targets)) {
		return nil
	}
	return out
}

// pruneSpeeds discards the reports that have expired.
func (t *Table) pruneSpeeds(now time.Time) {
	for key, list := range t.speeds {
		if !slices.ContainsFunc(list, func(r receivedSpeed) bool { return now.Sub(r.at) < speedLifetime }) {
			delete(t.speeds, key)
		}
	}
}

// Awaiting reports whether the first event of a call is awaited.
func (t *Table) Awaiting() bool { return len(t.awaited) > 0 }

// SlowTargets returns the number of targets that this node has found to be slow.
func (t *Table) SlowTargets() int {
	n := 0
	for _, state := range t.targets {
		if state.slow {
			n++
		}
	}
	return n
}
