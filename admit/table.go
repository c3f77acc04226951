package admit

import (
	"time"
)

const (
	// maxLevelAge is the age from which a level is not used. Without one,
	// everything is admitted.
	maxLevelAge = 2 * time.Second
	// minShare is the least share of any class, whatever the levels say. It
	// brings evidence that a service has capacity again, and so bounds the harm
	// of a false level.
	minShare = 0.05
	// urgentShare is the same for the most urgent requests of this node. No load that was
	// seen needs less, so that a lower level of theirs is false.
	urgentShare = 0.3
	// IdleWait is the wait, shorter than a call, below which a shard counts as one without
	// a queue. The least share of any class is then idleShare: at three to five times the
	// capacity, all classes together can have that share while the queue is empty. Without
	// it, an account with few requests, spread over many nodes, gets nothing while all
	// shards report a false level.
	IdleWait  = 100 * time.Millisecond
	idleShare = 0.3
	// guaranteedShare is the least share of a route or account that has been served
	// less often than deficitShare, both in relation to all requests of this node
	// within guaranteeWindow. Every route and account must be served at least a
	// quarter as often as all requests, but not in each second: bursts take 3 to
	// 10 s, and capacity reserved in a burst is missing for urgent requests.
	guaranteedShare = 0.3
	deficitShare    = 0.3
	guaranteeWindow = 60 * time.Second
	// hopelessShare is the share of requests that are admitted although they are
	// expected to end after their deadline: the estimate may be wrong, and
	// only a request that runs shows that.
	hopelessShare = 0.05
	// lateFactor multiplies the share of a request that will miss its latency target.
	// The largest tenth of a route, often late, must be served at least half as often
	// as the route.
	lateFactor = 0.5
	// returnFactor multiplies the share of a request whose client returned after its
	// Retry-After and that can still meet its latency target, at the priority at which
	// the capacity ends. Less urgent classes have the reserved share only, which
	// more of them must not exceed.
	returnFactor = 2.0
	// maxCredits and maxReturns bound the memory.
	maxCredits = 1024
	maxReturns = 4096
	// returnTime is how long after its Retry-After a client is preferred.
	returnTime = 5 * time.Second
	// earlyTolerance is how much earlier than told a client may return: clocks
	// and rounding differ.
	earlyTolerance = 20 * time.Millisecond
	// MinRetryAfter is the least retry delay.
	MinRetryAfter = 200 * time.Millisecond
	// RetryJitter is the greatest random increase of a retry delay, so that the clients
	// rejected in one moment do not return in one.
	RetryJitter = 0.5
	// PatienceShare is the part of the time left that clients wait before they
	// retry; a longer delay means no retry.
	PatienceShare = 1.0 / 3
)

// Reason says why a request was rejected.
type Reason int

// Reasons for a rejection.
const (
	// Admitted means that the request was not rejected.
	Admitted Reason = iota // admitted
	// LowPriority means that the capacity goes to more urgent requests.
	LowPriority // priority
	// OverShare means that the account has its share of the capacity.
	OverShare // account
	// TooLate means that the request would end after its deadline.
	TooLate // deadline
	// EarlyRepeat means that the client repeats a request before its Retry-After.
	EarlyRepeat // repeat
)

// ShardLevel is the level of one shard of a service as known by a node.
type ShardLevel struct {
	Targets int // Its weight.
	Level   Level
	At      time.Time     // Time as of which the owner made it; zero if none is known.
	Backlog time.Duration // Time until new work of the shard starts.
	// Idle means that the shard reported less than [IdleWait] of waiting work at its
	// last report. A level that is much lower is then false or out of date.
	Idle bool
}

// Stage is a stage service that a request needs.
type Stage struct {
	Service string
	Shards  []ShardLevel
}

// Request is what decides whether a request is admitted.
type Request struct {
	Route   string
	Class   Class
	Stages  []Stage
	Service string  // The service that gets the request itself.
	Work    float64 // Tokens or, without any, requests at that service.
	// Print identifies the content of the request and its client account; a
	// repeat has the same.
	Print uint64
	// Expected is the time until the response of the request begins, as far as is
	// known, from now on; see [Table.FirstEventTime].
	Expected time.Duration
	// TargetLeft and Left are the times until the latency target and the deadline.
	TargetLeft, Left time.Duration
	// Draw is a random number from 0 up to 1.
	Draw float64
}

// Decision is the outcome for one request.
type Decision struct {
	Reason     Reason
	Service    string  // The service that has too little capacity, if one has.
	Share      float64 // The share at which the request competed.
	RetryAfter time.Duration
	LevelAge   time.Duration // Of the level that decided.
	// Returned means that the client came back after its Retry-After.
	Returned bool
	// Waited is how long ago the client that returned first sent the request. Its latency
	// target counts from then.
	Waited time.Duration

	shares []float64 // By stage, then that of the service.
}

// Table admits requests on one node. The zero value is ready for use. It is not safe
// for concurrent use.
type Table struct {
	gauges   map[string]*Gauge
	credits  map[creditKey]*credit
	recent   map[uint64]recent // By print; only while requests are limited.
	urgent   urgent
	all      outcomes
	routes   map[string]*outcomes
	accounts map[string]*outcomes
}

// outcomes counts the requests of a group of classes that were decided on and those
// that were admitted.
type outcomes struct{ offered, admitted average }

// add counts a decision. A repeated request counts as offered once.
func (o *outcomes) add(now time.Time, admitted, repeated bool) {
	if !repeated {
		o.offered.add(now, guaranteeWindow, 1)
	}
	if admitted {
		o.admitted.add(now, guaranteeWindow, 1)
	}
}

// share returns the share of requests that were admitted, 1 if there were none.
func (o *outcomes) share(now time.Time, window time.Duration) float64 {
	if o == nil {
		return 1
	}
	offered := o.offered.value(now, window)
	if offered < 1 {
		return 1
	}
	return o.admitted.value(now, window) / offered
}

// recent is the last request with some content.
type recent struct {
	first    time.Time // Time of the first one.
	at       time.Time // Retry time of a rejected request, else time of the request.
	admitted bool
	// common means that the content came again after it had been admitted. Further
	// requests with it are no repeats.
	common bool
}

// creditKey separates what must not take credit from each other.
type creditKey struct {
	route string
	class Class
	least bool // Requests that compete at a guaranteed share only.
}

// credit accumulates the shares of requests, from 0 to 1. It admits a request for each
// time that it passes 1, which is more even than to draw for each.
type credit struct{ value float64 }

// Observe records an event about a service without owners.
func (t *Table) Observe(now time.Time, service string, e GaugeEvent) { t.gauge(service).Apply(now, e) }

// LoadDue reports whether the loads of a service's targets are to be observed.
func (t *Table) LoadDue(now time.Time, service string) bool { return t.gauge(service).Due(now) }

// FirstEventTime returns the recent mean time to the first event of a route's requests
// at a service, zero if it is not known.
func (t *Table) FirstEventTime(now time.Time, service, route string) time.Duration {
	return t.gauge(service).FirstEventTime(now, route)
}

// Level returns the level of a service without owners.
func (t *Table) Level(now time.Time, service string) Level { return t.gauge(service).Level(now) }

func (t *Table) gauge(service string) *Gauge {
	if t.gauges == nil {
		t.gauges = make(map[string]*Gauge)
	}
	g := t.gauges[service]
	if g == nil {
		g = &Gauge{}
		t.gauges[service] = g
	}
	return g
}

// Prune forgets the services for which known reports false.
func (t *Table) Prune(known func(service string) bool) {
	for s := range t.gauges {
		if !known(s) {
			delete(t.gauges, s)
		}
	}
}

// Admit decides on a request. It is asked once for each, before its stages.
func (t *Table) Admit(now time.Time, r Request) Decision {
	t.Observe(now, r.Service, Arrival{Class: r.Class, Work: max(r.Work, 1)})
	t.urgent.observe(now, r.Class.Priority)
	least := t.guaranteed(now, r)
	d := t.competing(now, r)
	d.raise(least)
	last, repeated := t.lastRequest(now, r.Print)
	early := repeated && now.Before(last.at.Add(-earlyTolerance))
	d.Returned = repeated && !early && now.Sub(last.at) < returnTime
	if d.Returned {
		d.Waited = now.Sub(last.first)
	}
	key := creditKey{route: r.Route, class: r.Class}
	switch {
	case r.Expected > r.Left:
		d.Reason, d.Share, key.least = TooLate, hopelessShare, true
	case early && d.Share < 1:
		d.Reason, d.Share, key.least = EarlyRepeat, min(d.Share, least), true
	default:
		d.prefer(r.Expected > r.TargetLeft-now.Sub(last.first), d.Returned)
	}
	admitted := d.Share >= 1 || t.credit(key, r.Draw).take(d.Share)
	t.count(now, r, admitted, repeated)
	if !admitted {
		d.RetryAfter = retryAfter(now, r, d, last.at, early)
		last.at, last.admitted = now.Add(d.RetryAfter), false
		t.remember(now, r.Print, last)
		return d
	}
	if d.Share < 1 || repeated {
		last.at, last.admitted = now, true
		t.remember(now, r.Print, last)
	}
	d.Reason = Admitted
	if key.least {
		d.shares = nil // It did not compete by the levels.
	}
	return d
}

// lastRequest returns the last request with the same content, or a new one, and whether
// the present one repeats it.
func (t *Table) lastRequest(now time.Time, print uint64) (recent, bool) {
	last, repeated := t.recent[print]
	last.common = last.common || last.admitted
	repeated = repeated && !last.common
	if !repeated {
		last.first = now
	}
	return last, repeated
}

// raise sets the shares to at least the given one.
func (d *Decision) raise(least float64) {
	d.Share = max(d.Share, least)
	for i, share := range d.shares {
		d.shares[i] = max(share, least)
	}
}

// competing returns a decision with the lowest share that the services of a request
// allow, and the reason for a rejection at that share.
func (t *Table) competing(now time.Time, r Request) Decision {
	d := Decision{Share: 1, Reason: LowPriority, shares: make([]float64, 0, len(r.Stages)+1)}
	consider := func(service string, share float64, priority int, age time.Duration) {
		d.shares = append(d.shares, share)
		if share >= d.Share {
			return
		}
		d.Share, d.Service, d.LevelAge, d.Reason = share, service, age, LowPriority
		if priority == r.Class.Priority {
			d.Reason = OverShare
		}
	}
	for _, s := range r.Stages {
		share, priority, age := s.share(now, r.Class)
		consider(s.Service, share, priority, age)
	}
	g := t.gauge(r.Service)
	l := g.Level(now)
	consider(r.Service, l.ShareOf(r.Class), l.Priority, now.Sub(g.updated))
	return d
}

// share returns the mean share of a class at the shards of a stage, with the priority
// of the most restrictive level and its age. A shard without a recent level counts as
// admitting everything.
func (s Stage) share(now time.Time, c Class) (share float64, priority int, age time.Duration) {
	sum, targets, lowest := 0.0, 0, 2.0
	for _, v := range s.Shards {
		one := 1.0
		if known := now.Sub(v.At); known <= maxLevelAge && v.Level.Valid() {
			one = v.Level.ShareOf(c)
			if v.Idle {
				one = max(one, idleShare)
			}
			if one < lowest {
				lowest, priority, age = one, v.Level.Priority, known
			}
		}
		sum += one * float64(max(1, v.Targets))
		targets += max(1, v.Targets)
	}
	if targets == 0 {
		return 1, priority, age
	}
	return sum / float64(targets), priority, age
}

// guaranteed returns the least share of a request.
func (t *Table) guaranteed(now time.Time, r Request) float64 {
	all := t.all.share(now, guaranteeWindow)
	if min(t.routes[r.Route].share(now, guaranteeWindow), t.accounts[r.Class.Account].share(now, guaranteeWindow)) < deficitShare*all {
		return max(minShare, guaranteedShare*all)
	}
	if r.Class.Priority <= t.urgent.priority {
		return urgentShare
	}
	return minShare
}

// urgent is the priority of the most urgent request of late.
type urgent struct {
	priority int
	at       time.Time
}

func (u *urgent) observe(now time.Time, priority int) {
	if priority <= u.priority || now.Sub(u.at) > guaranteeWindow {
		u.priority, u.at = priority, now
	}
}

// count records a decision for the guaranteed minimums.
func (t *Table) count(now time.Time, r Request, admitted, repeated bool) {
	t.all.add(now, admitted, repeated)
	t.routes = counted(t.routes, r.Route)
	t.routes[r.Route].add(now, admitted, repeated)
	t.accounts = counted(t.accounts, r.Class.Account)
	t.accounts[r.Class.Account].add(now, admitted, repeated)
}

// counted returns a map that has outcomes for a name. If there are too many, it begins
// again.
func counted(m map[string]*outcomes, name string) map[string]*outcomes {
	if m == nil || len(m) >= maxClasses {
		m = make(map[string]*outcomes)
	}
	if m[name] == nil {
		m[name] = &outcomes{}
	}
	return m
}

// credit returns the credit of a key. It begins at random, so that requests that come
// to many nodes once each are admitted at their share, too.
func (t *Table) credit(key creditKey, draw float64) *credit {
	if t.credits == nil {
		t.credits = make(map[creditKey]*credit)
	}
	c := t.credits[key]
	if c != nil {
		return c
	}
	if len(t.credits) >= maxCredits {
		clear(t.credits)
	}
	c = &credit{value: draw}
	t.credits[key] = c
	return c
}

// take adds a share and reports whether the request is admitted.
func (c *credit) take(share float64) bool {
	c.value += share
	if c.value < 1 {
		return false
	}
	c.value--
	return true
}

// prefer changes the share of a request that competes with others, by what it can
// still reach and whether its client has waited.
func (d *Decision) prefer(late, returned bool) {
	factor := 1.0
	switch {
	case late:
		factor = lateFactor
	case returned && d.Reason == OverShare:
		factor = returnFactor
	}
	if d.Share >= 1 {
		return
	}
	factor = min(factor, 1/d.Share)
	d.Share *= factor
	for i, share := range d.shares {
		d.shares[i] = min(1, share*factor)
	}
}

// retryAfter returns when a rejected request may be repeated: after the queue and the
// rejected requests that are in the same position, in one second at the share 1/2.
// The time left bounds it, since a later client would not return.
func retryAfter(now time.Time, r Request, d Decision, retryAt time.Time, early bool) time.Duration {
	if early {
		return max(MinRetryAfter, retryAt.Sub(now))
	}
	delay := time.Duration(0)
	for _, s := range r.Stages {
		if s.Service == d.Service {
			delay = s.backlog()
		}
	}
	delay += time.Duration(min(forecastLimit.Seconds(), 1/max(d.Share, minShare)-1) * float64(time.Second))
	if d.Reason == TooLate {
		delay = r.Expected - r.Left
	}
	longest := time.Duration(PatienceShare / (1 + RetryJitter) * float64(r.Left))
	delay = min(max(delay, MinRetryAfter), max(longest, MinRetryAfter), forecastLimit)
	return time.Duration(float64(delay) * (1 + RetryJitter*r.Draw))
}

// backlog returns the mean time until new work of a stage starts.
func (s Stage) backlog() time.Duration {
	sum, targets := time.Duration(0), 0
	for _, v := range s.Shards {
		sum += v.Backlog * time.Duration(max(1, v.Targets))
		targets += max(1, v.Targets)
	}
	if targets == 0 {
		return 0
	}
	return sum / time.Duration(targets)
}

// remember keeps a request to recognise its repeats. If there are too many, the
// expired ones are forgotten, and all if none has expired.
func (t *Table) remember(now time.Time, print uint64, last recent) {
	if t.recent == nil {
		t.recent = make(map[uint64]recent)
	}
	if len(t.recent) >= maxReturns {
		for p, v := range t.recent {
			if now.Sub(v.at) > returnTime {
				delete(t.recent, p)
			}
		}
	}
	if len(t.recent) >= maxReturns {
		clear(t.recent)
	}
	t.recent[print] = last
}

// Weight returns the number of requests that an admitted one stands for at a stage:
// the others were rejected because of that stage's level alone. Owners count it for
// the demand.
func (d Decision) Weight(stage int) float64 {
	if stage >= len(d.shares) {
		return 1
	}
	others := 1.0
	for i, s := range d.shares {
		if i != stage {
			others = min(others, s)
		}
	}
	return min(maxWeight, max(1, others/d.shares[stage]))
}
