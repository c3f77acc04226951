package demo

import (
	"context"

	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/pool"
	"bergamotworks/trial"
)

// Starter returns a function that starts systems for experiments.
func Starter(size int, log *logrus.Logger) trial.Starter {
	return func(ctx context.Context, config note.Config, policy string) (trial.System, error) {
		chosen, err := pool.PolicyString(policy)
		if err != nil {
			return nil, fault.BadField("policy", "%q is not a policy", policy)
		}
		first := note.Note{ID: "experiment", Added: config.Sections}
		s := &System{Note: first, Size: size, Policy: chosen, Log: log}
		if err := s.Start(ctx); err != nil {
			_ = s.Close()
			return nil, err
		}
		return s, nil
	}
}
