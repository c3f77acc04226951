package cmds

import (
	"context"
	"errors"
	"flag"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"bergamotworks/demo"
	"bergamotworks/pool"
	"bergamotworks/ports"
	"bergamotworks/trial"
)

// trialSettings holds the settings of the trial command.
type trialSettings struct {
	script     string
	deployment string
	policy     string
	nodes      int
	rate       float64
	seed       uint64
	asJSON     bool
	page       string
}

// pageMode makes report pages readable by all users.
const pageMode = 0o644

// errExperimentFailed reports that an experiment violated a property or that one
// of its events failed.
var errExperimentFailed = errors.New("a property was violated or an event failed")

func (v *trialSettings) register(flags *flag.FlagSet) {
	flags.StringVar(&v.script, "script", "steady", "script file, or one of: "+strings.Join(trial.Names(), ", "))
	flags.StringVar(&v.deployment, "deployment", "", "shipped release note to use instead of the script's")
	flags.StringVar(&v.policy, "policy", pool.Owned.String(), "admission policy: owned, or a baseline: round_robin, least_outstanding, split_limits")
	flags.IntVar(&v.nodes, "nodes", 8, "number of nodes, 1 to 32")
	flags.Float64Var(&v.rate, "max-rate", 0, "requests per second to which the capacity is reduced; zero for the deployment's own")
	flags.Uint64Var(&v.seed, "seed", 0, "seed to use instead of the script's; zero for the script's own")
	flags.BoolVar(&v.asJSON, "json", false, "print the result as JSON")
	flags.StringVar(&v.page, "page", "", "file to write a report page in HTML to")
}

func (v *trialSettings) check() error {
	if v.nodes < 1 || v.nodes > maxDemoNodes {
		return usageErrorf("nodes", "%d is not from 1 to %d", v.nodes, maxDemoNodes)
	}
	if _, err := pool.PolicyString(v.policy); err != nil {
		return usageErrorf("policy", "%q is not a policy", v.policy)
	}
	if v.rate < 0 {
		return usageErrorf("max-rate", "must not be negative")
	}
	return nil
}

func (a *app) trialCommand() *ffcli.Command {
	var v trialSettings
	flags := flag.NewFlagSet("trial", flag.ContinueOnError)
	v.register(flags)
	return a.command(&ffcli.Command{
		Name: "trial", ShortUsage: "bergamotworks trial [flags]", FlagSet: flags,
		ShortHelp: "Run a scripted experiment with load and faults, and print what the stand-ins counted.",
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			if err := v.check(); err != nil {
				return err
			}
			log, err := a.logger()
			if err != nil {
				return err
			}
			if a.logLevel == defaultLogLevel {
				log.SetLevel(logrus.ErrorLevel)
			}
			return a.trial(ctx, v, log)
		},
	})
}

func (a *app) trial(ctx context.Context, v trialSettings, log *logrus.Logger) error {
	script, err := readScript(v.script)
	if err != nil {
		return err
	}
	if v.seed != 0 {
		script.Seed = v.seed
	}
	result, err := trial.Run(ctx, script, trial.Options{
		Start: demo.Starter(v.nodes, 0, log), Policy: v.policy, Deployment: v.deployment, MaxRate: v.rate,
		Network: ports.SystemNetwork{}, Clock: ports.SystemClock{},
	})
	if err != nil {
		return err
	}
	if err := a.writeTrial(v, result); err != nil {
		return err
	}
	if !result.Passed() {
		return errExperimentFailed
	}
	return nil
}

// writeTrial prints the result, and writes the report page if the settings name
// one.
func (a *app) writeTrial(v trialSettings, result trial.Result) error {
	if v.page != "" {
		if err := writePage(v.page, result.Page()); err != nil {
			return err
		}
	}
	if v.asJSON {
		return a.printJSON(result)
	}
	return result.Print(a.stdout)
}

// readScript returns the embedded script with the name, or reads one from a file.
func readScript(name string) (trial.Script, error) {
	if script, err := trial.Embedded(name); err == nil {
		return script, nil
	}
	text, err := os.ReadFile(name) //nolint:gosec // The operator chooses the path.
	if err != nil {
		return trial.Script{}, usageErrorf("script", "%s", err)
	}
	script, err := trial.Decode(text)
	if err != nil {
		return script, usageErrorf("script", "%s", errorText(err))
	}
	return script, nil
}
