package flow

import (
	"slices"
	"time"

	"bergamotworks/canary"
	"bergamotworks/engine"
	"bergamotworks/fault"
	"bergamotworks/owner"
	"bergamotworks/site"
)

// versionChoice is what a rollout allows one attempt. A call to the ordered version counts
// before it is sent. Another one counts once it has reached its target: calls that a pool
// rejects must not raise the number of calls that the ordered version may get.
type versionChoice struct {
	stage    *stageRun
	versions []string      // Versions among which to choose; nil means all.
	avoid    []string      // Targets of these versions that are chosen only if no other can be.
	targets  []site.Target // From which the choice was made.
	selected []site.Target // Among which to choose.
	ordered  string        // Version that is rolled out, if there is an order.
	hasOrder bool
	counted  bool
	at       time.Time // Time of the choice.
}

// chooseVersion asks the gate which targets the next attempt may choose from.
func (g *stageRun) chooseVersion(now time.Time) *versionChoice {
	s := g.run.service
	v := &versionChoice{stage: g, at: now}
	if s.Rollouts == nil {
		return v
	}
	v.targets = s.Directory().Usable(g.stage.Service)
	v.selected = s.Rollouts.Select(now, g.stage.Service, v.targets)
	order, hasOrder := s.Rollouts.Order(g.stage.Service)
	v.ordered, v.hasOrder = order.Version, hasOrder
	if len(v.selected) == len(v.targets) {
		return v
	}
	v.versions = []string{}
	for _, t := range v.selected {
		if !slices.Contains(v.versions, t.Version) {
			v.versions = append(v.versions, t.Version)
		}
	}
	for _, t := range v.targets {
		chosen := slices.ContainsFunc(v.selected, func(o site.Target) bool { return o.ID == t.ID })
		if !chosen && slices.Contains(v.versions, t.Version) {
			v.avoid = append(v.avoid, t.ID)
		}
	}
	return v
}

// admit counts a call to the ordered version. It returns false if the call must not be sent.
func (v *versionChoice) admit() bool {
	if !v.hasOrder || len(v.selected) == 0 || v.selected[0].Version != v.ordered {
		return true
	}
	v.counted = true
	return v.count(v.selected[0])
}

// count counts a call to the version of a target. It returns false if the call must not be
// sent.
func (v *versionChoice) count(t site.Target) bool {
	s := v.stage.run.service
	return s.Rollouts.Admit(s.Clock.Now(), t.Service, v.targets, t)
}

// reached counts a call to another version, which has reached its target.
func (v *versionChoice) reached() {
	if v.counted || !v.hasOrder || len(v.selected) == 0 {
		return
	}
	v.counted = true
	v.count(v.selected[0])
}

// blames reports whether a failed attempt counts against its target.
func (v *versionChoice) blames(response owner.StageResponse) bool {
	switch response.Cause {
	case engine.Unknown, engine.Overloaded:
		return false
	case engine.Abandoned:
		limit := v.stage.run.currentDeadline().Sub(v.at)
		took := time.Duration(response.ServiceMS * float64(time.Millisecond))
		return response.Fault.Kind == fault.DeadlineExceeded && float64(took) >= canary.BlameShare*float64(limit)
	default:
		return true
	}
}

// ended passes the outcome of the attempt to the gate, unless it tells nothing about the
// target.
func (v *versionChoice) ended(response owner.StageResponse) {
	at := slices.IndexFunc(v.targets, func(t site.Target) bool { return t.ID == response.Target })
	if at < 0 || !v.hasOrder {
		return
	}
	v.reached()
	failed := response.Fault != nil
	if failed && !v.blames(response) {
		return
	}
	first := response.FirstTokenMS
	if first == 0 && !failed {
		first = response.ServiceMS
	}
	g := v.stage
	g.run.service.Rollouts.Ended(g.run.service.Clock.Now(), g.run.request.Pipeline+"/"+g.stage.Name, v.targets[at], canary.Outcome{
		Failed: failed, FirstByte: time.Duration(first * float64(time.Millisecond)),
	})
}
