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
	maxTargets  = 16 // Targets of one pool at most.
	meanTargets = 12 // Targets of a pool on average once there are several.
)

// Spec names a pool and its targets.
type Spec struct {
	// Name is "service/domain/k".
	Name    string   `json:"name"`
	Service string   `json:"service"`
	Domain  string   `json:"domain"`
	Targets []string `json:"targets"` // Sorted.
}

// Split divides the targets of a configuration into pools, sorted by name. The
// result follows from the configuration alone, and a target that is added or
// withdrawn moves few others.
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

// find returns the pool of a name under a configuration, without targets if it
// has none there.
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
		parts = (len(names) + meanTargets - 1) / meanTargets
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

// choosePart returns the part with the highest hash that has room.
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
	text := binary.LittleEndian.AppendUint32([]byte(name), uint32(part))
	return xxhash.Sum64(text)
}
