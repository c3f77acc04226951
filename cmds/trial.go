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

// trialSettings are the settings of the trial command.
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

// pageMode lets everybody read a report page.
const pageMode = 0o644

// errFailed says that a property was broken in an experiment.
var errFailed = errors.New("a property was broken or an event failed")

func (v *trialSettings) register(flags *flag.FlagSet) {
	flags.StringVar(&v.script, "script", "steady", "script file, or one of: "+strings.Join(trial.Names(), ", "))
	flags.StringVar(&v.deployment, "deployment", "", "shipped release note in place of the script's")
	flags.StringVar(&v.policy, "policy", pool.Owned.String(), "admission policy: owned, or a baseline: round_robin, least_outstanding, split_limits")
	flags.IntVar(&v.nodes, "nodes", 8, "number of nodes, 1 to 32")
	flags.Float64Var(&v.rate, "max-rate", 0, "requests per second to which the capacity is lowered, zero for the deployment's own")
	flags.Uint64Var(&v.seed, "seed", 0, "seed in place of the script's, zero for the script's own")
	flags.BoolVar(&v.asJSON, "json", false, "print the result as JSON")
	flags.StringVar(&v.page, "page", "", "file to write a report page in HTML to")
}

func (v *trialSettings) check() error {
	if v.nodes < 1 || v.nodes > maxDemoNodes {
		return badSetting("nodes", "%d is not from 1 to %d", v.nodes, maxDemoNodes)
	}
	if _, err := pool.PolicyString(v.policy); err != nil {
		return badSetting("policy", "%q is not a policy", v.policy)
	}
	if v.rate < 0 {
		return badSetting("max-rate", "must not be negative")
	}
	return nil
}

func (s *shell) trialCommand() *ffcli.Command {
	var v trialSettings
	flags := flag.NewFlagSet("trial", flag.ContinueOnError)
	v.register(flags)
	return s.command(&ffcli.Command{
		Name: "trial", ShortUsage: "bergamotworks trial [flags]", FlagSet: flags,
		ShortHelp: "Run a scripted experiment with load and faults, and print what the stand-ins counted.",
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			if err := v.check(); err != nil {
				return err
			}
			log, err := s.logger()
			if err != nil {
				return err
			}
			if s.logLevel == defaultLogLevel {
				log.SetLevel(logrus.ErrorLevel)
			}
			return s.trial(ctx, v, log)
		},
	})
}

func (s *shell) trial(ctx context.Context, v trialSettings, log *logrus.Logger) error {
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
	if err := s.writeTrial(v, result); err != nil {
		return err
	}
	if !result.Passed() {
		return errFailed
	}
	return nil
}

// writeTrial prints the result and writes the report page if one is asked for.
func (s *shell) writeTrial(v trialSettings, result trial.Result) error {
	if v.page != "" {
		if err := writePage(v.page, result.Page()); err != nil {
			return err
		}
	}
	if v.asJSON {
		return s.printJSON(result)
	}
	return result.Print(s.stdout)
}

// readScript returns an embedded script or reads one from a file.
func readScript(name string) (trial.Script, error) {
	if script, err := trial.Embedded(name); err == nil {
		return script, nil
	}
	text, err := os.ReadFile(name) //nolint:gosec // The operator names the file.
	if err != nil {
		return trial.Script{}, badSetting("script", "%s", err)
	}
	script, err := trial.Decode(text)
	if err != nil {
		return script, badSetting("script", "%s", describe(err))
	}
	return script, nil
}
