package order

import (
	"context"
	"slices"

	"bergamotworks/note"
)

// Command is an order to one engine.
type Command struct {
	Kind    note.OrderKind `json:"kind"`
	Subject string         `json:"subject"` // Model, adapter or role.
	Version string         `json:"version,omitempty"`
	Fence   int64          `json:"fence"`
}

// EngineState is what an engine says of itself.
type EngineState struct {
	Model       string
	Adapters    []string
	Role        string
	Incarnation string // Changes when the engine restarts.
}

// Engine gives access to engines. Errors carry a verdict: after NotRun the
// command has not run and will not run, after Ran the engine has answered that
// it failed.
type Engine interface {
	// State reads the state of the engine at an address.
	State(ctx context.Context, address string) (EngineState, error)
	// Apply sends a command once and waits until it has run.
	Apply(ctx context.Context, address string, command Command) error
}

// SubjectName returns the name under which the engine reports the subject. It holds
// the version, so that the state tells versions apart.
func (c Command) SubjectName() string {
	if c.Version == "" {
		return c.Subject
	}
	return c.Subject + "@" + c.Version
}

// source returns the path of the subject in the weight store.
func (c Command) source() string {
	if c.Version == "" {
		return c.Subject
	}
	return c.Subject + "/" + c.Version
}

// SatisfiedBy reports whether an engine is in the state that the command asks for.
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

// LoadsWeights reports whether the command makes the engine read the weight store.
func (c Command) LoadsWeights() bool {
	return c.Kind == note.LoadAdapter || c.Kind == note.LoadModel
}
