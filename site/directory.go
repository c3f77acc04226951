package site

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Target is a process that serves requests or processes pieces, as it
// registered itself.
type Target struct {
	ID          string    `json:"id"`
	Service     string    `json:"service"`
	Address     string    `json:"address"` // IP:port.
	Domain      string    `json:"domain"`  // Failure domain.
	Version     string    `json:"version,omitempty"`
	Incarnation int64     `json:"incarnation,omitempty"` // Start time in Unix milliseconds; zero if not stated.
	Slots       int       `json:"slots"`                 // Maximum number of concurrent requests; zero if not stated.
	Draining    bool      `json:"leaving,omitempty"`     // The target finishes its requests and accepts no new ones.
	ColdUntil   time.Time `json:"cold_until"`            // Time at which its warm-up ends, by the local clock.
}

// Directory lists the targets and the drained failure domains. Values are
// made by [NewDirectory], which builds the indexes for lookups.
type Directory struct {
	Position                       // At which it was read from the store.
	Targets        []Target        `json:"targets"`
	DrainedDomains map[string]bool `json:"departed,omitempty"` // Failure domains that get no new work.

	byService map[string][]Target
	byID      map[string]Target
	byAddress map[string]Target
}

// NewDirectory returns d with its targets sorted by ID and its indexes built.
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

// Accepts reports whether a target accepts new work: it is not draining and
// its failure domain is not drained.
func (d Directory) Accepts(t Target) bool { return !t.Draining && !d.DrainedDomains[t.Domain] }

// Loaded reports whether the directory was made by NewDirectory; the zero
// value stands for a directory that has not been read yet.
func (d Directory) Loaded() bool { return d.byID != nil }

// Usable returns the targets of a service that accept new work, sorted by ID.
// The caller must not modify the slice.
func (d Directory) Usable(service string) []Target { return d.byService[service] }

// Find returns the target with the given ID.
func (d Directory) Find(id string) (Target, bool) {
	t, ok := d.byID[id]
	return t, ok
}

// FindByAddress returns the target with the given address.
func (d Directory) FindByAddress(address string) (Target, bool) {
	t, ok := d.byAddress[address]
	return t, ok
}

// TargetsHash returns a hash of the targets as they registered themselves, without
// the ends of their warm-ups.
func (d Directory) TargetsHash() uint64 {
	h := xxhash.New()
	for _, t := range d.Targets {
		t.ColdUntil = time.Time{}
		_, _ = fmt.Fprintf(h, "%+v\n", t) // A hash never fails.
	}
	return h.Sum64()
}

// AnyCold reports whether a target is warming up at the given time.
func (d Directory) AnyCold(now time.Time) bool {
	return slices.ContainsFunc(d.Targets, func(t Target) bool { return t.ColdUntil.After(now) })
}

// WithPosition returns a copy that is known to hold at another position.
func (d Directory) WithPosition(p Position) Directory {
	d.Position = p
	return d
}

// WithDrainedDomains returns a copy in which exactly the given failure
// domains are drained, as of a position of the store. If they already are, it
// returns d unchanged.
func (d Directory) WithDrainedDomains(domains []string, p Position) Directory {
	drained := make(map[string]bool, len(domains))
	for _, n := range domains {
		drained[n] = true
	}
	if maps.Equal(drained, d.DrainedDomains) {
		return d
	}
	d.DrainedDomains = drained
	d.Position = d.Latest(p)
	return NewDirectory(d)
}

// WithRetained returns a copy that also lists the given targets, except those
// whose ID or address is already listed. It is used for targets whose entries
// are missing in the grace period after an outage of the store.
func (d Directory) WithRetained(retained []Target) Directory {
	used := make(map[string]bool, len(d.Targets))
	for _, t := range d.Targets {
		used[t.Address] = true
	}
	merged := slices.Clone(d.Targets)
	for _, t := range retained {
		if _, ok := d.byID[t.ID]; !ok && !used[t.Address] {
			merged = append(merged, t)
		}
	}
	d.Targets = merged
	return NewDirectory(d)
}
