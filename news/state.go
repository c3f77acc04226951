package news

import (
	"maps"
	"slices"
	"time"

	"bergamotworks/site"
)

const (
	// reregisterGrace is how long targets whose entries expired during an outage of
	// the store have to register again after it. Until then their entries are
	// retained.
	reregisterGrace = 2200 * time.Millisecond
	// maxReadGap is the longest time between two reads of the directory, by any VMs,
	// in which no outage is assumed. It is shorter than the time after which the
	// entry of a target expires that can't renew it.
	maxReadGap = 2 * time.Second
)

// DrainedDomains are the failure domains that operators have drained: their
// targets accept no new work.
type DrainedDomains struct {
	Domains       []string `json:"domains"`
	site.Position          // At which they were read from the store.
}

// Snapshot is the state of the store or of another node at one moment. Parts
// that are unknown are not loaded or nil.
type Snapshot struct {
	Config         site.Config
	Directory      site.Directory // As registered; its DrainedDomains is not set.
	DrainedDomains *DrainedDomains
	Rollouts       *Rollouts
	Unchanged      directoryVersion // Used instead of Directory if it has the same targets.
	// ReadAt is a time at which a VM has read the directory from the store, this one
	// or another; zero if none is known.
	ReadAt time.Time
	// GraceEnd is the end of the grace period of the other node; zero if it has none.
	GraceEnd time.Time
	// AppliedAt is the current time.
	AppliedAt time.Time
}

// directoryVersion identifies what a directory lists. The zero value stands for
// none.
type directoryVersion struct {
	site.Position
	Hash uint64 `json:"hash"` // Of its targets.
	Cold bool   `json:"cold"` // Some are warming up; the hash does not tell until when.
}

// State merges snapshots. The zero value has no configuration and no directory.
// It is not safe for concurrent use.
type State struct {
	epoch     int64 // The latest epoch of the store that is known.
	departed  departures
	inherited inheritance // From the epoch before, while it counts.
	config    site.Config
	directory site.Directory
	// registered is the directory as last applied, from the store or from
	// another node, before retained entries and drained failure domains are
	// added.
	registered     site.Directory
	registeredHash uint64 // Of the targets of registered.
	drained        *DrainedDomains
	rollouts       *Rollouts
	// lastRead is the latest time at which a VM is known to have read the directory
	// from the store, and registeredAt that of which registered is the result.
	lastRead     time.Time
	registeredAt time.Time
	// graceEnd is the time at which registered must be read to tell that a target
	// has not registered again. Expired entries are retained until then.
	graceEnd time.Time
}

// Change says what a merge has changed.
type Change struct {
	// Restored means that a later epoch of the store has become known than EpochBefore.
	Restored    bool
	EpochBefore int64
	// Held is the number of targets that get no work in the new epoch though its entries
	// may list them, since they had left before.
	Held   int
	Config bool
	// Directory means that a directory or drained failure domains were applied. The
	// active directory may be unchanged.
	Directory      bool
	DrainedDomains bool     // The set of drained failure domains has changed.
	Rollouts       bool     // The rollouts or their states have changed.
	Added          []string // Targets that accept new work and did not before.
	Removed        []string // Targets that no longer accept new work.
	// Grace is the time without any known read of the store if that starts a grace
	// period for expired entries; otherwise zero.
	Grace time.Duration
}

// Config returns the active configuration.
func (s *State) Config() site.Config { return s.config }

// Directory returns the active directory.
func (s *State) Directory() site.Directory { return s.directory }

// Apply merges a snapshot of the store or of another node: the parts that are not
// older than the present ones. A configuration must be newer.
func (s *State) Apply(sn Snapshot) Change {
	sn = sn.withEpoch(s.epoch)
	c := Change{Grace: s.recordRead(sn)}
	s.followEpoch(sn, &c)
	if sn.Config.Loaded() && (!s.config.Loaded() || sn.Config.Revision > s.config.Revision) {
		s.config = sn.Config
		c.Config = true
	}
	if sn.DrainedDomains != nil && (s.drained == nil || !s.drained.After(sn.DrainedDomains.Position)) {
		s.drained = sn.DrainedDomains
		c.Directory = true
	}
	c.Rollouts = s.applyRollouts(sn.Rollouts)
	if sn.Directory.Loaded() && (!s.registered.Loaded() || !s.registered.After(sn.Directory.Position)) {
		s.replaceRegistered(sn.Directory, sn.AppliedAt)
		c.Directory = true
	}
	if s.matches(sn.Unchanged) && sn.Unchanged.After(s.registered.Position) {
		s.registered = s.registered.WithPosition(sn.Unchanged.Position)
		c.Directory = true
	}
	c.Directory = s.confirmRegistered(sn) || c.Directory
	c.Directory = s.inherited.expire(sn.AppliedAt) || c.Directory
	if c.Directory {
		s.rebuild(&c)
	}
	return c
}

// replaceRegistered replaces the registered directory.
func (s *State) replaceRegistered(d site.Directory, now time.Time) {
	hash := d.TargetsHash()
	if s.registered.Loaded() && hash != s.registeredHash {
		if s.registered.Epoch == d.Epoch {
			s.departed.observe(s.registered, d, now)
		}
		s.inherited.observe(d)
	}
	s.registered, s.registeredHash = d, hash
}

// confirmRegistered records the read of the store in a snapshot that was just merged.
// It reports whether that may end the grace period.
func (s *State) confirmRegistered(sn Snapshot) bool {
	if !s.includes(sn) || !sn.ReadAt.After(s.registeredAt) {
		return false
	}
	retained := s.retains()
	s.registeredAt = sn.ReadAt
	return retained
}

// includes reports whether the registered directory is at least as new as that of
// a snapshot that was just merged.
func (s *State) includes(sn Snapshot) bool {
	latest := sn.Directory.Latest(sn.Unchanged.Position)
	return latest.Revision != 0 && s.registered.Loaded() && !latest.After(s.registered.Position)
}

// recordRead records that a VM has read the directory from the store. If no VM is
// known to have done so for longer than maxReadGap before, the store may have been
// down for all of them, and a grace period starts. It ends when that of the node ends
// that sent the snapshot and may have read the store earlier. A VM that alone could
// not read the store learns from others that they could, and a grace period of another
// node alone starts none. It returns the time without a read if one starts.
func (s *State) recordRead(sn Snapshot) time.Duration {
	if !sn.ReadAt.After(s.lastRead) {
		return 0
	}
	gap := sn.ReadAt.Sub(s.lastRead)
	first := s.lastRead.IsZero()
	s.lastRead = sn.ReadAt
	if first || gap <= maxReadGap {
		return 0
	}
	s.graceEnd = sn.ReadAt.Add(reregisterGrace)
	if !sn.GraceEnd.IsZero() && sn.GraceEnd.Before(s.graceEnd) {
		s.graceEnd = sn.GraceEnd
	}
	return gap
}

// retains reports whether expired entries are retained.
func (s *State) retains() bool { return s.registeredAt.Before(s.graceEnd) }

// GraceRemaining returns the time until the end of the grace period, after which the
// directory must be read to drop the entries that are retained; zero if it has ended.
func (s *State) GraceRemaining(now time.Time) time.Duration {
	if !s.retains() {
		return 0
	}
	return max(0, s.graceEnd.Sub(now))
}

// awaitsRead reports whether the grace period ended not long ago and the directory
// has not been read since, so that it should be read soon.
func (s *State) awaitsRead(now time.Time) bool {
	return s.retains() && !now.Before(s.graceEnd) && now.Sub(s.graceEnd) < readInterval
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
func (s *State) rebuild(c *Change) {
	if !s.registered.Loaded() || s.drained == nil {
		return
	}
	next := s.inherited.correct(s.registered)
	domains := s.drained.Domains
	if s.retains() {
		next = next.WithRetained(s.unlisted(s.registered))
		domains = slices.Concat(domains, s.inherited.drained)
	}
	before := s.directory
	s.directory = next.WithDrainedDomains(domains, s.drained.Position)
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

// lacks reports whether another directory is later than the registered one and has other
// targets.
func (s *State) lacks(v directoryVersion) bool {
	v.Position = withEpoch(v.Position, s.epoch)
	return v.After(s.registered.Position) && !s.matches(v)
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
	return directoryVersion{Position: s.registered.Position, Hash: s.registeredHash, Cold: s.registered.AnyCold(now)}
}

// revisions returns the revisions that the state has.
func (s *State) revisions() revisions {
	v := revisions{ConfigRevision: s.config.Revision, DirectoryRevision: s.registered.Revision}
	if s.drained != nil {
		v.DrainedDomainsRevision, v.DrainedDomainsEpoch = s.drained.Revision, s.drained.Epoch
	}
	if len(s.Rollouts()) > 0 {
		v.RolloutsRevision, v.RolloutsEpoch = s.rollouts.Revision, s.rollouts.Epoch
	}
	return v
}
