package canary

import (
	"time"

	"bergamotworks/site"
)

// leaveTime is the time before the completion of an order from which the targets of other
// versions are about to be stopped. Their requests can be migrated during this time.
const leaveTime = 4 * time.Second

// runKey identifies the requests that run on the targets of a version of a service.
type runKey struct{ service, version string }

// RunStarted records that a request starts to run on a target. [Gate.RunEnded] must follow.
func (g *Gate) RunStarted(target site.Target) { g.countRun(target, 1) }

// RunEnded records that a request no longer runs on a target.
func (g *Gate) RunEnded(target site.Target) { g.countRun(target, -1) }

// countRun adds to the number of requests that run on the targets of a target's version.
func (g *Gate) countRun(target site.Target, change int) {
	if g == nil || g.Settings.Share <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.runs == nil {
		g.runs = make(map[runKey]int)
	}
	key := runKey{service: target.Service, version: target.Version}
	g.runs[key] += change
	if g.runs[key] == 0 {
		delete(g.runs, key)
	}
}

// oldRuns returns the number of requests that run on targets of versions other than that of
// an order. The mutex is held.
func (g *Gate) oldRuns(r site.Rollout) *int {
	sum := 0
	for key, n := range g.runs {
		if key.service == r.Service && key.version != r.Version {
			sum += n
		}
	}
	return &sum
}

// Leaving reports whether a target is about to be stopped: its version is being replaced, and
// the order is complete or will be within leaveTime.
func (g *Gate) Leaving(now time.Time, target site.Target) bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	o := g.orders[target.Service]
	if o == nil || target.Version == o.rollout.Version {
		return false
	}
	if o.phase() == Promoting && o.share(now) >= 1 && o.grant.CompleteIn > 0 {
		return o.grant.CompleteIn-o.grantAge(now) <= leaveTime
	}
	return o.phase() == Complete
}

// RunStarted records that a request starts to run on a target, see [Gate.RunStarted].
func (s *Service) RunStarted(target site.Target) {
	if s != nil {
		s.Gate.RunStarted(target)
	}
}

// RunEnded records that a request no longer runs on a target, see [Gate.RunEnded].
func (s *Service) RunEnded(target site.Target) {
	if s != nil {
		s.Gate.RunEnded(target)
	}
}

// Leaving reports whether a target is about to be stopped, see [Gate.Leaving].
func (s *Service) Leaving(now time.Time, target site.Target) bool {
	return s != nil && s.Gate.Leaving(now, target)
}
