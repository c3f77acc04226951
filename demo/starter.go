package demo

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/pool"
	"bergamotworks/trial"
)

// Starter returns a function that starts systems for experiments. ready bounds
// the wait for their nodes; zero means 20 s.
func Starter(size int, ready time.Duration, log *logrus.Logger) trial.Starter {
	return func(ctx context.Context, config note.Config, policy string) (trial.System, error) {
		parsed, err := pool.PolicyString(policy)
		if err != nil {
			return nil, fault.InvalidField("policy", "%q is not a policy", policy)
		}
		first := note.Note{ID: "experiment", Added: config.Sections}
		s := &System{Note: first, Size: size, Policy: parsed, ReadyTimeout: ready, Log: log}
		if err := s.Start(ctx); err != nil {
			_ = s.Close()
			return nil, err
		}
		return s, nil
	}
}
