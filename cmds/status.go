package cmds

import (
	"context"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"bergamotworks/admin"
	"bergamotworks/pool"
	"bergamotworks/warm"
)

func (a *app) statusCommand() *ffcli.Command {
	var c adminClient
	var asJSON bool
	var rollouts string
	flags := flag.NewFlagSet("status", flag.ContinueOnError)
	c.registerFlags(flags)
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	flags.StringVar(&rollouts, "rollouts", "", "metrics addresses of relay nodes, IP:port, separated by commas; show the rollouts that they know instead")
	return a.command(&ffcli.Command{
		Name: "status", ShortUsage: "bergamotworks status [flags]", FlagSet: flags,
		ShortHelp: "Show the state of nodes, targets, failure domains and pipelines.",
		Exec: func(_ context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			if rollouts != "" {
				c.addresses = rollouts
				return a.printRolloutsOf(c, asJSON)
			}
			states, err := c.statuses()
			if err != nil {
				return err
			}
			if asJSON {
				return a.printJSON(states)
			}
			return a.printStatus(states)
		},
	})
}

// statuses returns the states of the given nodes that respond. It fails only if
// none does.
func (c *adminClient) statuses() ([]admin.Status, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	var states []admin.Status
	var failure error
	for _, a := range c.addressList() {
		var state admin.Status
		if err := c.call(a, "GET", "/v1/status", nil, &state); err != nil {
			failure = err
			continue
		}
		states = append(states, state)
	}
	if len(states) == 0 {
		return nil, failure
	}
	return states, nil
}

func (a *app) printStatus(states []admin.Status) error {
	first := states[0]
	w := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "as seen by %s, revision %d\n\n", first.VM, first.Revision)
	fmt.Fprintln(w, "VM\tDOMAIN\tSTATE\tINCARNATION\tREVISION\tREADY")
	for _, m := range first.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%t\n", m.VM, m.Domain, m.State, m.Incarnation, m.Revision, m.Ready)
	}
	fmt.Fprintln(w, "\nDOMAIN\tSTATE")
	for _, d := range first.Domains {
		fmt.Fprintf(w, "%s\t%s\n", d.Domain, d.State)
	}
	fmt.Fprintln(w, "\nPIPELINE\tCLASS\tSTAGES")
	for _, p := range first.Pipelines {
		fmt.Fprintf(w, "%s\t%s\t%d\n", p.Pipeline, p.Class, p.Stages)
	}
	// IN FLIGHT includes untracked calls that may still run. QUEUED is the length
	// of the queue of the whole pool, repeated in the row of each target.
	fmt.Fprintln(w, "\nOWNER\tPOOL\tTARGET\tSTATE\tLIMIT\tIN FLIGHT\tQUEUED")
	for _, n := range states {
		for _, p := range n.Pools {
			for _, t := range p.Targets {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\n", n.VM, p.Pool, t.Name, targetState(t), t.Limit, t.Occupied, p.Queued)
			}
		}
	}
	printHeldTargets(w, states)
	return w.Flush()
}

// printHeldTargets lists the targets that get no calls from a node, if there are any.
func printHeldTargets(w io.Writer, states []admin.Status) {
	header := "\nNODE\tHELD TARGET\tSERVICE\tREASON\tUNTIL\n"
	for _, n := range states {
		for _, h := range n.HeldTargets {
			until := "unknown"
			if !h.Until.IsZero() {
				until = h.Until.UTC().Format(time.RFC3339)
			}
			fmt.Fprintf(w, "%s%s\t%s\t%s\t%s\t%s\n", header, n.VM, h.Target, h.Service, h.Reason, until)
			header = ""
		}
	}
}

// targetState returns "closed" for a target that accepts no calls, and the warm-up
// phase of any other, with its cause if the target is not warm.
func targetState(t pool.TargetStatus) string {
	switch {
	case !t.Accepting:
		return "closed"
	case t.Phase == warm.Warm:
		return t.Phase.String()
	default:
		return t.Phase.String() + " (" + t.Cause.String() + ")"
	}
}
