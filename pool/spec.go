package pool

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bergamotworks/note"
)

const (
	maxTargets = 16 // Maximum number of targets of one pool.
	// maxMeanTargets is the maximum mean number of targets of a pool if the
	// targets of a service in a failure domain need several pools.
	maxMeanTargets = 12
)

// Spec identifies a pool and lists its targets.
type Spec struct {
	// Name is "service/domain/k" for the pool of index k, or "service/domain/version/k" if
	// its targets have a version.
	Name    string   `json:"name"`
	Service string   `json:"service"`
	Domain  string   `json:"domain"`
	Version string   `json:"version,omitempty"` // Of all targets.
	Targets []string `json:"targets"`           // Sorted.
}

// group identifies the pools that share the targets of one service, failure domain and
// version. Pools of their own for each version let a rollout choose the version with the
// pool.
type group struct{ service, domain, version string }

// Split partitions the targets of a configuration into pools, sorted by name. The
// result depends on the configuration alone, so that all nodes agree on it. Adding
// or removing a target moves few others to another pool, unless the number of pools
// changes.
func Split(config note.Config) []Spec {
	groups := make(map[group][]string)
	for n, t := range config.Sections.Targets {
		key := group{service: t.Service, domain: t.Domain, version: t.Version}
		groups[key] = append(groups[key], n)
	}
	var specs []Spec
	for g, names := range groups {
		specs = append(specs, splitGroup(g, names)...)
	}
	slices.SortFunc(specs, func(a, b Spec) int { return cmp.Compare(a.Name, b.Name) })
	return specs
}

// find returns the pool of the same name in a configuration, without targets if
// the pool is not in it.
func (s Spec) find(config note.Config) Spec {
	var names []string
	for n, t := range config.Sections.Targets {
		if t.Service == s.Service && t.Domain == s.Domain && t.Version == s.Version {
			names = append(names, n)
		}
	}
	for _, o := range splitGroup(group{service: s.Service, domain: s.Domain, version: s.Version}, names) {
		if o.Name == s.Name {
			return o
		}
	}
	s.Targets = nil
	return s
}

// splitGroup partitions the targets of a group, given by name, into pools.
func splitGroup(g group, names []string) []Spec {
	count := 1
	if len(names) > maxTargets {
		count = (len(names) + maxMeanTargets - 1) / maxMeanTargets
	}
	prefix := g.service + "/" + g.domain
	if g.version != "" {
		prefix += "/" + g.version
	}
	specs := make([]Spec, count)
	for i := range specs {
		specs[i] = Spec{Name: fmt.Sprintf("%s/%d", prefix, i), Service: g.service, Domain: g.domain, Version: g.version}
	}
	slices.Sort(names)
	for _, n := range names {
		i := choosePool(n, specs)
		specs[i].Targets = append(specs[i].Targets, n)
	}
	return specs
}

// choosePool returns the index of the pool for a target: the one with the highest
// hash among those with fewer than maxTargets targets.
func choosePool(name string, specs []Spec) int {
	best, highest := 0, uint64(0)
	for i, s := range specs {
		if len(s.Targets) >= maxTargets {
			continue
		}
		if h := poolHash(name, i); h >= highest {
			best, highest = i, h
		}
	}
	return best
}

// poolHash returns the rank of the pool with the given index for a target in
// rendezvous hashing.
func poolHash(name string, index int) uint64 {
	data := binary.LittleEndian.AppendUint32([]byte(name), uint32(index))
	return xxhash.Sum64(data)
}
