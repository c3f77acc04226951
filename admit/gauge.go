package admit

import "time"

const (
	// gaugeInterval is the time between two changes of a gauge.
	gaugeInterval = 100 * time.Millisecond
	// gaugeWindow is the window in which a node averages what arrives at it. A
	// node of 79 gets about one request per second of a service, so less says
	// little about the shares of the priorities.
	gaugeWindow = 10 * time.Second
	// gaugeGain is the relative change per second of the admitted share for a
	// load that is off its goal by one, and waitingGain how much less is admitted at
	// once for each waiting request per slot. Reports are up to 1 s old and follow the
	// share after about the time of a stream. A higher gain overshoots and empties
	// slots; a lower one leaves a long queue.
	gaugeGain   = 0.5
	waitingGain = 1.5
	// riseExcess is the least excess of load, at which the share rises fastest. It is taken
	// without evidence of overload.
	riseExcess = -0.5
	// maxGaugeGap is the time without loads from which on the share starts from 1 again.
	maxGaugeGap = 2 * time.Second
	// usualLoad is the load, running and waiting requests per slot, that the
	// gauge aims at: a few requests wait, so that no slot is empty.
	usualLoad = 1.1
	// firstEventWindow is the window in which times to the first event are
	// averaged, and lateShare the part of them after the latency target from
	// which the service counts as overloaded, whatever its targets report.
	firstEventWindow = 2 * time.Second
	lateShare        = 0.3
	lateError        = 0.5 // Taken for the excess of load then.
	minLateSamples   = 3.0
	// lateLoad is the load from which late first events are evidence of overload. With
	// a lower one they have another cause, such as a latency target that the service
	// cannot meet, which rejections do not help. lateMinShare bounds what
	// they cause if no load is known.
	lateLoad     = 0.7
	lateMinShare = 0.5
	// minTimeSamples is the number of first events from which their mean time is used.
	// One target that does not respond must not have other requests rejected.
	minTimeSamples = 5.0
	// minReporting is the number of targets whose loads must be known, unless there are
	// fewer. A node hears only of the few targets that it sent requests to.
	minReporting = 3
)

// GaugeEvent is what a [Gauge] observes.
type GaugeEvent interface{ gaugeEvent() }

// Load is the sum of the recent loads that targets of a service have reported.
type Load struct {
	Running, Waiting, Slots int
	Reporting, Targets      int // Targets with a recent report, and all that accept new work.
}

// FirstEvent is the first event, or response, of a request at a target.
type FirstEvent struct {
	Route string
	Took  time.Duration // Since the request was first sent to a target.
	Late  bool          // It came after the latency target.
}

// Arrival is a request for the service, admitted or not.
type Arrival struct {
	Class Class
	Work  float64
}

func (Load) gaugeEvent()       {}
func (FirstEvent) gaugeEvent() {}
func (Arrival) gaugeEvent()    {}

// Gauge makes the level of a service without owners, on each node by itself. All
// nodes read about the same reports, so that their levels are about the same. The
// zero value is ready for use. It is not safe for concurrent use.
type Gauge struct {
	demand       demand
	share        float64 // Of all work that is admitted; zero means not yet known.
	applied      float64 // Share, less what waiting requests take off at once.
	updated      time.Time
	load         float64
	known        bool                 // Enough targets report their loads.
	late, firsts average              // Numbers of first events.
	took         map[string]*meanTime // By route.
	level        Level
}

// Apply records an event. The level changes with [Load] events only, which are used at
// most once in gaugeInterval.
func (g *Gauge) Apply(now time.Time, e GaugeEvent) {
	switch e := e.(type) {
	case Arrival:
		g.demand.add(now, gaugeWindow, e.Class, e.Work)
	case FirstEvent:
		g.firsts.add(now, firstEventWindow, 1)
		g.recordTime(now, e)
		if e.Late {
			g.late.add(now, firstEventWindow, 1)
		}
	case Load:
		g.update(now, e)
	}
}

// Due reports whether a [Load] would be used now.
func (g *Gauge) Due(now time.Time) bool { return now.Sub(g.updated) >= gaugeInterval }

func (g *Gauge) update(now time.Time, l Load) {
	if !g.Due(now) {
		return
	}
	elapsed := now.Sub(g.updated)
	if g.share == 0 || elapsed > maxGaugeGap {
		g.share, elapsed = max(g.share, 1), gaugeInterval
	}
	g.updated = now
	g.known = l.Slots > 0 && l.Reporting >= min(minReporting, l.Targets)
	excess := riseExcess
	waiting := 0.0
	if g.known {
		g.load = float64(l.Running+l.Waiting) / float64(l.Slots)
		waiting = max(0, g.load-usualLoad)
		excess = min(1, max(riseExcess, g.load-usualLoad))
	}
	least := minShare
	if g.oftenLate(now) && (!g.known || g.load >= lateLoad) {
		excess = max(excess, lateError)
		if !g.known {
			least = lateMinShare
		}
	}
	g.share *= 1 - gaugeGain*excess*elapsed.Seconds()
	g.share = min(1, max(least, g.share))
	if g.known && l.Waiting == 0 && float64(l.Running) <= (1-freeShare)*float64(l.Slots) {
		g.share = 1 // Whatever the cause of late events is, rejections do not help.
	}
	g.applied = max(minShare, g.share*(1-min(1, waitingGain*waiting)))
	g.level = Level{}
	if g.applied < 1 {
		rates := g.demand.rates(now, gaugeWindow)
		total := 0.0
		for _, c := range sortedClasses(rates) {
			total += rates[c]
		}
		g.level = Allocate(rates, func(int) float64 { return g.applied * total })
	}
}

// oftenLate reports whether many of the recent first events came after the latency target.
func (g *Gauge) oftenLate(now time.Time) bool {
	firsts := g.firsts.value(now, firstEventWindow)
	return firsts >= minLateSamples && g.late.value(now, firstEventWindow) > lateShare*firsts
}

// Level returns the level, the zero value if there has been no load for maxLevelAge.
func (g *Gauge) Level(now time.Time) Level {
	if now.Sub(g.updated) > maxLevelAge {
		return Level{}
	}
	return g.level
}

// meanTime is the mean of the recent times to the first event.
type meanTime struct {
	seconds, number average
	lastAt          time.Time
}

// maxRoutes limits the routes whose times are kept.
const maxRoutes = 256

func (g *Gauge) recordTime(now time.Time, e FirstEvent) {
	if g.took == nil || len(g.took) > maxRoutes {
		g.took = make(map[string]*meanTime)
	}
	m := g.took[e.Route]
	if m == nil {
		m = &meanTime{}
		g.took[e.Route] = m
	}
	m.seconds.add(now, firstEventWindow, e.Took.Seconds())
	m.number.add(now, firstEventWindow, 1)
	m.lastAt = now
}

// FirstEventTime returns the recent mean time to the first event of a route's requests,
// zero if there have been too few for firstEventWindow.
func (g *Gauge) FirstEventTime(now time.Time, route string) time.Duration {
	m := g.took[route]
	if m == nil || now.Sub(m.lastAt) > firstEventWindow {
		return 0
	}
	n := m.number.value(now, firstEventWindow)
	if n < minTimeSamples {
		return 0
	}
	return time.Duration(m.seconds.value(now, firstEventWindow) / n * float64(time.Second))
}
