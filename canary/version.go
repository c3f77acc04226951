package canary

import (
	"cmp"
	"slices"
	"time"

	"bergamotworks/site"
)

const (
	// holdTime limits how long a target of an unknown version waits for an operator
	// state that may contain the order for it.
	holdTime = 2 * time.Second
	// maxVersions limits the versions that are kept for a service. Those without
	// targets are forgotten first.
	maxVersions = 16
)

// ages are the times at which the node's state was read.
type ages struct {
	operatorState, directory time.Time
	ordersRead               bool // The node has read the orders since it started.
}

// ObserveAge records when the operator state and the directory of this node were read.
func (g *Gate) ObserveAge(operatorState, directory time.Time) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ages.operatorState, g.ages.directory = operatorState, directory
}

// holdVersion reports whether the targets of a version that a service has not had wait:
// the operator state may be too old to contain the order that limits them.
func holdVersion(now time.Time, s version, a ages) bool {
	return (!a.ordersRead || a.operatorState.Before(s.directory)) && now.Sub(s.firstSeen) < holdTime
}

// versions are those that a service has had.
type versions struct {
	known []version
	seen  bool          // Targets of the service have been seen.
	last  []site.Target // For which no version is held or withdrawn.
	// served are the targets that could get requests when the last one was sent.
	served []site.Target
}

type version struct {
	name      string
	firstSeen time.Time
	directory time.Time // Time of the directory in which it was first seen.
	admitted  bool      // Its targets no longer wait for a newer operator state.
	withdrawn bool      // Its order was removed or replaced before it was complete.
}

// usable returns the targets whose version is not held, and, while there are others,
// not withdrawn. The version of the present order counts as known.
func (v *versions) usable(now time.Time, a ages, ordered string, targets []site.Target) []site.Target {
	v.served = v.choose(now, a, ordered, targets)
	return v.served
}

func (v *versions) choose(now time.Time, a ages, ordered string, targets []site.Target) []site.Target {
	// The same slice as in the last call, in which nothing was held.
	if len(v.last) == len(targets) && len(targets) > 0 && &v.last[0] == &targets[0] {
		return targets
	}
	v.learn(now, a, targets)
	v.settle(now, a)
	admitted := func(t site.Target) bool { s := v.find(t.Version); return s == nil || s.admitted }
	keep := func(t site.Target) bool {
		s := v.find(t.Version)
		return t.Version == ordered || s == nil || s.admitted && !s.withdrawn
	}
	if !slices.ContainsFunc(targets, func(t site.Target) bool { return !keep(t) }) {
		v.last = targets
		return targets
	}
	v.last = nil
	if !slices.ContainsFunc(targets, func(t site.Target) bool { return keep(t) && t.Version != ordered }) {
		// No other version is left, so that the withdrawn one may be used.
		return slices.DeleteFunc(slices.Clone(targets), func(t site.Target) bool { return !admitted(t) })
	}
	return slices.DeleteFunc(slices.Clone(targets), func(t site.Target) bool { return !keep(t) })
}

// learn adds the versions of targets. When targets of the service are seen for the first
// time, the version of the one that started first, among those without an order, is taken
// for one that the service has had.
func (v *versions) learn(now time.Time, a ages, targets []site.Target) {
	if !v.seen {
		v.seen = true
		others := slices.DeleteFunc(slices.Clone(targets), func(t site.Target) bool { return v.find(t.Version) != nil })
		if len(others) > 0 {
			v.admit(slices.MinFunc(others, func(x, y site.Target) int { return cmp.Compare(x.Incarnation, y.Incarnation) }).Version)
		}
	}
	for _, t := range targets {
		if v.find(t.Version) == nil && v.hasSpace(targets) {
			v.add(version{name: t.Version, firstSeen: now, directory: a.directory}, targets)
		}
	}
}

// hasSpace reports whether another version can be kept. One that is not kept is not held.
func (v *versions) hasSpace(targets []site.Target) bool {
	return len(v.known) < maxVersions || v.unused(targets) >= 0
}

// unused returns the index of a version that no target has, negative if there is none.
func (v *versions) unused(targets []site.Target) int {
	return slices.IndexFunc(v.known, func(s version) bool {
		return !slices.ContainsFunc(targets, func(t site.Target) bool { return t.Version == s.name })
	})
}

// settle admits the versions that no longer wait.
func (v *versions) settle(now time.Time, a ages) {
	for i := range v.known {
		if !holdVersion(now, v.known[i], a) {
			v.known[i].admitted = true
		}
	}
}

// admit records that a version need not wait for a newer operator state, and that it is
// not withdrawn.
func (v *versions) admit(name string) {
	v.last = nil
	s := v.find(name)
	if s == nil {
		s = v.add(version{name: name}, nil)
	}
	s.admitted, s.withdrawn = true, false
}

func (v *versions) withdraw(name string) {
	v.admit(name)
	v.find(name).withdrawn = true
}

func (v *versions) find(name string) *version {
	i := slices.IndexFunc(v.known, func(s version) bool { return s.name == name })
	if i < 0 {
		return nil
	}
	return &v.known[i]
}

func (v *versions) add(s version, targets []site.Target) *version {
	if len(v.known) >= maxVersions {
		unused := max(0, v.unused(targets))
		v.known = slices.Delete(v.known, unused, unused+1)
	}
	v.known = append(v.known, s)
	return &v.known[len(v.known)-1]
}

// withoutVersion returns the targets that are not of a version.
func withoutVersion(targets []site.Target, name string) []site.Target {
	return slices.DeleteFunc(slices.Clone(targets), func(t site.Target) bool { return t.Version == name })
}

// allOfVersion reports whether there are targets and all are of a version.
func allOfVersion(targets []site.Target, name string) bool {
	return len(targets) > 0 && len(withoutVersion(targets, name)) == 0
}
