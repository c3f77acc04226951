package cmds

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"bergamotworks/admin"
	"bergamotworks/order"
)

func (a *app) orderCommand() *ffcli.Command {
	return a.command(&ffcli.Command{
		Name:        "order",
		ShortUsage:  "bergamotworks order <list|abandon> [flags]",
		ShortHelp:   "Show engine orders, or abandon one whose issuer no longer runs.",
		Subcommands: []*ffcli.Command{a.orderListCommand(), a.orderAbandonCommand()},
		Exec:        requireSubcommand,
	})
}

func (a *app) orderListCommand() *ffcli.Command {
	var c adminClient
	flags := flag.NewFlagSet("list", flag.ContinueOnError)
	c.registerFlags(flags)
	return a.command(&ffcli.Command{
		Name: "list", ShortUsage: "bergamotworks order list [flags]", FlagSet: flags,
		ShortHelp: "Show the last engine order of each target.",
		Exec: func(_ context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			var records []order.Record
			if err := c.get("/v1/orders", &records); err != nil {
				return err
			}
			return a.printOrders(records)
		},
	})
}

func (a *app) printOrders(records []order.Record) error {
	w := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TARGET\tPHASE\tFENCING TOKEN\tORDER\tSUBJECT\tCLAIMED\tISSUER")
	for _, r := range records {
		claimed := time.UnixMilli(r.ClaimedMS).UTC().Format(time.RFC3339)
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\n",
			r.Target, r.Phase, r.Command.FencingToken, r.Command.Kind, r.Command.SubjectName(), claimed, r.Issuer)
	}
	return w.Flush()
}

func (a *app) orderAbandonCommand() *ffcli.Command {
	var c adminClient
	flags := flag.NewFlagSet("abandon", flag.ContinueOnError)
	c.registerFlags(flags)
	return a.command(&ffcli.Command{
		Name: "abandon", ShortUsage: "bergamotworks order abandon [flags] <target> <fencing token>", FlagSet: flags,
		ShortHelp: "Abandon an order with an unknown outcome whose issuer certainly no longer runs.",
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 2 {
				return usageErrorf("target", "name a target and the fencing token of its order")
			}
			fencingToken, err := strconv.ParseInt(args[1], 10, 64)
			if err != nil {
				return usageErrorf("fencing token", "%q is not a number", args[1])
			}
			abandoned := admin.AbandonRequest{Target: args[0], FencingToken: fencingToken}
			if err := c.post("/v1/orders/abandon", abandoned, nil); err != nil {
				return err
			}
			fmt.Fprintf(a.stdout, "order %d of target %s is abandoned\n", fencingToken, args[0])
			return nil
		},
	})
}
