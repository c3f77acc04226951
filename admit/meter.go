package admit

import (
	"maps"
	"slices"
	"time"
)

const (
	// meterWindow is the window in which arrivals and results are averaged.
	// Bursts take 3 s and more; a tenth of a second of work at a shard is too
	// little to tell them from chance.
	meterWindow = time.Second
	// saturatedRounds is the queue, in full calls to each target, from which the calls
	// are full. With a shorter one the rate of results is that of arrivals and says
	// nothing about the capacity. saturatedTime is how long it must last before the
	// rate of results counts as the capacity. Calls take up to 300 ms.
	saturatedRounds = 0.7
	saturatedTime   = 500 * time.Millisecond
	// recoveryTime is the time in which the capacity returns to the nominal one
	// while the queue is empty at times.
	recoveryTime = 3 * time.Second
	// burstFactor is the demand, in relation to the capacity, from which an empty
	// queue is taken for the beginning of a burst. Less would reject work for
	// an accident of arrivals.
	burstFactor = 1.5
	// backlogGain is how much less is admitted, in relation to the capacity, for each
	// second of queue beyond what the work can afford. Levels arrive up to a second
	// old, so a higher gain makes the queue oscillate.
	backlogGain = 1.2
	// slackWindow is the window in which the time that work can wait is averaged.
	slackWindow = 5 * time.Second
	// freeShare is the share of the slots that must be free for nothing to be rejected
	// while nothing waits.
	freeShare = 0.5
	// A priority is behind if the share of its requests that were served within
	// behindWindow is less than behindShare times that of all requests. Every kind must be
	// served a quarter as often as all, also in a burst of 8 s; the rest covers the time
	// until the level that follows is in force on all nodes.
	behindShare  = 0.4
	behindWindow = 10 * time.Second
	// forecastLimit bounds the time until capacity is expected.
	forecastLimit = 4 * time.Second
)

// MeterEvent is what a [Meter] observes.
type MeterEvent interface{ meterEvent() }

// Offered is work that was submitted, whether or not it is accepted.
type Offered struct {
	Class Class
	Work  float64
	// Weight is the number of requests that this one stands for, the others
	// having been rejected because of this service's level; see
	// [Decision.Weight]. Less than 1 counts as 1.
	Weight float64
	// Slack is the time that the work can afford to wait.
	Slack time.Duration
}

// slack is the mean slack of the work of a priority.
type slack struct{ seconds, number average }

func (s *slack) mean(now time.Time) float64 {
	n := s.number.value(now, slackWindow)
	if n <= 0 {
		return 0
	}
	return max(0, s.seconds.value(now, slackWindow)/n)
}

// Processed is work that a target has finished.
type Processed struct {
	Priority int
	Work     float64
	Requests float64 // Part of a request that the work is.
}

// Queue is the state of the queue at one time.
type Queue struct {
	Waiting map[int]float64 // Work by priority.
	Nominal float64         // Work per second of the usable targets at their usual speed.
	Round   float64         // Work of one full call to each of them.
	Free    float64         // Share of their slots that are free.
}

func (Offered) meterEvent()   {}
func (Processed) meterEvent() {}
func (Queue) meterEvent()     {}

// maxWeight limits the weight that a submitter may state.
const maxWeight = 1 / minShare

// Meter makes the level of one shard. Work that was admitted at a share counts for
// the rejected work, too, so that the estimated demand does not depend on the level,
// and a level that reaches the nodes late does not make it oscillate. The zero value
// is ready for use. It is not safe for concurrent use.
type Meter struct {
	demand       demand
	processed    average
	slack        map[int]*slack // By priority.
	waitingSince time.Time      // Zero while the queue is too short for full calls.
	capacity     float64        // Work per second.
	updated      time.Time      // Last Queue event.
	backlog      float64        // Seconds.
	level        Level
	offered      float64           // Work per second.
	all          outcomes          // Requests offered and served.
	byPriority   map[int]*outcomes // The same by priority.
	behind       map[int]bool      // By priority, as of the last Queue.
}

// Apply records an event. The level changes with [Queue] events only.
func (m *Meter) Apply(now time.Time, e MeterEvent) {
	switch e := e.(type) {
	case Offered:
		if e.Work > 0 {
			weight := min(max(e.Weight, 1), maxWeight)
			m.demand.add(now, meterWindow, e.Class, e.Work*weight)
			m.addSlack(now, e)
			m.count(now, e.Class.Priority, weight, 0)
		}
	case Processed:
		m.processed.add(now, meterWindow, e.Work)
		m.count(now, e.Priority, 0, e.Requests)
	case Queue:
		waiting := 0.0
		for _, p := range slices.Sorted(maps.Keys(e.Waiting)) { // A sum of fractions depends on the order.
			waiting += e.Waiting[p]
		}
		m.updateCapacity(now, waiting, e)
		m.updateLevel(now, e, waiting)
	}
}

// maxPriorities limits the priorities whose slack is kept.
const maxPriorities = 64

// count adds to the numbers of requests from which [Meter.Behind] follows. A piece of work
// is a fraction of a request.
func (m *Meter) count(now time.Time, priority int, offered, served float64) {
	if m.byPriority == nil || len(m.byPriority) > maxPriorities {
		m.byPriority = make(map[int]*outcomes)
	}
	if m.byPriority[priority] == nil {
		m.byPriority[priority] = &outcomes{}
	}
	for _, o := range []*outcomes{&m.all, m.byPriority[priority]} {
		o.offered.add(now, behindWindow, offered)
		o.admitted.add(now, behindWindow, served)
	}
}

// Behind reports whether requests of a priority have recently been served so much less
// often than all that their work must go before more urgent work, as of the last [Queue].
func (m *Meter) Behind(priority int) bool { return m.behind[priority] }

// updateBehind determines the priorities that are behind, and raises the share that the
// level reserves if one of them is less urgent than the level's. It is done by the owner,
// which sees the requests of all nodes: one node may see a single request of a kind in 10 s.
func (m *Meter) updateBehind(now time.Time) {
	all := m.all.share(now, behindWindow)
	m.behind = make(map[int]bool)
	for p, o := range m.byPriority {
		offered := o.offered.value(now, behindWindow) // A rare kind may have less than one request.
		if o.admitted.value(now, behindWindow) >= behindShare*all*offered {
			continue
		}
		m.behind[p] = true
		if p > m.level.Priority && !m.level.Unlimited() {
			m.level.Reserved = max(m.level.Reserved, behindShare*min(1, all))
		}
	}
}

func (m *Meter) addSlack(now time.Time, e Offered) {
	if m.slack == nil || len(m.slack) > maxPriorities {
		m.slack = make(map[int]*slack)
	}
	s := m.slack[e.Class.Priority]
	if s == nil {
		s = &slack{}
		m.slack[e.Class.Priority] = s
	}
	s.seconds.add(now, slackWindow, max(0, e.Slack.Seconds()))
	s.number.add(now, slackWindow, 1)
}

// updateCapacity sets the capacity to the rate of results if the queue shows that no
// more is possible. Otherwise it approaches the nominal one.
func (m *Meter) updateCapacity(now time.Time, waiting float64, q Queue) {
	nominal := q.Nominal
	elapsed := now.Sub(m.updated)
	if m.updated.IsZero() || elapsed > recoveryTime {
		m.capacity, elapsed = nominal, 0
	}
	m.updated = now
	m.capacity = min(m.capacity, nominal)
	if waiting <= saturatedRounds*q.Round {
		m.waitingSince = time.Time{}
	} else if m.waitingSince.IsZero() {
		m.waitingSince = now
	}
	goal, pace := nominal, elapsed.Seconds()/recoveryTime.Seconds()
	if !m.waitingSince.IsZero() {
		if now.Sub(m.waitingSince) < saturatedTime {
			return
		}
		goal, pace = min(nominal, m.processed.rate(now, meterWindow)), elapsed.Seconds()/saturatedTime.Seconds()
	}
	const minCapacityShare = 0.05 // Of the nominal one; results come in calls, and none for a moment is no capacity of zero.
	m.capacity += min(1, pace) * (goal - m.capacity)
	m.capacity = max(m.capacity, minCapacityShare*nominal)
}

// updateLevel sets the level at which the queue stays short.
func (m *Meter) updateLevel(now time.Time, q Queue, waiting float64) {
	if m.capacity <= 0 {
		m.level, m.backlog, m.offered = Level{}, 0, 0
		return
	}
	m.backlog = waiting / m.capacity
	rates := m.demand.rates(now, meterWindow)
	m.offered = 0
	for _, r := range rates {
		m.offered += r
	}
	ahead := make(map[int]float64, len(m.slack)) // Waiting work by priority, with that of more urgent ones.
	for p := range m.slack {
		for _, other := range slices.Sorted(maps.Keys(q.Waiting)) {
			if other <= p {
				ahead[p] += q.Waiting[other]
			}
		}
	}
	m.level = Allocate(rates, func(p int) float64 { return m.admitted(now, p, ahead[p], q.Round) })
	m.updateBehind(now)
	if waiting <= 0 && q.Free >= freeShare {
		m.level = Level{}
	}
}

// admitted returns the work per second to admit of a priority and more urgent ones, behind
// the given waiting work: the capacity if they wait as long as they can afford.
func (m *Meter) admitted(now time.Time, priority int, ahead, round float64) float64 {
	affordable := round // Waits for the next calls in any case.
	if s := m.slack[priority]; s != nil {
		affordable = max(affordable, s.mean(now)*m.capacity)
	}
	if ahead < affordable {
		return m.capacity * (burstFactor + (1-burstFactor)*ahead/affordable)
	}
	return m.capacity - backlogGain*(ahead-affordable)
}

// Level returns the level as of the last [Queue].
func (m *Meter) Level() Level { return m.level }

// Backlog returns the time that the queued work needs, as of the last [Queue].
func (m *Meter) Backlog() time.Duration { return time.Duration(m.backlog * float64(time.Second)) }

// Capacity returns the work per second that is processed, and Demand that which is
// offered, both as of the last [Queue].
func (m *Meter) Capacity() float64 { return m.capacity }

// Demand returns the work per second that is offered, as of the last [Queue].
func (m *Meter) Demand() float64 { return m.offered }
