package demo

import (
	"github.com/gravitational/trace"

	"bergamotworks/emul"
	"bergamotworks/note"
	"bergamotworks/ports"
)

// StartStandIns starts stand-ins for all targets of a shipped deployment, to which
// it adds an opaque route. It returns them with the release note, which contains
// their addresses.
func StartStandIns(deployment string) (*emul.Fleet, note.Note, error) {
	shipped, err := note.Shipped(deployment)
	if err != nil {
		return nil, note.Note{}, err
	}
	shipped = withRoute(shipped)
	config, err := note.Apply(note.Config{}, shipped)
	if err != nil {
		return nil, note.Note{}, err
	}
	targets := &emul.Fleet{Config: config, Network: ports.SystemNetwork{}, Clock: ports.SystemClock{}}
	placed, err := targets.Start()
	if err != nil {
		return nil, note.Note{}, trace.Wrap(err)
	}
	shipped.Added.Targets = placed.Sections.Targets
	return targets, shipped, nil
}
