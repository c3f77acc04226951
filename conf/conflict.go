package conf

import (
	"context"
	"fmt"
	"strings"

	"bergamotworks/fault"
	"bergamotworks/note"
)

// maxDifferences bounds the paths that the text of a conflict names.
const maxDifferences = 20

// lost returns the error of a note that lost the race against another one.
func (s *Service) lost(ctx context.Context, n note.Note, base *image) error {
	_, i, err := s.present(ctx)
	if err != nil {
		return fault.New(fault.Conflict, fault.NotRun, "another note came first; the present one could not be read: %s", err)
	}
	if i.revision() == base.revision() {
		return fault.New(fault.Conflict, fault.NotRun, "another note came first")
	}
	return s.conflict(n, i)
}

// conflict returns the error for a note on another base than the present
// configuration, with the difference between the two.
func (s *Service) conflict(n note.Note, i *image) error {
	text := fmt.Sprintf("the present revision is %d, by note %s", i.revision(), i.config.NoteID)
	if base := s.past(n.BaseRevision); base != nil {
		text += ", which differs in " + summary(note.Diff(base.config, i.config))
	}
	return fault.New(fault.Conflict, fault.NotRun, "%s", text).WithField("base_revision")
}

// Difference lists what has changed between an earlier revision and the one in
// force. It reports false if the earlier one is no longer known here.
func (s *Service) Difference(base int64) ([]note.Difference, bool) {
	earlier := s.past(base)
	if earlier == nil {
		return nil, false
	}
	return note.Diff(earlier.config, s.Current()), true
}

func summary(differences []note.Difference) string {
	var lines []string
	for _, d := range differences {
		if len(lines) == maxDifferences {
			lines = append(lines, fmt.Sprintf("and %d more", len(differences)-maxDifferences))
			break
		}
		lines = append(lines, fmt.Sprintf("%s (%s to %s)", d.Path, shown(d.Before), shown(d.After)))
	}
	return strings.Join(lines, ", ")
}

func shown(value []byte) string {
	const most = 60
	switch {
	case len(value) == 0:
		return "nothing"
	case len(value) > most:
		return string(value[:most]) + "..."
	}
	return string(value)
}
