package cmds

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"

	"bergamotworks/soak"
)

const (
	defaultSoakLength = 10 * time.Second
	defaultSoakSettle = 20 * time.Second
	defaultSoakNodes  = 4
	maxSoakNodes      = 64
	defaultSoakFaults = 2
)

func (s *shell) soakCommand() *ffcli.Command {
	var r soak.Run
	seeds := 1
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	flags.Uint64Var(&r.Seed, "seed", 1, "first seed of the faults")
	flags.IntVar(&seeds, "seeds", seeds, "number of runs, each with the next seed")
	flags.DurationVar(&r.Duration, "length", defaultSoakLength, "time with load and faults")
	flags.DurationVar(&r.RecoveryTimeout, "settle", defaultSoakSettle, "time after the faults in which every node must serve again")
	flags.IntVar(&r.Nodes, "nodes", defaultSoakNodes, "number of nodes, 1 to 64")
	flags.Float64Var(&r.FaultsPerSecond, "faults", defaultSoakFaults, "faults that begin in a second")
	flags.BoolVar(&r.CheckDeadlines, "late", true, "count answers far after their deadline as faults")
	flags.StringVar(&r.Dir, "dir", "", "directory for the logs; empty takes a new one, which is kept after a failure")
	return s.command(&ffcli.Command{
		Name: "soak", ShortUsage: "bergamotworks soak [flags]", FlagSet: flags,
		ShortHelp: "Run real processes under faults from outside and check what callers see.",
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			if r.Nodes < 1 || r.Nodes > maxSoakNodes {
				return badSetting("nodes", "%d is not from 1 to %d", r.Nodes, maxSoakNodes)
			}
			if r.Duration <= 0 || r.RecoveryTimeout <= 0 || r.FaultsPerSecond < 0 || seeds < 1 {
				return badSetting("length", "times and the number of seeds must be positive")
			}
			return s.soak(ctx, r, seeds)
		},
	})
}

// soak runs the seeds one after the other and ends with the first that fails.
func (s *shell) soak(ctx context.Context, r soak.Run, seeds int) error {
	binary, err := os.Executable()
	if err != nil {
		return trace.Wrap(err)
	}
	r.Binary, r.Output = binary, s.stdout
	first := r.Seed
	for i := range seeds {
		r.Seed = first + uint64(i)
		if err := s.soakOnce(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

func (s *shell) soakOnce(ctx context.Context, r soak.Run) error {
	if r.Dir == "" {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return trace.Wrap(err)
		}
		r.Dir = dir
	}
	fmt.Fprintf(s.stdout, "seed %d, %d nodes, %s\n", r.Seed, r.Nodes, r.Duration)
	report, err := r.Do(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.stdout, "seed %d: %d requests, %d served, %d faults\n", r.Seed, report.Requests, report.Served, len(report.Violations))
	for _, f := range report.Violations {
		fmt.Fprintln(s.stdout, "BROKEN", f)
	}
	if len(report.Violations) > 0 {
		return trace.Errorf("seed %d broke a promise; logs in %s", r.Seed, r.Dir)
	}
	return trace.Wrap(os.RemoveAll(r.Dir))
}
