package batch

import (
	"errors"
	"slices"
	"strings"
	"time"

	"bergamotworks/canary"
	"bergamotworks/fault"
	"bergamotworks/place"
	"bergamotworks/site"
	"bergamotworks/wire"
)

// updateExcluded records to which targets no call, or only few, may go now because of their
// versions.
func (t *Table) updateExcluded(now time.Time) {
	if t.Rollouts == nil {
		return
	}
	listed := t.listedTargets()
	regular, canaries := t.Rollouts.Split(now, t.Service, listed)
	regularIDs, canaryIDs := idsOf(regular), idsOf(canaries)
	for _, target := range listed {
		state := t.targets[target.ID]
		state.canary = canaryIDs[target.ID]
		state.excluded = !state.canary && !regularIDs[target.ID]
	}
}

// listedTargets returns the targets that are listed as accepting new calls, sorted by ID.
func (t *Table) listedTargets() []site.Target {
	var list []site.Target
	for _, state := range t.targets {
		if state.listed {
			list = append(list, state.target)
		}
	}
	slices.SortFunc(list, func(a, b site.Target) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func idsOf(targets []site.Target) map[string]bool {
	ids := make(map[string]bool, len(targets))
	for _, t := range targets {
		ids[t.ID] = true
	}
	return ids
}

// admit reports whether the next call may go to a target, and counts it.
func (t *Table) admit(now time.Time, state *targetState) bool {
	return t.Rollouts == nil || t.Rollouts.Admit(now, t.Service, t.listedTargets(), state.target)
}

// recordVersion records what a call says about the version of its target. The first byte
// of its response comes with the results. A rejection by a full target, a call that was
// canceled because this node stops and a local shortage say nothing.
func (s *Service) recordVersion(target site.Target, took time.Duration, results []Result, err error) {
	o := canary.Outcome{Failed: true}
	var connectError *wire.ConnectError
	switch {
	case err == nil:
		failed := func(r Result) bool { return r.Handle == "" && r.Reason == Failed }
		o = canary.Outcome{Failed: slices.ContainsFunc(results, failed), FirstByte: took}
	case place.IsHeld(err), errors.As(err, &connectError) && connectError.Local:
		return
	case slices.Contains([]fault.Kind{fault.Busy, fault.Conflict, fault.Canceled}, fault.From(err).Kind):
		return
	}
	s.Rollouts.Ended(s.Clock.Now(), "", target, o)
}
