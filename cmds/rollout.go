package cmds

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"bergamotworks/admin"
	"bergamotworks/site"
)

func (a *app) rolloutCommand() *ffcli.Command {
	return a.command(&ffcli.Command{
		Name:        "rollout",
		ShortUsage:  "bergamotworks rollout <start|withdraw|status> [flags]",
		ShortHelp:   "Order, withdraw and show rollouts of versions of services.",
		Subcommands: []*ffcli.Command{a.rolloutStartCommand(), a.rolloutWithdrawCommand(), a.rolloutStatusCommand()},
		Exec:        requireSubcommand,
	})
}

func (a *app) rolloutStartCommand() *ffcli.Command {
	var c adminClient
	var span time.Duration
	flags := flag.NewFlagSet("start", flag.ContinueOnError)
	c.registerFlags(flags)
	flags.DurationVar(&span, "over", 0, "time from the order to its deadline, by which the version has all requests or none (required)")
	return a.command(&ffcli.Command{
		Name: "start", ShortUsage: "bergamotworks rollout start -over 12s [flags] <service> <version>", FlagSet: flags,
		ShortHelp: "Order that the requests of a service move to the targets of a version.",
		Exec: func(_ context.Context, args []string) error {
			args, err := parseTrailing(flags, args, 2)
			if err != nil {
				return err
			}
			if len(args) != 2 {
				return usageErrorf("service", "name a service and a version")
			}
			if span < time.Millisecond {
				return usageErrorf("over", "must be at least 1ms")
			}
			var order site.Rollout
			request := admin.RolloutRequest{Service: args[0], Version: args[1], SpanMS: span.Milliseconds()}
			if err := c.post("/v1/rollouts", request, &order); err != nil {
				return err
			}
			fmt.Fprintf(a.stdout, "rollout of version %s of %s is order %d, %s\n", order.Version, order.Service, order.Revision, order.State)
			return nil
		},
	})
}

func (a *app) rolloutWithdrawCommand() *ffcli.Command {
	var c adminClient
	flags := flag.NewFlagSet("withdraw", flag.ContinueOnError)
	c.registerFlags(flags)
	return a.command(&ffcli.Command{
		Name: "withdraw", ShortUsage: "bergamotworks rollout withdraw [flags] <service>", FlagSet: flags,
		ShortHelp: "Withdraw the open rollout of a service, or remove a decided one.",
		Exec: func(_ context.Context, args []string) error {
			args, err := parseTrailing(flags, args, 1)
			if err != nil {
				return err
			}
			if len(args) != 1 {
				return usageErrorf("service", "name one service")
			}
			var order site.Rollout
			if err := c.post("/v1/rollouts/withdraw", admin.RolloutRequest{Service: args[0]}, &order); err != nil {
				return err
			}
			fmt.Fprintf(a.stdout, "rollout of version %s of %s (order %d, %s) is withdrawn\n", order.Version, order.Service, order.Revision, order.State)
			return nil
		},
	})
}

func (a *app) rolloutStatusCommand() *ffcli.Command {
	var c adminClient
	var asJSON bool
	flags := flag.NewFlagSet("status", flag.ContinueOnError)
	c.registerFlags(flags)
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	return a.command(&ffcli.Command{
		Name: "status", ShortUsage: "bergamotworks rollout status [flags]", FlagSet: flags,
		ShortHelp: "Show what the given nodes know of each rollout: order, share, evidence and verdict.",
		Exec: func(_ context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			return a.printRolloutsOf(c, asJSON)
		},
	})
}

// parseTrailing parses the flags that follow the given number of arguments, and returns the
// arguments without them.
func parseTrailing(flags *flag.FlagSet, args []string, count int) ([]string, error) {
	if len(args) <= count {
		return args, nil
	}
	if err := flags.Parse(args[count:]); err != nil {
		return nil, usageErrorf("flag", "%s", err)
	}
	return append(args[:count:count], flags.Args()...), nil
}
