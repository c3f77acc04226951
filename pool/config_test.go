package pool_test

import (
	"maps"

	"bergamotworks/note"
)

// withDomain returns a copy of a configuration with another state of a failure domain.
func withDomain(c note.Config, name string, state note.State) note.Config {
	s := c.Sections
	s.Domains = maps.Clone(s.Domains)
	d := s.Domains[name]
	d.State = state
	s.Domains[name] = d
	return c.WithSections(s).WithRevision(c.Revision+1, "")
}

// withTarget returns a copy of a configuration with another state of a target.
func withTarget(c note.Config, name string, state note.State) note.Config {
	s := c.Sections
	s.Targets = maps.Clone(s.Targets)
	t := s.Targets[name]
	t.State = state
	s.Targets[name] = t
	return c.WithSections(s).WithRevision(c.Revision+1, "")
}
