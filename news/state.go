package news

import (
	"maps"
	"time"

	"bergamotworks/site"
)

// returnTime is how long targets whose entries have lapsed during an outage of
// the store have to register again after its return.
const returnTime = 2200 * time.Millisecond

// DrainedDomains are the failure domains that are taken out.
type DrainedDomains struct {
	Domains  []string `json:"domains"`
	Revision int64    `json:"revision"` // Revision of the store at which they were read.
}

// Snapshot is what the store or another node says at one moment. What it does
// not speak of is unknown, nil for the departures.
type Snapshot struct {
	Config         site.Config
	Directory      site.Directory // As registered, without departures.
	DrainedDomains *DrainedDomains
}

// State merges snapshots. The zero value knows nothing. It is not safe for
// concurrent use.
type State struct {
	config    site.Config
	directory site.Directory
	// listed is the directory as last read, without what is kept or taken out.
	listed     site.Directory
	departures *DrainedDomains
	// outage says that the store could not be read since the last success.
	outage    bool
	keepUntil time.Time
}

// Change says what a merge has changed.
type Change struct {
	Config         bool
	Directory      bool
	DrainedDomains bool     // Other failure domains are taken out.
	Added          []string // Targets that take new work and did not before.
	Removed        []string // Targets that no longer take new work.
}

// Config returns the configuration in force.
func (s *State) Config() site.Config { return s.config }

// Directory returns the directory in force.
func (s *State) Directory() site.Directory { return s.directory }

// StoreReadFailed takes in that the store could not be read.
func (s *State) StoreReadFailed() { s.outage = true }

// PeerReadStore takes in that another node has read the store. How long lapsed entries
// are kept is then that node's to tell.
func (s *State) PeerReadStore() { s.outage = false }

// Read takes in what the store says at now.
func (s *State) Read(now time.Time, n Snapshot) Change {
	if s.outage {
		s.outage = false
		s.keepUntil = now.Add(returnTime)
	}
	return s.merge(now, n)
}

// ApplyPeer takes in what another node knows.
func (s *State) ApplyPeer(now time.Time, n Snapshot) Change { return s.merge(now, n) }

func (s *State) merge(now time.Time, n Snapshot) Change {
	var c Change
	if n.Config.Loaded() && (!s.config.Loaded() || n.Config.Version > s.config.Version) {
		s.config = n.Config
		c.Config = true
	}
	if n.DrainedDomains != nil && (s.departures == nil || n.DrainedDomains.Revision >= s.departures.Revision) {
		s.departures = n.DrainedDomains
		c.Directory = true
	}
	if n.Directory.Loaded() && (!s.listed.Loaded() || n.Directory.Revision >= s.listed.Revision) {
		s.listed = n.Directory
		c.Directory = true
	}
	if c.Directory {
		s.combine(now, &c)
	}
	return c
}

// GraceRemaining returns how long entries that have lapsed are still kept.
func (s *State) GraceRemaining(now time.Time) time.Duration {
	if s.keepUntil.IsZero() {
		return 0
	}
	return max(0, s.keepUntil.Sub(now))
}

// ExtendGrace keeps entries that have lapsed for a time, as another node does.
func (s *State) ExtendGrace(now time.Time, keep time.Duration) {
	if until := now.Add(keep); until.After(s.keepUntil) {
		s.keepUntil = until
	}
}

// ExpireGrace drops entries that have lapsed if they were kept for long enough.
func (s *State) ExpireGrace(now time.Time) Change {
	var c Change
	if s.keepUntil.IsZero() || now.Before(s.keepUntil) {
		return c
	}
	s.keepUntil = time.Time{}
	c.Directory = true
	s.combine(now, &c)
	return c
}

// compare finds out what differs between two directories.
func (c *Change) compare(before, after site.Directory) {
	c.DrainedDomains = !maps.Equal(before.DrainedDomains, after.DrainedDomains)
	c.Added = missingFrom(after, before)
	c.Removed = missingFrom(before, after)
}

// missingFrom returns the targets that take new work in one directory only.
func missingFrom(one, other site.Directory) []string {
	var ids []string
	for _, t := range one.Targets {
		if o, ok := other.Find(t.ID); one.Accepts(t) && (!ok || !other.Accepts(o)) {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// combine makes the directory in force from what was read and notes what differs.
func (s *State) combine(now time.Time, c *Change) {
	if !s.listed.Loaded() || s.departures == nil {
		return
	}
	next := s.listed
	if now.Before(s.keepUntil) {
		next = next.WithRetained(s.missing(s.listed))
	}
	before := s.directory
	s.directory = next.WithDrainedDomains(s.departures.Domains, s.departures.Revision)
	c.compare(before, s.directory)
}

// missing returns the targets in force that a directory no longer lists.
func (s *State) missing(d site.Directory) []site.Target {
	var lapsed []site.Target
	for _, t := range s.directory.Targets {
		if _, ok := d.Find(t.ID); !ok && !t.Draining {
			lapsed = append(lapsed, t)
		}
	}
	return lapsed
}

// known returns the versions of what the state holds.
func (s *State) known() known {
	k := known{Version: s.config.Version, Revision: s.listed.Revision}
	if s.departures != nil {
		k.Departures = s.departures.Revision
	}
	return k
}
