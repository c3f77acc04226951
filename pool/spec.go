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
	// Name is "service/domain/k" for the pool of index k.
	Name    string   `json:"name"`
	Service string   `json:"service"`
	Domain  string   `json:"domain"`
	Targets []string `json:"targets"` // Sorted.
}

// Split partitions the targets of a configuration into pools, sorted by name. The
// result depends on the configuration alone, so that all nodes agree on it. Adding
// or removing a target moves few others to another pool, unless the number of pools
// changes.
func Split(config note.Config) []Spec {
	groups := make(map[[2]string][]string)
	for n, t := range config.Sections.Targets {
		key := [2]string{t.Service, t.Domain}
		groups[key] = append(groups[key], n)
	}
	var specs []Spec
	for k, names := range groups {
		specs = append(specs, splitGroup(k[0], k[1], names)...)
	}
	slices.SortFunc(specs, func(a, b Spec) int { return cmp.Compare(a.Name, b.Name) })
	return specs
}

// find returns the pool of the same name in a configuration, without targets if
// the pool is not in it.
func (s Spec) find(config note.Config) Spec {
	var names []string
	for n, t := range config.Sections.Targets {
		if t.Service == s.Service && t.Domain == s.Domain {
			names = append(names, n)
		}
	}
	for _, o := range splitGroup(s.Service, s.Domain, names) {
		if o.Name == s.Name {
			return o
		}
	}
	s.Targets = nil
	return s
}

// splitGroup partitions the targets of one service in one failure domain, given by
// name, into pools.
func splitGroup(service, domain string, names []string) []Spec {
	count := 1
	if len(names) > maxTargets {
		count = (len(names) + maxMeanTargets - 1) / maxMeanTargets
	}
	specs := make([]Spec, count)
	for i := range specs {
		specs[i] = Spec{Name: fmt.Sprintf("%s/%s/%d", service, domain, i), Service: service, Domain: domain}
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
