package canary

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bergamotworks/site"
)

// Gate limits the canary requests of one node. The zero value is usable and lets every
// request through until an order is observed; so does a nil Gate. It is safe for
// concurrent use.
type Gate struct {
	Settings Settings
	VM       string
	Domain   string // Failure domain of the node.
	Started  time.Time
	// Random returns a number from 0 up to 1, by which canary requests are drawn. Nil
	// means rand.Float64.
	Random func() float64

	mu       sync.Mutex
	orders   map[string]*gateOrder // By service.
	verdicts map[int64]Phase       // Final phases of orders that this node has not read yet.
	versions map[string]*versions  // By service.
	ages     ages
	runs     map[runKey]int // Requests that are running. No entry is zero.
}

// Observe records the orders that this node knows. An order that is missing has been
// removed.
func (g *Gate) Observe(now time.Time, orders []site.Rollout) {
	if g == nil || g.Settings.Share <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ages.ordersRead = true
	open := make(map[string]bool, len(orders))
	for _, r := range orders {
		open[r.Service] = true
		g.observe(now, r)
	}
	for service, o := range g.orders {
		if !open[service] {
			g.withdraw(o)
			delete(g.orders, service)
		}
	}
}

func (g *Gate) observe(now time.Time, r site.Rollout) {
	o := g.orders[r.Service]
	switch {
	case o == nil || o.rollout.ID() < r.ID():
		next := &gateOrder{rollout: r, seen: now, regular: make(map[string]int), rows: make(map[rowKey]*Counts), final: g.verdicts[r.ID()]}
		next.returned = g.hasTraffic(o, r)
		if o != nil {
			g.withdraw(o)
		}
		if g.orders == nil {
			g.orders = make(map[string]*gateOrder)
		}
		g.orders[r.Service] = next
		delete(g.verdicts, r.ID())
		g.versionsOf(r.Service).admit(r.Version)
	case o.rollout.ID() == r.ID() && !o.rollout.State.Final():
		o.rollout.State, o.rollout.StateRevision = r.State, r.StateRevision
	}
}

// hasTraffic reports whether the version of a new order has the service's requests
// already, given the order that it replaces, nil if there is none.
func (g *Gate) hasTraffic(replaced *gateOrder, r site.Rollout) bool {
	served := g.versionsOf(r.Service).served
	if replaced == nil {
		return allOfVersion(served, r.Version)
	}
	idle := replaced.sent == 0 && replaced.phase() != Complete
	return replaced.carried(r.Version) || idle && allOfVersion(withoutVersion(served, replaced.rollout.Version), r.Version)
}

// withdraw keeps new work away from the version of an order that is removed or replaced
// before the version has taken over.
func (g *Gate) withdraw(o *gateOrder) {
	if o.phase() != Complete && !o.returned {
		g.versionsOf(o.rollout.Service).withdraw(o.rollout.Version)
	}
}

// Apply records a grant or a verdict of the owner of an order. No later grant overrides
// that a version is bad.
func (g *Gate) Apply(now time.Time, grant Grant) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, o := range g.orders {
		if o.rollout.ID() == grant.Order {
			o.apply(now, g.limited(grant))
			return
		}
	}
	if grant.Phase == RolledBack {
		if g.verdicts == nil {
			g.verdicts = make(map[int64]Phase)
		}
		g.verdicts[grant.Order] = RolledBack
		if len(g.verdicts) > maxVerdicts {
			delete(g.verdicts, slices.Min(slices.Collect(maps.Keys(g.verdicts))))
		}
	}
}

// limited returns the grant within the node's own settings, whatever the owner sends.
func (g *Gate) limited(grant Grant) Grant {
	limit := 1.0
	if grant.Phase != Promoting && grant.Phase != Complete {
		limit = g.Settings.Share
	}
	grant.Share = max(0, min(grant.Share, limit))
	grant.NextShare = max(0, min(grant.NextShare, limit))
	grant.Allowance = max(0, min(grant.Allowance, int(g.Settings.Slack/2)))
	grant.ValidFor = min(grant.ValidFor, GrantLifetime)
	if len(grant.Excluded) > MaxExcluded {
		grant.Excluded = grant.Excluded[:MaxExcluded]
	}
	return grant
}

// Select returns the targets that one call may choose from: those of the old versions,
// or those of the new one if this call is a canary. The result may be empty. Without an
// order for the service, it returns targets unchanged.
func (g *Gate) Select(now time.Time, service string, targets []site.Target) []site.Target {
	if g == nil || g.Settings.Share <= 0 || len(targets) == 0 {
		return targets
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	o, d := g.lookUp(now, service, targets)
	if o == nil {
		return d.all
	}
	return o.choose(now, d, g.random)
}

// lookUp returns the order for a service, nil if there is none, and the targets whose version
// is neither held nor withdrawn, divided by the order's version. The mutex is held.
func (g *Gate) lookUp(now time.Time, service string, targets []site.Target) (*gateOrder, division) {
	o := g.orders[service]
	if o == nil {
		return nil, division{all: g.versionsOf(service).usable(now, g.ages, "", targets)}
	}
	return o, o.split(g.versionsOf(service).usable(now, g.ages, o.rollout.Version, targets))
}

// Fallback returns the targets that a call may choose from after none of those that
// Select returned accepted it, for example since they are cold or full. The result may be
// empty.
func (g *Gate) Fallback(now time.Time, service string, targets, refused []site.Target) []site.Target {
	if g == nil || g.Settings.Share <= 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	o, d := g.lookUp(now, service, targets)
	if o == nil {
		return nil
	}
	return o.fallback(now, d, refused)
}

func (g *Gate) random() float64 {
	if g.Random != nil {
		return g.Random()
	}
	return rand.Float64()
}

// Ended records how a request that was sent to a target ended.
func (g *Gate) Ended(now time.Time, route string, target site.Target, outcome Outcome) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if o := g.orders[target.Service]; o != nil {
		key := rowKey{route: route}
		if target.Version == o.rollout.Version {
			key.target = target.ID
		}
		if now.Before(target.ColdUntil) {
			outcome.FirstByte = 0
		}
		o.row(key).add(outcome)
	}
}

// Reports returns the report on each order whose state is not final, for its owner.
func (g *Gate) Reports(now time.Time) []Report {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var reports []Report
	for _, o := range g.orders {
		if !o.rollout.State.Final() {
			r := o.report(now)
			r.VM, r.Started, r.Domain, r.OldRuns = g.VM, g.Started, g.Domain, g.oldRuns(o.rollout)
			reports = append(reports, r)
		}
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Order, b.Order) })
	return reports
}

// versionsOf returns the versions that a service has had. The mutex is held.
func (g *Gate) versionsOf(name string) *versions {
	v := g.versions[name]
	if v == nil {
		if g.versions == nil {
			g.versions = make(map[string]*versions)
		}
		v = &versions{}
		g.versions[name] = v
	}
	return v
}

// add counts one response.
func (c *Counts) add(outcome Outcome) {
	c.Responses++
	if outcome.Failed {
		c.Failures++
		return
	}
	if outcome.FirstByte > 0 {
		units := max(1e-3, float64(outcome.FirstByte)/float64(LatencyUnit))
		bucket := int(math.Ceil(math.Log2(units)))
		c.Latency[max(0, min(bucket, LatencyBuckets-1))]++
		c.LogLatency += math.Log(units)
	}
}
