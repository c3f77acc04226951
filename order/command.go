package order

import (
	"context"
	"slices"

	"bergamotworks/note"
)

// Command is an order to one engine. FencingToken increases with each order to
// the target.
type Command struct {
	Kind         note.OrderKind `json:"kind"`
	Subject      string         `json:"subject"` // Model, adapter or role.
	Version      string         `json:"version,omitempty"`
	FencingToken int64          `json:"fence"`
}

// EngineState is the state that an engine reports. Model, Adapters and Role hold
// names as returned by [Command.SubjectName]; they are empty if the engine reports
// none.
type EngineState struct {
	Model       string
	Adapters    []string
	Role        string
	Incarnation string // Changes when the engine restarts.
}

// Engine reads the state of engines and sends them commands. Errors carry a
// verdict: NotRun means that the command has not run and never will, Ran that
// the engine responded that it failed.
type Engine interface {
	// State returns the state of the engine at an address.
	State(ctx context.Context, address string) (EngineState, error)
	// Apply sends a command once, without retries, and waits until it has run.
	Apply(ctx context.Context, address string, command Command) error
}

// SubjectName returns the name under which the engine reports the subject:
// SUBJECT@VERSION, or SUBJECT without a version. It contains the version, so that
// versions can be distinguished in the engine's state.
func (c Command) SubjectName() string {
	if c.Version == "" {
		return c.Subject
	}
	return c.Subject + "@" + c.Version
}

// source returns the path of the subject in the weight store: SUBJECT/VERSION, or
// SUBJECT without a version.
func (c Command) source() string {
	if c.Version == "" {
		return c.Subject
	}
	return c.Subject + "/" + c.Version
}

// SatisfiedBy reports whether an engine is in the state that the command
// requests.
func (c Command) SatisfiedBy(s EngineState) bool {
	switch c.Kind {
	case note.LoadAdapter:
		return slices.Contains(s.Adapters, c.SubjectName())
	case note.UnloadAdapter:
		return !slices.Contains(s.Adapters, c.SubjectName())
	case note.LoadModel:
		return s.Model == c.SubjectName()
	case note.ChangeRole:
		return s.Role == c.SubjectName()
	}
	return false
}

// LoadsWeights reports whether the command makes the engine read from the
// weight store.
func (c Command) LoadsWeights() bool {
	return c.Kind == note.LoadAdapter || c.Kind == note.LoadModel
}
