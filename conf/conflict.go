package conf

import (
	"context"
	"fmt"
	"strings"

	"bergamotworks/fault"
	"bergamotworks/note"
)

// maxDifferences bounds the differences listed in the message of a conflict.
const maxDifferences = 20

// lostRaceError returns the error of a note whose compare-and-swap failed
// because another note was accepted first.
func (s *Service) lostRaceError(ctx context.Context, n note.Note, base *image) error {
	_, i, err := s.readCurrent(ctx)
	if err != nil {
		return fault.New(fault.Conflict, fault.NotRun, "another note came first; the present one could not be read: %s", err)
	}
	if i.revision() == base.revision() {
		return fault.New(fault.Conflict, fault.NotRun, "another note came first")
	}
	return s.conflictError(n, i)
}

// conflictError returns the error for a note whose base revision is not the
// current one. It lists the differences if the base is still retained.
func (s *Service) conflictError(n note.Note, i *image) error {
	text := fmt.Sprintf("the present revision is %d, by note %s", i.revision(), i.config.NoteID)
	if base := s.recentImage(n.BaseRevision); base != nil {
		text += ", which differs in " + summarize(note.Diff(base.config, i.config))
	}
	return fault.New(fault.Conflict, fault.NotRun, "%s", text).WithField("base_revision")
}

// Difference lists the differences between an earlier revision and the active
// one. It reports false if this node no longer retains the earlier one.
func (s *Service) Difference(base int64) ([]note.Difference, bool) {
	earlier := s.recentImage(base)
	if earlier == nil {
		return nil, false
	}
	return note.Diff(earlier.config, s.Current()), true
}

func summarize(differences []note.Difference) string {
	var lines []string
	for _, d := range differences {
		if len(lines) == maxDifferences {
			lines = append(lines, fmt.Sprintf("and %d more", len(differences)-maxDifferences))
			break
		}
		lines = append(lines, fmt.Sprintf("%s (%s to %s)", d.Path, truncate(d.Before), truncate(d.After)))
	}
	return strings.Join(lines, ", ")
}

func truncate(value []byte) string {
	const maxBytes = 60
	switch {
	case len(value) == 0:
		return "nothing"
	case len(value) > maxBytes:
		return string(value[:maxBytes]) + "..."
	}
	return string(value)
}
