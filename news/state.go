package news

import (
	"time"

	"bergamotworks/site"
)

// returnTime is how long targets whose entries have lapsed during an outage of
// the store have to register again after its return.
const returnTime = 2200 * time.Millisecond

// Snapshot is what the store says at one moment.
type Snapshot struct {
	Config    site.Config    `json:"config"` // Unknown if the store holds none.
	Directory site.Directory `json:"directory"`
}

// State merges snapshots. The zero value knows nothing. It is not safe for
// concurrent use.
type State struct {
	config    site.Config
	directory site.Directory
	// listed is the directory as last read, without what is kept.
	listed site.Directory
	// outage says that the store could not be read since the last success.
	outage    bool
	keepUntil time.Time
}

// Change says what a merge has changed.
type Change struct {
	Config    bool
	Directory bool
}

// Config returns the configuration in force.
func (s *State) Config() site.Config { return s.config }

// Directory returns the directory in force.
func (s *State) Directory() site.Directory { return s.directory }

// Failed takes in that the store could not be read.
func (s *State) Failed() { s.outage = true }

// Read takes in what the store says at now.
func (s *State) Read(now time.Time, n Snapshot) Change {
	if s.outage {
		s.outage = false
		s.keepUntil = now.Add(returnTime)
	}
	return s.merge(now, n)
}

// Heard takes in what another node knows.
func (s *State) Heard(now time.Time, n Snapshot) Change { return s.merge(now, n) }

func (s *State) merge(now time.Time, n Snapshot) Change {
	var c Change
	if n.Config.Known() && (!s.config.Known() || n.Config.Version > s.config.Version) {
		s.config = n.Config
		c.Config = true
	}
	if !n.Directory.Known() || s.listed.Known() && n.Directory.Revision < s.listed.Revision {
		return c
	}
	if s.listed.Known() && n.Directory.Revision == s.listed.Revision && now.Before(s.keepUntil) {
		return c
	}
	s.listed = n.Directory
	next := n.Directory
	if now.Before(s.keepUntil) {
		next = next.WithKept(s.missing(n.Directory))
	}
	s.directory = next
	c.Directory = true
	return c
}

// missing returns the targets in force that a directory no longer lists.
func (s *State) missing(d site.Directory) []site.Target {
	var lapsed []site.Target
	for _, t := range s.directory.Targets {
		if _, ok := d.Find(t.ID); !ok && !t.Leaving {
			lapsed = append(lapsed, t)
		}
	}
	return lapsed
}
