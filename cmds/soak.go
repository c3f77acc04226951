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
	defaultSoakDuration        = 10 * time.Second
	defaultSoakRecoveryTimeout = 20 * time.Second
	defaultSoakNodes           = 4
	maxSoakNodes               = 64
	defaultSoakFaultsPerSecond = 2
)

func (a *app) soakCommand() *ffcli.Command {
	var r soak.Run
	seeds := 1
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	flags.Uint64Var(&r.Seed, "seed", 1, "first seed of the faults")
	flags.IntVar(&seeds, "seeds", seeds, "number of runs, each with the next seed")
	flags.DurationVar(&r.Duration, "length", defaultSoakDuration, "duration of the load and the faults")
	flags.DurationVar(&r.RecoveryTimeout, "settle", defaultSoakRecoveryTimeout, "timeout after the load and the faults for every node to serve requests again")
	flags.IntVar(&r.Nodes, "nodes", defaultSoakNodes, "number of nodes, 1 to 64")
	flags.Float64Var(&r.FaultsPerSecond, "faults", defaultSoakFaultsPerSecond, "injected faults per second")
	flags.BoolVar(&r.CheckDeadlines, "late", true, "report responses far after their deadline as violations")
	flags.StringVar(&r.Dir, "dir", "", "existing directory for the logs; empty for a new one; either is deleted after a run without violations")
	return a.command(&ffcli.Command{
		Name: "soak", ShortUsage: "bergamotworks soak [flags]", FlagSet: flags,
		ShortHelp: "Run real processes under injected faults and check what clients receive and targets run.",
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			if r.Nodes < 1 || r.Nodes > maxSoakNodes {
				return usageErrorf("nodes", "%d is not from 1 to %d", r.Nodes, maxSoakNodes)
			}
			if r.Duration <= 0 || r.RecoveryTimeout <= 0 || r.FaultsPerSecond < 0 || seeds < 1 {
				return usageErrorf("length", "-length, -settle and -seeds must be positive, -faults must not be negative")
			}
			return a.soak(ctx, r, seeds)
		},
	})
}

// soak performs a run for each seed, one after the other, until one fails.
func (a *app) soak(ctx context.Context, r soak.Run, seeds int) error {
	binary, err := os.Executable()
	if err != nil {
		return trace.Wrap(err)
	}
	r.Binary, r.Output = binary, a.stdout
	first := r.Seed
	for i := range seeds {
		r.Seed = first + uint64(i)
		if err := a.soakOnce(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

// soakOnce performs one run. It deletes the directory of the logs if the run found
// no violations.
func (a *app) soakOnce(ctx context.Context, r soak.Run) error {
	if r.Dir == "" {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return trace.Wrap(err)
		}
		r.Dir = dir
	}
	fmt.Fprintf(a.stdout, "seed %d, %d nodes, %s\n", r.Seed, r.Nodes, r.Duration)
	report, err := r.Do(ctx)
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		return trace.Errorf("seed %d was interrupted; logs in %s", r.Seed, r.Dir)
	}
	fmt.Fprintf(a.stdout, "seed %d: %d requests, %d served, %d changes of the configuration, %d violations\n", r.Seed, report.Requests, report.Served, report.Changes, len(report.Violations))
	for _, f := range report.Violations {
		fmt.Fprintln(a.stdout, "BROKEN", f)
	}
	if len(report.Violations) > 0 {
		return trace.Errorf("seed %d violated a guarantee; logs in %s", r.Seed, r.Dir)
	}
	return trace.Wrap(os.RemoveAll(r.Dir))
}
