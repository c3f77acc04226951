package place

import (
	"time"

	"bergamotworks/member"
	"bergamotworks/site"
)

const (
	// minPaceTime is the least time at a level before the next higher one: the time in
	// which other nodes learn of a level and the requests that it brings are answered.
	minPaceTime = 300 * time.Millisecond
	// slowPaceRatio is the ratio of a response time to the expected one above which a
	// response of a paced target counts as slow.
	slowPaceRatio = 2
	// startPaceRatio is the ratio above which a target that is not paced becomes so.
	startPaceRatio = 4
	// maxPaceAhead is how far the clock of another node may be ahead: a change in the
	// future would keep all others out until then.
	maxPaceAhead = time.Second
	// maxPaced limits the targets that no directory lists yet.
	maxPaced = 1024
	// paceRetention is how long the pace of a target that gets no requests is kept, and
	// unlistedPaceRetention that of one that the directory does not list: other nodes may
	// announce it before it is listed here.
	paceRetention         = 10 * time.Minute
	unlistedPaceRetention = 5 * time.Second
	// prefixPacePeriod is the time after which the prefixes that a paced target serves are
	// drawn again, so that it gets some of them in the end even if there are few.
	prefixPacePeriod = 10 * time.Second
)

// The levels of a paced target. Each level doubles the share of the one before.
const (
	minPaceLevel = 0
	// StartPaceLevel is the level of a target that starts if it is not known how many
	// requests it bears then, and of one that has failed or slowed down.
	StartPaceLevel = 2
	// FullPaceLevel is the level at which a target is not paced.
	FullPaceLevel = 4
)

// PaceCause says why a target is paced.
type PaceCause int

// The causes for which a target is paced.
const (
	// TargetStarted means that the target, or this incarnation of it, is new in the
	// directory, or that its failure domain has been restored.
	TargetStarted PaceCause = iota + 1
	// TargetCold means that its entry in the directory says that it is cold.
	TargetCold
	// TargetFailed means that a request failed or could not reach it.
	TargetFailed
	// TargetSlow means that a response came far later than expected.
	TargetSlow
)

// PaceUpdate is the level of a target as nodes announce it to each other. Of two updates
// of one target the later one counts, so that a level can fall, too.
type PaceUpdate struct {
	Target uint64 // Key of the target and its incarnation, see [TargetKey].
	Level  int
	At     time.Time // Time of the change by the clock of the node that made it.
}

// PaceChange is a change of the level of a target by this node.
type PaceChange struct {
	PaceUpdate
	ID     string // Of the target.
	Before int
	Cause  PaceCause
}

// Pace gives targets that start or recover a share of the requests that they would get
// otherwise. The share doubles with each good response and is halved with each slow one,
// failures count twice. All nodes together raise it: with many nodes each one meets a
// target too seldom to learn its pace alone. The zero value is ready for use, and a nil
// Pace lets every request through. It is not safe for concurrent use.
type Pace struct {
	listed map[uint64]bool // Targets of the last directory; nil before the first one.
	states map[uint64]*paceState
}

// paceState is the state of a target that is paced.
type paceState struct {
	level     int
	cause     PaceCause
	changedAt time.Time // By the clock of the node that changed the level.
	usedAt    time.Time // Last change or response here.
}

// List applies a new directory with the targets that accept new work. Targets that the
// one before did not list have the level that start returns for their service. The first
// directory of a node says nothing about which targets are new; those that are paced
// elsewhere are announced with the next response.
func (p *Pace) List(now time.Time, targets []site.Target, start func(service string) int) []PaceChange {
	listed := make(map[uint64]bool, len(targets))
	var changes []PaceChange
	for _, target := range targets {
		key := TargetKey(target)
		listed[key] = true
		if p.listed == nil || p.listed[key] || p.states[key] != nil {
			continue
		}
		level := start(target.Service)
		if level >= FullPaceLevel {
			continue
		}
		cause := TargetStarted
		if now.Before(target.ColdUntil) {
			cause = TargetCold
		}
		changes = append(changes, p.set(now, target, level, cause))
	}
	p.listed = listed
	for key, state := range p.states {
		if unused := now.Sub(state.usedAt); unused >= paceRetention || !listed[key] && unused >= unlistedPaceRetention {
			delete(p.states, key)
		}
	}
	return changes
}

// StartLevel returns the level of a target that starts, for a service with the given numbers
// of targets and nodes: the highest one at which the target gets at most coldRate requests
// per second, which it can serve while it is cold. Without a coldRate (zero) it is
// [StartPaceLevel].
func (t *Table) StartLevel(now time.Time, service string, targets int, nodes, coldRate float64) int {
	if coldRate <= 0 || targets == 0 {
		return StartPaceLevel
	}
	rate := t.service(service).prefixes.rate(now) * nodes / float64(targets)
	level := FullPaceLevel
	for level > minPaceLevel && rate > coldRate {
		rate /= 2
		level--
	}
	return level
}

// set changes the level of a target at now.
func (p *Pace) set(now time.Time, target site.Target, level int, cause PaceCause) PaceChange {
	key := TargetKey(target)
	change := PaceChange{PaceUpdate: PaceUpdate{Target: key, Level: level, At: now}, ID: target.ID, Before: p.level(key), Cause: cause}
	p.apply(now, change.PaceUpdate, cause)
	return change
}

// apply stores a level. A target that has reached FullPaceLevel keeps its state, so that
// an earlier update of another node does not pace it again.
func (p *Pace) apply(now time.Time, u PaceUpdate, cause PaceCause) {
	if p.states == nil {
		p.states = make(map[uint64]*paceState)
	}
	p.states[u.Target] = &paceState{level: u.Level, cause: cause, changedAt: u.At, usedAt: now}
}

// level returns the level of a target.
func (p *Pace) level(key uint64) int {
	if state := p.states[key]; state != nil {
		return state.level
	}
	return FullPaceLevel
}

// Observe applies an update of another node that was received at now. It ignores one that
// is older than the state here, from the future, or names a level that does not exist.
func (p *Pace) Observe(now time.Time, u PaceUpdate) {
	if u.Level < minPaceLevel || u.Level > FullPaceLevel || u.At.After(now.Add(maxPaceAhead)) {
		return
	}
	state := p.states[u.Target]
	if state == nil && !p.listed[u.Target] && len(p.states) >= maxPaced {
		return
	}
	if state != nil && !u.At.After(state.changedAt) {
		return
	}
	p.apply(now, u, 0)
}

// Responded records the outcome of a request at a target. Ratio is that of the time to the
// first byte or event to the expected time, zero if it is not known. Waiting is the number
// of requests that the target reports as queued. It reports whether the level has changed.
func (p *Pace) Responded(now time.Time, target site.Target, o Outcome, ratio float64, waiting int) (PaceChange, bool) {
	if p == nil {
		return PaceChange{}, false
	}
	key := TargetKey(target)
	level := p.level(key)
	if level == FullPaceLevel {
		return p.startAfter(now, target, o, ratio)
	}
	p.states[key].usedAt = now
	switch {
	case o == Failed || o == Unreachable:
		return p.lower(now, target, 2, TargetFailed)
	case o != Succeeded:
		return PaceChange{}, false
	case ratio > slowPaceRatio:
		return p.lower(now, target, 1, TargetSlow)
	case waiting > 0 || now.Sub(p.states[key].changedAt) < minPaceTime:
		return PaceChange{}, false
	}
	return p.set(now, target, level+1, p.states[key].cause), true
}

// startAfter paces a target that is not paced after a request that shows that it has
// slowed down or was lost.
func (p *Pace) startAfter(now time.Time, target site.Target, o Outcome, ratio float64) (PaceChange, bool) {
	switch {
	case o == Unreachable:
		return p.set(now, target, StartPaceLevel, TargetFailed), true
	case o == Succeeded && ratio > startPaceRatio:
		return p.set(now, target, StartPaceLevel, TargetSlow), true
	}
	return PaceChange{}, false
}

// lower lowers the level of a target at once.
func (p *Pace) lower(now time.Time, target site.Target, levels int, cause PaceCause) (PaceChange, bool) {
	before := p.level(TargetKey(target))
	if before == minPaceLevel {
		return PaceChange{}, false
	}
	return p.set(now, target, max(minPaceLevel, before-levels), cause), true
}

// Share returns the share of the requests that a target would get otherwise, from 0 to 1.
func (p *Pace) Share(target site.Target) float64 {
	if p == nil {
		return 1
	}
	return 1 / float64(int(1)<<(FullPaceLevel-p.level(TargetKey(target))))
}

// paceDraw returns the number that decides which paced targets a request may go to.
// Requests with one prefix have the same number on all nodes, so that the prefix is read
// at one target instead of at a paced one and at another. A prefix with more requests than
// a target has on average is divided like requests without one.
func (t *Table) paceDraw(now time.Time, criteria Criteria) uint64 {
	p := criteria.Work.lastPrefix()
	if t.Pace == nil || p.Hash == 0 || len(criteria.Targets) == 0 || !t.estimates(criteria) {
		return criteria.Draw
	}
	if t.service(criteria.Targets[0].Service).prefixes.exceedsTarget(now, p.Hash, len(criteria.Targets)) {
		return criteria.Draw
	}
	// The offset spreads the times at which prefixes are drawn again over the period.
	offset := time.Duration(p.Hash % uint64(prefixPacePeriod))
	return member.Score(p.Hash, uint64(now.Add(offset).UnixNano()/int64(prefixPacePeriod)))
}

// Allows reports whether a request may go to a target. Draw is a random number that is
// drawn once for each choice, or for each prefix.
func (p *Pace) Allows(target site.Target, draw uint64) bool {
	share := p.Share(target)
	if share >= 1 {
		return true
	}
	const drawRange = 1 << 32
	return float64(member.Score(draw, TargetKey(target))%drawRange) < share*drawRange
}

// Count returns the number of targets that are paced.
func (p *Pace) Count() int {
	n := 0
	for _, state := range p.states {
		if state.level < FullPaceLevel {
			n++
		}
	}
	return n
}
