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
	maxTargets   = 16 // Maximum targets of one pool.
	splitTargets = 12 // Average targets of a pool when a group is split into several.
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
// or removing a target moves few others to another pool.
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

func splitGroup(service, domain string, names []string) []Spec {
	parts := 1
	if len(names) > maxTargets {
		parts = (len(names) + splitTargets - 1) / splitTargets
	}
	specs := make([]Spec, parts)
	for i := range specs {
		specs[i] = Spec{Name: fmt.Sprintf("%s/%s/%d", service, domain, i), Service: service, Domain: domain}
	}
	slices.Sort(names)
	for _, n := range names {
		i := choosePart(n, specs)
		specs[i].Targets = append(specs[i].Targets, n)
	}
	return specs
}

// choosePart returns the index of the part with the highest hash among those with
// fewer than maxTargets targets.
func choosePart(name string, specs []Spec) int {
	best, highest := 0, uint64(0)
	for i, s := range specs {
		if len(s.Targets) >= maxTargets {
			continue
		}
		if h := partHash(name, i); h >= highest {
			best, highest = i, h
		}
	}
	return best
}

func partHash(name string, part int) uint64 {
	data := binary.LittleEndian.AppendUint32([]byte(name), uint32(part))
	return xxhash.Sum64(data)
}
