package canary

import (
	"cmp"
	"fmt"
	"math"
)

const (
	// The old version's rate of bad responses, times rateFactor and plus an allowance, is
	// what a version that is no worse may have. The allowance for failures covers single
	// lost connections, that for slow responses a cache that is not yet full.
	rateFactor       = 1.5
	failureAllowance = 0.005
	slowAllowance    = 0.05
	// A response is slow if it takes slowMultiple times as long as the old version's
	// slowest ones, whose share is slowTail.
	slowTail     = 0.05
	slowMultiple = 1.6
	// comparableLoad is the part of the responses in a burst's fullest time slot that
	// another one must have for as much load.
	comparableLoad = 0.7
	// priorResponses is the weight of the old version's rate over all time slots against
	// that within one, which has few responses.
	priorResponses = 10
	// A version whose times to the first byte are this many times those of the old one,
	// in the geometric mean, is bad; below doubtFactor it may be good. weakFactor is enough
	// as a confirmation.
	slowFactor, weakFactor, doubtFactor = 2.2, 2.0, 1.8
)

// group selects the responses of a route, of a failure domain, or all.
type group struct{ route, domain string }

func (g group) contains(c cell) bool {
	return (g.route == "" || g.route == c.route) && (g.domain == "" || g.domain == c.domain)
}

func (g group) compare(other group) int {
	return cmp.Or(cmp.Compare(g.route, other.route), cmp.Compare(g.domain, other.domain))
}

// reason describes what was found in the group.
func (g group) reason(text string) string {
	switch {
	case g.route != "":
		return fmt.Sprintf("%s on route %s", text, g.route)
	case g.domain != "":
		return fmt.Sprintf("%s for callers in %s", text, g.domain)
	}
	return text
}

// tally compares responses of the new version with what the old one leads to expect. For
// counted responses, hits are bad ones and expected is the number that the old version's
// rate and the allowance give. For latencies, hits is the sum of the logarithms of the
// ratios, and expected that of the old version's variances.
type tally struct {
	responses int
	hits      float64
	expected  float64
}

func (t tally) plus(other tally) tally {
	return tally{responses: t.responses + other.responses, hits: t.hits + other.hits, expected: t.expected + other.expected}
}

func (t tally) minus(other tally) tally {
	return t.plus(tally{responses: -other.responses, hits: -other.hits, expected: -other.expected})
}

// level says how much a tally speaks against the version.
type level int

const (
	sound level = iota
	doubtful
	weak   // Enough as a confirmation.
	strong // Enough by itself.
)

// countLevel is the level of counted bad responses. The limits of p are the probabilities
// that chance alone gives so many bad responses; the number of hits keeps one failure from
// counting.
func countLevel(t tally) level {
	hits := int(t.hits)
	p := poissonTail(hits, t.expected)
	switch {
	case hits >= 4 && p < 1e-4:
		return strong
	case hits >= 2 && p < 1e-2:
		return weak
	case hits >= 2 && p < 2e-2:
		return doubtful
	}
	return sound
}

// latencyLevel is the level of times to the first byte. The standard deviations limit how
// often chance alone gives such times; the number of responses keeps single ones from
// counting.
func latencyLevel(t tally) level {
	n := float64(t.responses)
	mean, deviations := t.hits/max(n, 1), t.hits/math.Sqrt(max(t.expected, 1e-6))
	switch {
	case n >= 8 && mean >= math.Log(slowFactor) && deviations >= 4:
		return strong
	case n >= 3 && mean >= math.Log(weakFactor) && deviations >= 2:
		return weak
	case n >= 3 && mean >= math.Log(doubtFactor) && deviations >= 3:
		return doubtful
	}
	return sound
}

// evidence is what one group of responses shows in one respect.
type evidence struct {
	name     string
	level    func(tally) level
	total    tally
	least    int // Hits without which weaker levels do not speak against the version.
	byTarget map[string]tally
	bySlot   []tally
	cells    []map[string]tally // By target, for each slot.
}

func (g group) newEvidence(name string, slots int, level func(tally) level) *evidence {
	e := &evidence{name: name, level: level, least: 2, byTarget: make(map[string]tally), bySlot: make([]tally, slots), cells: make([]map[string]tally, slots)}
	if g != (group{}) {
		e.least = 3 // Two failures that meet by chance are likely in one of many groups.
	}
	return e
}

func (e *evidence) add(slot int, target string, t tally) {
	e.total = e.total.plus(t)
	e.byTarget[target] = e.byTarget[target].plus(t)
	e.bySlot[slot] = e.bySlot[slot].plus(t)
	if e.cells[slot] == nil {
		e.cells[slot] = make(map[string]tally)
	}
	e.cells[slot][target] = e.cells[slot][target].plus(t)
}

// worstTarget returns the target with the most bad responses beyond the expected ones.
func (e *evidence) worstTarget() string {
	worst, excess := "", math.Inf(-1)
	for target, t := range e.byTarget {
		if x := t.excess(); x > excess || x == excess && target < worst {
			worst, excess = target, x
		}
	}
	return worst
}

// excess ranks targets and bursts. For latencies it is not a number of responses; only its
// order is used.
func (t tally) excess() float64 { return t.hits - t.expected }

// worstBurst returns the adjacent time slots with the most bad responses, and whether a
// target has been under as much load at another time. Otherwise, load may be the cause.
func (e *evidence) worstBurst() (worst tally, underLoad bool) {
	first := 0
	for i := range e.bySlot {
		if sum := sumOf(e.bySlot[i:min(i+burstSlots, len(e.bySlot))]); i == 0 || sum.excess() > worst.excess() {
			worst, first = sum, i
		}
	}
	inside, outside := 0, 0
	for i, targets := range e.cells {
		for _, t := range targets {
			if i >= first && i < first+burstSlots {
				inside = max(inside, t.responses)
			} else {
				outside = max(outside, t.responses)
			}
		}
	}
	return worst, float64(outside) >= comparableLoad*float64(inside)
}

// ownFault reports whether load cannot be the cause of a target's bad responses: another
// target has been under as much, or it has bad responses under little load, too.
func (e *evidence) ownFault(target string) bool {
	own, others := 0, 0
	for _, targets := range e.cells {
		for name, t := range targets {
			if name == target {
				own = max(own, t.responses)
			} else {
				others = max(others, t.responses)
			}
		}
	}
	var light tally
	for _, targets := range e.cells {
		if t := targets[target]; float64(t.responses) < comparableLoad*float64(own) {
			light = light.plus(t)
		}
	}
	return float64(others) >= comparableLoad*float64(own) || e.level(light) >= weak
}

func sumOf(list []tally) tally {
	var sum tally
	for _, t := range list {
		sum = sum.plus(t)
	}
	return sum
}

// assess returns Bad if the bad responses are neither from one target nor from one burst,
// Good if nothing speaks against the version, and otherwise Unknown.
func (e *evidence) assess(targets int) Finding {
	all := e.level(e.total)
	if all == sound || all < strong && e.total.hits < float64(e.least) {
		return Finding{Verdict: Good}
	}
	f := Finding{Reason: e.name}
	target, several := e.worstTarget(), targets > 1
	worst, underLoad := e.worstBurst()
	outside, others := e.total.minus(worst), e.total.minus(e.byTarget[target])
	switch {
	case all == strong && e.level(outside) >= weak && (!several || e.level(others) >= weak):
		f.Verdict = Bad
		return f
	case underLoad && e.clean(outside, manySamples), several && e.clean(others, goodSamples) && e.ownFault(target):
		f.Verdict = Good
	}
	if all == strong && several {
		f.Suspect = target
	}
	return f
}

// clean reports whether nothing in a tally speaks against the version, although it has
// enough responses.
func (e *evidence) clean(t tally, samples int) bool {
	return t.responses >= samples && e.level(t) == sound
}

// reference is the old version's behaviour on one route.
type reference struct {
	failures, slow float64 // Rates.
	mean, variance float64 // Of the logarithm of the time to the first byte.
	slowFrom       float64 // Time from which responses are slow, as a position among the buckets.
	timed          int
}

func newReference(c Counts) reference {
	r := reference{timed: c.timed(), slowFrom: LatencyBuckets}
	if c.Responses > 0 {
		r.failures = float64(c.Failures) / float64(c.Responses)
	}
	if r.timed == 0 {
		return r
	}
	n := float64(r.timed)
	r.mean = c.LogLatency / n
	var sum, squares float64
	for i, count := range c.Latency {
		sum += float64(count) * float64(i)
		squares += float64(count) * float64(i*i)
	}
	// The width of a bucket adds its own variance, a twelfth of its square.
	r.variance = (squares/n - sum*sum/(n*n) + 1.0/12) * math.Ln2 * math.Ln2
	r.slowFrom = c.slowest(slowTail*n) + math.Log2(slowMultiple)
	r.slow = c.slowerThan(r.slowFrom) / n
	return r
}

// within returns the behaviour in one time slot, in which the old version may have been
// slower or failed more often, weighted with that over all.
func (r reference) within(c Counts) reference {
	n, timed := float64(c.Responses), float64(c.timed())
	r.failures = (float64(c.Failures) + priorResponses*r.failures) / (n + priorResponses)
	r.slow = (c.slowerThan(r.slowFrom) + priorResponses*r.slow) / (timed + priorResponses)
	r.mean = (c.LogLatency + priorResponses*r.mean) / (timed + priorResponses)
	return r
}

// evidence compares the new version with the old one in this group, by route and time
// slot. The baseline serves for routes on which the old version has had no responses
// lately.
func (g group) evidence(s *series, baseline map[string]Counts) []*evidence {
	references := make(map[string]reference)
	for route, c := range s.oldByRoute(g, s.slots) {
		references[route] = newReference(c)
	}
	failures := g.newEvidence("failures", len(s.slots), countLevel)
	slow := g.newEvidence("slow responses", len(s.slots), countLevel)
	latency := g.newEvidence("latency", len(s.slots), latencyLevel)
	for i, slot := range s.slots {
		old := s.oldByRoute(g, s.slots[i:i+1])
		for c, counts := range slot.cells {
			if c.target == "" || !g.contains(c) {
				continue
			}
			r, ok := references[c.route]
			if !ok {
				r = newReference(baseline[c.route])
				references[c.route] = r
			}
			r = r.within(old[c.route])
			failures.add(i, c.target, tally{responses: counts.Responses, hits: float64(counts.Failures),
				expected: float64(counts.Responses) * (rateFactor*r.failures + failureAllowance)})
			if n := counts.timed(); n > 0 && r.timed >= priorResponses {
				slow.add(i, c.target, tally{responses: n, hits: counts.slowerThan(r.slowFrom),
					expected: float64(n) * (rateFactor*r.slow + slowAllowance)})
				latency.add(i, c.target, tally{responses: n, hits: counts.LogLatency - float64(n)*r.mean, expected: float64(n) * r.variance})
			}
		}
	}
	return []*evidence{failures, slow, latency}
}

// oldByRoute returns the old version's responses in a group by route.
func (s *series) oldByRoute(g group, slots []*slot) map[string]Counts {
	sums := make(map[string]Counts)
	for _, slot := range slots {
		for c, counts := range slot.cells {
			if c.target == "" && g.contains(c) {
				sums[c.route] = sums[c.route].plus(counts)
			}
		}
	}
	return sums
}
