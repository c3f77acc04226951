package cmds

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"bergamotworks/demo"
	"bergamotworks/note"
)

// demoSettings holds the settings of the demo command.
type demoSettings struct {
	deployment string
	nodes      int
	listen     string
	admin      string
	wait       bool
	duration   time.Duration
}

func (v *demoSettings) register(flags *flag.FlagSet) {
	flags.StringVar(&v.deployment, "deployment", "toits_unis", "shipped release note: "+strings.Join(note.ShippedNames(), " or "))
	flags.IntVar(&v.nodes, "nodes", 8, "number of nodes, 1 to 32")
	flags.StringVar(&v.listen, "listen", "127.0.0.1:8080", "client address of the first node, IP:port")
	flags.StringVar(&v.admin, "admin-listen", defaultAdmin, "admin address of the first node, IP:port")
	flags.BoolVar(&v.wait, "wait", false, "keep running after the requests until SIGTERM or until the duration has passed")
	flags.DurationVar(&v.duration, "duration", 0, "with -wait: time after which the demo ends; zero for no limit")
}

const maxDemoNodes = 32

func (v *demoSettings) check() error {
	if v.nodes < 1 || v.nodes > maxDemoNodes {
		return usageErrorf("nodes", "%d is not from 1 to %d", v.nodes, maxDemoNodes)
	}
	if v.duration < 0 {
		return usageErrorf("duration", "must not be negative")
	}
	if v.duration > 0 && !v.wait {
		return usageErrorf("duration", "needs -wait")
	}
	if _, err := note.Shipped(v.deployment); err != nil {
		return usageErrorf("deployment", "%q is not %s", v.deployment, strings.Join(note.ShippedNames(), " or "))
	}
	addresses := []struct{ name, value string }{{"listen", v.listen}, {"admin-listen", v.admin}}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return usageErrorf(a.name, "%q is not IP:port", a.value)
		}
	}
	return nil
}

func (a *app) demoCommand() *ffcli.Command {
	var v demoSettings
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	v.register(flags)
	return a.command(&ffcli.Command{
		Name: "demo", ShortUsage: "bergamotworks demo [flags]", FlagSet: flags,
		ShortHelp: "Run a whole deployment in one process and send it some requests.",
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
			return a.demo(ctx, v, log)
		},
	})
}

func (a *app) demo(ctx context.Context, v demoSettings, log *logrus.Logger) error {
	if a.logLevel == defaultLogLevel {
		log.SetLevel(logrus.WarnLevel)
	}
	started := time.Now()
	targets, first, err := demo.StartStandIns(v.deployment)
	if err != nil {
		return err
	}
	defer func() { _ = targets.Close() }()
	system := &demo.System{Note: first, Size: v.nodes, Listen: v.listen, Admin: v.admin, Log: log}
	defer func() { _ = system.Close() }()
	if err := system.Start(ctx); err != nil {
		return err
	}
	fmt.Fprintf(a.stdout, "%s: %d nodes and %d targets ready after %s\n\n", v.deployment, v.nodes,
		len(system.Config().Sections.Targets), time.Since(started).Round(time.Millisecond))
	tour := demo.Tour{System: system, Output: a.stdout, Continues: v.wait}
	if err := tour.Run(); err != nil {
		return err
	}
	if !v.wait {
		return nil
	}
	fmt.Fprintf(a.stdout, "admin addresses: %s\n", strings.Join(system.AdminAddresses(), ","))
	wait := ctx
	if v.duration > 0 {
		limited, cancel := context.WithTimeout(ctx, v.duration)
		defer cancel()
		wait = limited
	}
	<-wait.Done()
	return nil
}
