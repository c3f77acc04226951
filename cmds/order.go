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

func (s *shell) orderCommand() *ffcli.Command {
	return s.command(&ffcli.Command{
		Name:        "order",
		ShortUsage:  "bergamotworks order <list|abandon> [flags]",
		ShortHelp:   "Show engine orders, or give up one whose issuer is gone.",
		Subcommands: []*ffcli.Command{s.orderList(), s.orderAbandon()},
		Exec:        needSubcommand,
	})
}

func (s *shell) orderList() *ffcli.Command {
	var c client
	flags := flag.NewFlagSet("list", flag.ContinueOnError)
	c.register(flags)
	return s.command(&ffcli.Command{
		Name: "list", ShortUsage: "bergamotworks order list [flags]", FlagSet: flags,
		ShortHelp: "Show the last order to each target.",
		Exec: func(_ context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			var records []order.Record
			if err := c.get("/v1/orders", &records); err != nil {
				return err
			}
			return s.printOrders(records)
		},
	})
}

func (s *shell) printOrders(records []order.Record) error {
	w := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TARGET\tPHASE\tFENCE\tORDER\tSUBJECT\tCLAIMED\tISSUER")
	for _, r := range records {
		claimed := time.UnixMilli(r.ClaimedMS).UTC().Format(time.RFC3339)
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\n",
			r.Target, r.Phase, r.Command.Fence, r.Command.Kind, r.Command.SubjectName(), claimed, r.Issuer)
	}
	return w.Flush()
}

func (s *shell) orderAbandon() *ffcli.Command {
	var c client
	flags := flag.NewFlagSet("abandon", flag.ContinueOnError)
	c.register(flags)
	return s.command(&ffcli.Command{
		Name: "abandon", ShortUsage: "bergamotworks order abandon [flags] <target> <fencing number>", FlagSet: flags,
		ShortHelp: "Give up an open order whose issuer is gone for certain.",
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 2 {
				return badSetting("target", "name a target and the fencing number of its open order")
			}
			fence, err := strconv.ParseInt(args[1], 10, 64)
			if err != nil {
				return badSetting("fence", "%q is no number", args[1])
			}
			abandoned := admin.AbandonRequest{Target: args[0], Fence: fence}
			if err := c.post("/v1/orders/abandon", abandoned, nil); err != nil {
				return err
			}
			fmt.Fprintf(s.stdout, "order %d of target %s is abandoned\n", fence, args[0])
			return nil
		},
	})
}
