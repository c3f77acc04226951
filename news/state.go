package news

import (
	"maps"
	"time"

	"bergamotworks/site"
)

// reregisterGrace is how long targets whose entries expired during an outage of
// the store have to register again after it. Until then their entries are
// retained.
const reregisterGrace = 2200 * time.Millisecond

// DrainedDomains are the failure domains that operators have drained: their
// targets accept no new work.
type DrainedDomains struct {
	Domains  []string `json:"domains"`
	Revision int64    `json:"revision"` // Revision of the store at which they were read.
}

// Snapshot is the state of the store or of another node at one moment. Parts
// that are unknown are not loaded or nil.
type Snapshot struct {
	Config         site.Config
	Directory      site.Directory // As registered; its DrainedDomains is not set.
	DrainedDomains *DrainedDomains
	Unchanged      directoryVersion // Used instead of Directory if it has the same targets.
}

// directoryVersion identifies what a directory lists. The zero value stands for
// none.
type directoryVersion struct {
	Revision int64  `json:"revision"`
	Hash     uint64 `json:"hash"` // Of its targets.
	Cold     bool   `json:"cold"` // Some are warming up; the hash does not tell until when.
}

// State merges snapshots. The zero value has no configuration and no directory.
// It is not safe for concurrent use.
type State struct {
	config    site.Config
	directory site.Directory
	// registered is the directory as last applied, from the store or from
	// another node, before retained entries and drained failure domains are
	// added.
	registered     site.Directory
	registeredHash uint64 // Of the targets of registered.
	drained        *DrainedDomains
	// inOutage means that the last read of the store failed and that no store
	// reader has reported a successful read since.
	inOutage bool
	graceEnd time.Time // Expired entries are retained until then.
}

// Change says what a merge has changed.
type Change struct {
	Config bool
	// Directory means that a directory or drained failure domains were applied or
	// that the grace period has ended. The active directory may be unchanged.
	Directory      bool
	DrainedDomains bool     // The set of drained failure domains has changed.
	Added          []string // Targets that accept new work and did not before.
	Removed        []string // Targets that no longer accept new work.
}

// Config returns the active configuration.
func (s *State) Config() site.Config { return s.config }

// Directory returns the active directory.
func (s *State) Directory() site.Directory { return s.directory }

// StoreReadFailed records that the directory could not be read from the store.
func (s *State) StoreReadFailed() { s.inOutage = true }

// PeerReadStore records that a store reader has read the store. The grace
// period for expired entries then comes from that node.
func (s *State) PeerReadStore() { s.inOutage = false }

// ApplyStore applies a snapshot that was read from the store at now. The first one
// after an outage starts the grace period for expired entries.
func (s *State) ApplyStore(now time.Time, sn Snapshot) Change {
	if s.inOutage {
		s.inOutage = false
		s.graceEnd = now.Add(reregisterGrace)
	}
	return s.merge(now, sn)
}

// ApplyPeer applies a snapshot from another node.
func (s *State) ApplyPeer(now time.Time, sn Snapshot) Change { return s.merge(now, sn) }

// merge applies the parts of the snapshot that are not older than the present
// ones. A configuration must be newer.
func (s *State) merge(now time.Time, sn Snapshot) Change {
	var c Change
	if sn.Config.Loaded() && (!s.config.Loaded() || sn.Config.Revision > s.config.Revision) {
		s.config = sn.Config
		c.Config = true
	}
	if sn.DrainedDomains != nil && (s.drained == nil || sn.DrainedDomains.Revision >= s.drained.Revision) {
		s.drained = sn.DrainedDomains
		c.Directory = true
	}
	if sn.Directory.Loaded() && (!s.registered.Loaded() || sn.Directory.Revision >= s.registered.Revision) {
		s.registered, s.registeredHash = sn.Directory, sn.Directory.TargetsHash()
		c.Directory = true
	}
	if s.matches(sn.Unchanged) && sn.Unchanged.Revision > s.registered.Revision {
		s.registered = s.registered.WithRevision(sn.Unchanged.Revision)
		c.Directory = true
	}
	if c.Directory {
		s.rebuild(now, &c)
	}
	return c
}

// GraceRemaining returns how long expired entries are still retained.
func (s *State) GraceRemaining(now time.Time) time.Duration {
	if s.graceEnd.IsZero() {
		return 0
	}
	return max(0, s.graceEnd.Sub(now))
}

// ExtendGrace retains expired entries for at least the given time, as another
// node does. It reports whether that is longer than before.
func (s *State) ExtendGrace(now time.Time, grace time.Duration) bool {
	until := now.Add(grace)
	if !until.After(s.graceEnd) {
		return false
	}
	s.graceEnd = until
	return true
}

// ExpireGrace drops the retained entries if the grace period has ended.
func (s *State) ExpireGrace(now time.Time) Change {
	var c Change
	if s.graceEnd.IsZero() || now.Before(s.graceEnd) {
		return c
	}
	s.graceEnd = time.Time{}
	c.Directory = true
	s.rebuild(now, &c)
	return c
}

// setDiff sets the differences between two directories.
func (c *Change) setDiff(before, after site.Directory) {
	c.DrainedDomains = !maps.Equal(before.DrainedDomains, after.DrainedDomains)
	c.Added = acceptedOnlyIn(after, before)
	c.Removed = acceptedOnlyIn(before, after)
}

// acceptedOnlyIn returns the targets that accept new work according to d but not
// according to other.
func acceptedOnlyIn(d, other site.Directory) []string {
	var ids []string
	for _, t := range d.Targets {
		if o, ok := other.Find(t.ID); d.Accepts(t) && (!ok || !other.Accepts(o)) {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// rebuild computes the active directory and sets the differences in c.
func (s *State) rebuild(now time.Time, c *Change) {
	if !s.registered.Loaded() || s.drained == nil {
		return
	}
	next := s.registered
	if now.Before(s.graceEnd) {
		next = next.WithRetained(s.unlisted(s.registered))
	}
	before := s.directory
	s.directory = next.WithDrainedDomains(s.drained.Domains, s.drained.Revision)
	c.setDiff(before, s.directory)
}

// unlisted returns the active targets that d no longer lists, except draining
// ones.
func (s *State) unlisted(d site.Directory) []site.Target {
	var targets []site.Target
	for _, t := range s.directory.Targets {
		if _, ok := d.Find(t.ID); !ok && !t.Draining {
			targets = append(targets, t)
		}
	}
	return targets
}

// matches reports whether the registered targets are those of another directory.
func (s *State) matches(v directoryVersion) bool {
	return s.registered.Loaded() && v.Revision != 0 && !v.Cold && v.Hash == s.registeredHash
}

// directoryVersion returns the version of the registered targets.
func (s *State) directoryVersion(now time.Time) directoryVersion {
	if !s.registered.Loaded() {
		return directoryVersion{}
	}
	return directoryVersion{Revision: s.registered.Revision, Hash: s.registeredHash, Cold: s.registered.AnyCold(now)}
}

// revisions returns the revisions that the state has.
func (s *State) revisions() revisions {
	v := revisions{ConfigRevision: s.config.Revision, DirectoryRevision: s.registered.Revision}
	if s.drained != nil {
		v.DrainedDomainsRevision = s.drained.Revision
	}
	return v
}
