package site

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Target is one process that does work, as it has registered itself.
type Target struct {
	ID          string    `json:"id"`
	Service     string    `json:"service"`
	Address     string    `json:"address"` // IP:port.
	Domain      string    `json:"domain"`  // Failure domain.
	Version     string    `json:"version,omitempty"`
	Incarnation int64     `json:"incarnation,omitempty"` // Start time in Unix milliseconds; zero if not stated.
	Slots       int       `json:"slots"`
	Draining    bool      `json:"leaving,omitempty"` // It finishes what it runs and takes nothing new.
	ColdUntil   time.Time `json:"cold_until"`        // Local time up to which the target is cold.
}

// Directory lists the targets and the failure domains that are taken out. Use
// [NewDirectory].
type Directory struct {
	Revision       int64           `json:"revision"` // Revision of the store at which it was read.
	Targets        []Target        `json:"targets"`
	DrainedDomains map[string]bool `json:"departed,omitempty"` // Failure domains that take no work.

	byService map[string][]Target
	byID      map[string]Target
	byAddress map[string]Target
}

// NewDirectory returns the directory with its indexes built.
func NewDirectory(d Directory) Directory {
	d.Targets = slices.Clone(d.Targets)
	slices.SortFunc(d.Targets, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	d.byService = make(map[string][]Target)
	d.byID = make(map[string]Target)
	d.byAddress = make(map[string]Target)
	for _, t := range d.Targets {
		d.byID[t.ID] = t
		d.byAddress[t.Address] = t
		if d.Accepts(t) {
			d.byService[t.Service] = append(d.byService[t.Service], t)
		}
	}
	return d
}

// Accepts reports whether a target takes new work.
func (d Directory) Accepts(t Target) bool { return !t.Draining && !d.DrainedDomains[t.Domain] }

// Loaded reports whether the directory has been read.
func (d Directory) Loaded() bool { return d.byID != nil }

// Usable returns the targets of a service that take new work, by ID. The slice
// must not be changed.
func (d Directory) Usable(service string) []Target { return d.byService[service] }

// Find returns the target with the ID.
func (d Directory) Find(id string) (Target, bool) {
	t, ok := d.byID[id]
	return t, ok
}

// FindByAddress returns the target with the address.
func (d Directory) FindByAddress(address string) (Target, bool) {
	t, ok := d.byAddress[address]
	return t, ok
}

// WithDrainedDomains returns a copy in which exactly the given failure domains are
// taken out, as of a revision of the store.
func (d Directory) WithDrainedDomains(domains []string, revision int64) Directory {
	departed := make(map[string]bool, len(domains))
	for _, n := range domains {
		departed[n] = true
	}
	if maps.Equal(departed, d.DrainedDomains) {
		return d
	}
	d.DrainedDomains = departed
	d.Revision = max(d.Revision, revision)
	return NewDirectory(d)
}

// WithRetained returns a copy that also lists the given targets, unless it already
// lists another target under the ID or the address.
func (d Directory) WithRetained(kept []Target) Directory {
	used := make(map[string]bool, len(d.Targets))
	for _, t := range d.Targets {
		used[t.Address] = true
	}
	merged := slices.Clone(d.Targets)
	for _, t := range kept {
		if _, ok := d.byID[t.ID]; !ok && !used[t.Address] {
			merged = append(merged, t)
		}
	}
	d.Targets = merged
	return NewDirectory(d)
}
