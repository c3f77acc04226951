package canary

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotworks/site"
)

const (
	// maxPending limits the calls that may choose a target of the new version at the
	// same time, and pendingLifetime how long one that sends no request counts.
	maxPending      = 64
	pendingLifetime = time.Second
	// foldedRows are the rows of a report that are kept for counts without a route.
	foldedRows = 32
	// otherTargets stands in rows for the targets that have no row of their own.
	otherTargets = "+"
)

// gateOrder is what a node knows of an order and has sent since it read it.
type gateOrder struct {
	rollout   site.Rollout
	seen      time.Time
	returned  bool  // The version had the service's requests before the order.
	final     Phase // RolledBack if the owner has said so, otherwise Waiting.
	grant     Grant
	grantedAt time.Time

	sent, canaries int
	regular        map[string]int // Requests that were no canary requests, by version.
	pending        []time.Time    // Choices of new targets for which no request has been sent.
	rows           map[rowKey]*Counts
}

type rowKey struct{ route, target string }

// division is a service's targets during a rollout.
type division struct{ all, old, fresh []site.Target }

// split divides targets by version, in their order.
func (o *gateOrder) split(targets []site.Target) division {
	d := division{all: targets}
	for _, t := range targets {
		if t.Version == o.rollout.Version {
			d.fresh = append(d.fresh, t)
		} else {
			d.old = append(d.old, t)
		}
	}
	return d
}

// phase returns the final phase that is recorded or that the owner has announced, and
// otherwise that of the last grant. The recorded one takes precedence, since the operator
// acts on it.
func (o *gateOrder) phase() Phase {
	switch {
	case o.rollout.State == site.RolloutComplete:
		return Complete
	case o.rollout.State == site.RolloutRolledBack || o.final == RolledBack:
		return RolledBack
	default:
		return o.grant.Phase
	}
}

// carried reports whether a version has the service's requests at the end of the order.
func (o *gateOrder) carried(version string) bool {
	if o.phase() == Complete {
		return o.rollout.Version == version
	}
	return 2*o.regular[version] > o.sent-o.canaries
}

// count counts a request to a target of a version.
func (o *gateOrder) count(now time.Time, version string) {
	o.sent++
	if version == o.rollout.Version && !o.returned {
		o.canaries++
		o.release(now)
		return
	}
	if _, ok := o.regular[version]; ok || len(o.regular) < maxVersions {
		o.regular[version]++
	}
}

func (o *gateOrder) apply(now time.Time, grant Grant) {
	if grant.Phase == RolledBack {
		o.final = RolledBack
	}
	if o.grant.Phase == Complete {
		return
	}
	o.grant = grant
	o.grantedAt = now
}

// choose returns the targets for one call.
func (o *gateOrder) choose(now time.Time, d division, random func() float64) []site.Target {
	if targets, ok := o.settled(d); ok {
		return targets
	}
	share := o.share(now)
	canaries := o.canaryTargets(now, d, share)
	if len(canaries) == 0 || !o.within(now, share) {
		return d.old
	}
	if o.draws(d, share, random) {
		o.pending = append(o.pending, now)
		return canaries
	}
	return d.old
}

// settled returns the targets for all calls if no canary requests are drawn.
func (o *gateOrder) settled(d division) ([]site.Target, bool) {
	switch {
	case len(d.fresh) == 0:
		return d.all, true
	case o.phase() == RolledBack:
		return d.old, true
	case o.returned || o.phase() == Complete:
		return d.fresh, true
	}
	return nil, false
}

// grantAge returns the time since the last grant, also if the VM was suspended meanwhile,
// when the monotonic clock stands still.
func (o *gateOrder) grantAge(now time.Time) time.Duration {
	return max(now.Sub(o.grantedAt), now.Round(0).Sub(o.grantedAt.Round(0)))
}

// share returns the granted share, or zero without a valid grant.
func (o *gateOrder) share(now time.Time) float64 {
	if o.grantAge(now) >= o.grant.ValidFor || o.grant.Phase != Observing && o.grant.Phase != Promoting {
		return 0
	}
	if o.grant.NextIn > 0 && now.Sub(o.grantedAt) >= o.grant.NextIn {
		return o.grant.NextShare
	}
	return o.grant.Share
}

// within reports whether one more canary request keeps to the granted share of the
// requests that this node has sent, including this one, and its allowance.
func (o *gateOrder) within(now time.Time, share float64) bool {
	return share > 0 && o.outstanding(now) < maxPending && o.canaries+len(o.pending)+1 <= o.backing(share)+o.grant.Allowance
}

// backed reports whether the share alone allows one more canary request.
func (o *gateOrder) backed(share float64) bool {
	return o.canaries+len(o.pending)+1 <= o.backing(share)
}

// backing returns the number of canary requests that the share allows. The small term
// keeps a product that is a whole number from being rounded down.
func (o *gateOrder) backing(share float64) int { return int(share*float64(o.sent+1) + 1e-9) }

// draws reports whether a call that may be a canary request is one. While the version is
// observed, the canary targets get no more requests than as many old targets do, also if
// the node has saved up canary requests: more would overload a good version, and fewer
// would hide one that fails under load. The draw is by chance so that each route gets its
// part.
func (o *gateOrder) draws(d division, share float64, random func() float64) bool {
	if o.grant.Phase == Promoting {
		return random() < share
	}
	if !o.backed(share) || len(d.old) == 0 {
		return true
	}
	return random() < float64(canaryTargetCount(len(d.fresh), share))/float64(len(d.old))
}

// canaryTargetCount returns the number of new targets that get canary requests, so that
// each bears about the load of an old target.
func canaryTargetCount(fresh int, share float64) int {
	return max(1, int(share*float64(fresh)+0.5))
}

// canaryTargets returns the targets that canary requests may choose from. All nodes use
// the same ones. While one of them is cold, its rate limit keeps the load low, and the
// others are used as well.
func (o *gateOrder) canaryTargets(now time.Time, d division, share float64) []site.Target {
	if share <= 0 {
		return nil
	}
	list := slices.Clone(d.fresh)
	if len(o.grant.Excluded) > 0 {
		kept := slices.DeleteFunc(slices.Clone(list), func(t site.Target) bool { return slices.Contains(o.grant.Excluded, t.ID) })
		if len(kept) > 0 {
			list = kept
		}
	}
	revision := strconv.FormatInt(o.rollout.ID(), 10)
	rank := func(t site.Target) uint64 { return xxhash.Sum64String(revision + "/" + t.ID) }
	slices.SortFunc(list, func(a, b site.Target) int { return cmp.Compare(rank(a), rank(b)) })
	count := min(len(list), canaryTargetCount(len(d.fresh), share))
	if slices.ContainsFunc(list[:count], func(t site.Target) bool { return now.Before(t.ColdUntil) }) {
		return list
	}
	return list[:count]
}

// fallback returns the targets for a call that those in refused did not accept.
func (o *gateOrder) fallback(now time.Time, d division, refused []site.Target) []site.Target {
	if _, ok := o.settled(d); ok {
		return nil
	}
	if slices.ContainsFunc(refused, func(t site.Target) bool { return t.Version == o.rollout.Version }) {
		o.release(now)
		return d.old
	}
	share := o.share(now)
	canaries := o.canaryTargets(now, d, share)
	if len(canaries) == 0 || !o.within(now, share) {
		return nil
	}
	o.pending = append(o.pending, now)
	return canaries
}

// release removes the oldest pending choice, whose request has been sent or is not going
// to be.
func (o *gateOrder) release(now time.Time) {
	if o.outstanding(now) > 0 {
		o.pending = slices.Delete(o.pending, 0, 1)
	}
}

// outstanding returns the number of pending choices, without those that have expired.
func (o *gateOrder) outstanding(now time.Time) int {
	o.pending = slices.DeleteFunc(o.pending, func(at time.Time) bool { return now.Sub(at) > pendingLifetime })
	return len(o.pending)
}

// row returns the counts for a key, or those without the route, and last those of all
// other targets, if there are too many rows.
func (o *gateOrder) row(key rowKey) *Counts {
	if c := o.rows[key]; c != nil {
		return c
	}
	if len(o.rows) >= MaxRows-foldedRows {
		key.route = ""
	}
	if key.target != "" && o.rows[key] == nil && len(o.rows) >= MaxRows-2 {
		key.target = otherTargets
	}
	c := o.rows[key]
	if c == nil {
		c = &Counts{}
		o.rows[key] = c
	}
	return c
}

func (o *gateOrder) report(now time.Time) Report {
	r := Report{Order: o.rollout.ID(), Service: o.rollout.Service, Sent: o.sent, Canaries: o.canaries, Returned: o.returned,
		Age: now.Sub(o.seen), Phase: o.phase(), Share: o.grant.Share, Allowance: o.grant.Allowance}
	for key, c := range o.rows {
		r.Rows = append(r.Rows, Row{Route: key.route, Target: key.target, Counts: *c})
	}
	slices.SortFunc(r.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Target, b.Target))
	})
	return r
}
