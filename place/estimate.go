package place

import (
	"math"
	"slices"
	"time"

	"bergamotworks/site"
)

const (
	// The first estimate of the time to the first event, before responses show it.
	initialFixedTime = 10 * time.Millisecond
	initialTokens    = 10_000
	initialReadTime  = 100 * time.Millisecond // Time to read initialTokens.
	// modelDecay is the weight of the samples so far when another one is added, so
	// that about 50 samples count.
	modelDecay = 0.98
	// minSamples is the number of samples from which on a response may count as slow.
	minSamples = 8
	// maxSampleRatio limits a sample to a multiple of the estimate, so that one slow
	// target does not change what is expected of the others.
	maxSampleRatio = 3.0
	// meanGain is the gain of the means over requests and over load reports.
	meanGain = 0.05
	// loadSlowdown is how much longer the first event takes at a target with all slots
	// in use, as a share of the time at an idle one.
	loadSlowdown = 1.0
	// factorLifetime is the time after which a reported work factor says no more than
	// the usual one of the target: it changes many times in a second.
	factorLifetime = time.Second
	// minWorkFactor and maxWorkFactor bound the reported work factors, in percent.
	minWorkFactor = 25
	maxWorkFactor = 1600
	factorGain    = 0.2
	// The mean load of a target by its reports has utilizationGain for the newest one.
	// After utilizationHalfLife without a report, it counts as much as the mean of all
	// targets: a node of many hears seldom of each target.
	utilizationGain     = 0.5
	utilizationHalfLife = 8 * time.Second
	// crossingTime is added for a target in another failure domain. With equal
	// expected times, a target of the own one is chosen.
	crossingTime = 3 * time.Millisecond
	// crossingRate is the number of bytes in a second that are read from another failure
	// domain: that of a link of 1 Gbit/s.
	crossingRate = 125e6
	// minExpected is the least expected time to a first event; times are compared as
	// multiples of it.
	minExpected = time.Millisecond
	// defaultSlots is assumed for a target that states none.
	defaultSlots = 8
)

// serviceState is what this node has learned about the targets of a service in common.
type serviceState struct {
	reportsFactor bool // A target has reported its work factor.
	model         firstEventModel
	utilization   mean // Reported running and waiting requests for each slot.
	unread        mean // Tokens that a target reads for a request.
	held          mean // Tokens that a target holds for a request.
	seconds       mean // Duration of a call.
	ratios        mean // Logarithm of the time to the first event as a multiple of the expected one.
	prefixes      prefixTable
}

// mean is an exponentially weighted moving mean that starts with the first sample.
type mean struct {
	value    float64
	variance float64
	started  bool
}

func (m *mean) add(value, gain float64) {
	if !m.started {
		m.value, m.started = value, true
		return
	}
	difference := value - m.value
	m.value += gain * difference
	m.variance = (1 - gain) * (m.variance + gain*difference*difference)
}

// firstEventModel estimates the time to the first event at an idle target of usual
// speed, in seconds, as a fixed time and a time for each token that is read: a least
// squares fit in which older samples count less.
type firstEventModel struct {
	count            int
	weight           float64
	x, y, xx, xy     float64
	fixed, perToken  float64
	estimateIsFitted bool
}

// estimate returns the expected time in seconds.
func (m *firstEventModel) estimate(tokens float64) float64 {
	if !m.estimateIsFitted {
		return initialFixedTime.Seconds() + tokens*initialReadTime.Seconds()/initialTokens
	}
	return m.fixed + tokens*m.perToken
}

// judges reports whether enough samples are there to tell what is slow.
func (m *firstEventModel) judges() bool { return m.count >= minSamples }

// add adds a sample. Samples of slow targets have a weight below 1.
func (m *firstEventModel) add(tokens, seconds, weight float64) {
	if m.judges() {
		seconds = min(seconds, maxSampleRatio*m.estimate(tokens))
	}
	m.count++
	for _, sum := range []*float64{&m.weight, &m.x, &m.y, &m.xx, &m.xy} {
		*sum *= modelDecay
	}
	m.weight += weight
	m.x += weight * tokens
	m.y += weight * seconds
	m.xx += weight * tokens * tokens
	m.xy += weight * tokens * seconds
	m.fit()
}

// fit sets the parameters, neither of which is negative. If the samples have about the
// same number of tokens, the time for each token stays as it was.
func (m *firstEventModel) fit() {
	meanX, meanY := m.x/m.weight, m.y/m.weight
	variance := m.xx/m.weight - meanX*meanX
	if !m.estimateIsFitted {
		m.perToken = initialReadTime.Seconds() / initialTokens
	}
	if m.judges() && variance > 0.01*meanX*meanX {
		m.perToken = max(0, (m.xy/m.weight-meanX*meanY)/variance)
	}
	if m.perToken*meanX > meanY { // The fixed time would be negative.
		m.perToken = meanY / meanX
	}
	m.fixed = meanY - m.perToken*meanX
	m.estimateIsFitted = true
}

// service returns the state of a service.
func (t *Table) service(name string) *serviceState {
	if t.services == nil {
		t.services = make(map[string]*serviceState)
	}
	state := t.services[name]
	if state == nil {
		state = &serviceState{}
		t.services[name] = state
	}
	return state
}

// Estimates reports whether targets of a service are chosen by the expected time, since
// one of them has reported its work factor.
func (t *Table) Estimates(service string) bool {
	state := t.services[service]
	return state != nil && state.reportsFactor
}

// observeLoad records what a load report says about the target and its service.
func (t *Table) observeLoad(target site.Target, state *targetState) {
	state.inFlightAtReport = state.inFlight
	if state.reported.WorkFactor == 0 && t.services[target.Service] == nil {
		return
	}
	service := t.service(target.Service)
	if f := state.reported.WorkFactor; f > 0 {
		service.reportsFactor = true
		state.reported.WorkFactor = min(max(f, minWorkFactor), maxWorkFactor)
		state.usualFactor += factorGain * (math.Log(float64(state.reported.WorkFactor)/100) - state.usualFactor)
	}
	if slots := state.reported.Slots; slots > 0 {
		utilization := float64(state.reported.Running+state.reported.Waiting) / float64(slots)
		service.utilization.add(utilization, meanGain)
		state.utilization.add(utilization, utilizationGain)
	}
}

// pruneServices discards the state of services without targets.
func (t *Table) pruneServices(d site.Directory) {
	for name := range t.services {
		if !slices.ContainsFunc(d.Targets, func(target site.Target) bool { return target.Service == name }) {
			delete(t.services, name)
		}
	}
}

// estimator estimates the times of one request at the targets of its service.
type estimator struct {
	now      time.Time
	criteria Criteria
	table    *Table
	service  *serviceState
	others   map[string]float64 // Slowdown that other nodes have announced, by target.
	copies   []int              // Number of targets that serve each prefix of the request.
	slots    float64            // Of all targets.
}

// option is a target with what is expected of it.
type option struct {
	target   *site.Target
	state    *targetState
	slots    float64
	load     float64 // Running and waiting requests.
	factor   float64 // Of the time of work, by its VM.
	slowdown float64 // Of the time of work, as learned.
	unread   float64 // Tokens of this request that it would read.
	full     bool    // It has no slot or no memory for the request.
	seconds  float64 // Expected time to the first event.
	base     float64 // The same without the slowdown.
	reading  float64 // Expected time to read the tokens of this request.
}

// cost is the expected time to the first event and the time for which reading the prompt
// delays the other requests of the target, in seconds.
func (o *option) cost() float64 { return o.seconds + o.reading }

// pressure orders the targets by their load: requests for each slot of usual speed.
func (o *option) pressure() float64 { return (o.load + 1) / o.slots * o.factor * o.slowdown }

// scale is the factor on the time that an idle target of usual speed needs.
func (o *option) scale() float64 { return o.factor * (1 + loadSlowdown*min(1, o.load/o.slots)) }

// option returns what is expected of a target.
func (e *estimator) option(target *site.Target, state *targetState, cached int) *option {
	o := &option{
		target: target, state: state, slots: e.slotsOf(target, state), load: e.loadOf(target, state), factor: state.workFactor(e.now),
		slowdown: e.slowdown(target, state), unread: e.criteria.Work.unread(cached),
	}
	reported := e.now.Sub(state.reportedAt) < maxReportAge
	o.full = float64(state.inFlight) >= o.slots || reported && o.load >= o.slots || e.memoryFull(o)
	ahead := state.unread + e.service.unread.value*e.waitingOf(state)
	o.base = o.scale()*e.service.model.estimate(o.unread+ahead) + e.slotWait(o)
	o.base = max(o.base+e.crossing(target), minExpected.Seconds())
	o.seconds = o.base * o.slowdown
	o.reading = e.readingTime(o, o.unread)
	return o
}

// readingTime returns the expected time to read tokens of this request at a target, in
// seconds.
func (e *estimator) readingTime(o *option, tokens float64) float64 {
	return o.scale() * o.slowdown * (e.service.model.estimate(tokens) - e.service.model.estimate(0))
}

// crossing returns the seconds that the request and its inputs need to a target in another
// failure domain.
func (e *estimator) crossing(target *site.Target) float64 {
	seconds := 0.0
	if target.Domain != e.criteria.Domain {
		seconds = crossingTime.Seconds()
	}
	if e.criteria.InputDomain != "" && target.Domain != e.criteria.InputDomain {
		seconds += float64(e.criteria.InputBytes) / crossingRate
	}
	return seconds
}

// slotsOf returns the number of requests that a target runs at once.
func (e *estimator) slotsOf(target *site.Target, state *targetState) float64 {
	for _, n := range []int{state.reported.Slots, e.criteria.Engine.Slots, target.Slots} {
		if n > 0 {
			return float64(n)
		}
	}
	return defaultSlots
}

// loadOf returns the running and waiting requests of a target: the reported ones, with
// the calls that this node has started and ended since. A report counts less with its
// age, and the mean load of the target and of the service more.
func (e *estimator) loadOf(target *site.Target, state *targetState) float64 {
	age := e.now.Sub(state.reportedAt)
	kept := math.Exp2(-age.Seconds() / utilizationHalfLife.Seconds())
	own, usual := float64(state.inFlight), (kept*state.utilization.value+(1-kept)*e.service.utilization.value)*e.slotsOf(target, state)
	if age >= maxReportAge {
		return max(own, usual)
	}
	share := 1 - age.Seconds()/maxReportAge.Seconds()
	reported := share*float64(state.reported.Running+state.reported.Waiting) + (1-share)*usual
	return max(own, reported+float64(state.inFlight-state.inFlightAtReport))
}

// waitingOf returns the requests that wait at a target according to its last report.
func (e *estimator) waitingOf(state *targetState) float64 {
	if e.now.Sub(state.reportedAt) >= maxReportAge {
		return 0
	}
	return float64(state.reported.Waiting)
}

// memoryFull reports whether the request would exceed the memory of a target.
func (e *estimator) memoryFull(o *option) bool {
	return e.exceedsMemory(float64(o.state.held) + e.othersHeld(o))
}

// othersHeld returns the tokens that a target holds for requests of other nodes, which count
// as large as those of this node.
func (e *estimator) othersHeld(o *option) float64 {
	return max(0, o.load-float64(o.state.inFlight)) * e.service.held.value
}

// exceedsMemory reports whether the request does not fit into the memory of a target
// that holds the given number of tokens.
func (e *estimator) exceedsMemory(held float64) bool {
	limit := float64(e.criteria.Engine.MemoryTokens)
	return limit > 0 && held+float64(e.criteria.Work.tokens()) > limit
}

// slotWait returns the seconds until a full target has a slot for the request.
func (e *estimator) slotWait(o *option) float64 {
	return max(0, o.load-o.slots+1) / o.slots * e.service.seconds.value * o.factor
}

// workFactor returns how long work takes at a target, as a multiple of the usual time.
func (s *targetState) workFactor(now time.Time) float64 {
	share := max(0, 1-now.Sub(s.reportedAt).Seconds()/factorLifetime.Seconds())
	if s.reported.WorkFactor == 0 {
		share = 0
	}
	return share*float64(s.reported.WorkFactor)/100 + (1-share)*math.Exp(s.usualFactor)
}
