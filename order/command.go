package order

import (
	"context"

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
	Model        string
	ModelVersion string
	Adapters     map[string]string // Versions by name.
	Role         string
	Incarnation  string // Changes when the engine restarts; may be empty.
}

// Engine gives access to engines. Errors are *fault.Error; the verdict NotRun of
// Apply means that the command has not run and will not run.
type Engine interface {
	// State reads the state of the engine at an address.
	State(ctx context.Context, address string) (EngineState, error)
	// Apply sends a command once and waits until it has run.
	Apply(ctx context.Context, address string, command Command) error
}

// Effective reports whether an engine is in the state that the command asks for.
func (c Command) Effective(s EngineState) bool {
	version, loaded := s.Adapters[c.Subject]
	switch c.Kind {
	case note.LoadAdapter:
		return loaded && matches(c.Version, version)
	case note.UnloadAdapter:
		return !loaded
	case note.LoadModel:
		return s.Model == c.Subject && matches(c.Version, s.ModelVersion)
	case note.ChangeRole:
		return s.Role == c.Subject
	}
	return false
}

// Loads reports whether the command makes the engine read the weight store.
func (c Command) Loads() bool {
	return c.Kind == note.LoadAdapter || c.Kind == note.LoadModel
}

func matches(wanted, present string) bool { return wanted == "" || wanted == present }
