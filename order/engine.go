package order

import (
	"context"
	"strconv"

	"bergamotworks/engine"
)

// EngineClient implements [Engine] with the HTTP client for engines.
type EngineClient struct {
	Client *engine.Client
}

// State returns the state of the engine at an address.
func (e EngineClient) State(ctx context.Context, address string) (EngineState, error) {
	report, err := e.Client.Load(ctx, address, address)
	if err != nil {
		return EngineState{}, err
	}
	return EngineState{
		Model:       report.Model,
		Adapters:    report.Adapters,
		Role:        report.Role,
		Incarnation: strconv.FormatInt(report.Incarnation, 10),
	}, nil
}

// Apply sends a command once, without retries, and waits until it has run.
func (e EngineClient) Apply(ctx context.Context, address string, command Command) error {
	return e.Client.Order(ctx, address, address, engine.Order{
		Kind:    command.Kind,
		Subject: command.SubjectName(),
		Source:  command.source(),
		Fence:   command.FencingToken,
	})
}
