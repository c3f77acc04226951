package cmds

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"slices"

	"github.com/peterbourgon/ff/v3/ffcli"

	"bergamotworks/admin"
	"bergamotworks/burn"
	"bergamotworks/note"
)

func (a *app) reportCommand() *ffcli.Command {
	var c adminClient
	var asJSON bool
	var page string
	flags := flag.NewFlagSet("report", flag.ContinueOnError)
	c.registerFlags(flags)
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	flags.StringVar(&page, "html", "", "file for a self-contained HTML page with plots")
	return a.command(&ffcli.Command{
		Name: "report", ShortUsage: "bergamotworks report [flags]", FlagSet: flags,
		ShortHelp: "Report service-level burn and cost by stage, merged over the given nodes.",
		Exec: func(_ context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			state, err := c.mergedBurn()
			if err != nil {
				return err
			}
			var config note.Config
			if err := c.get("/v1/config", &config); err != nil {
				return err
			}
			return a.report(state, config, asJSON, page)
		},
	})
}

// mergedBurn merges the burn states of all given nodes. It fails if one of them
// does not respond.
func (c *adminClient) mergedBurn() (admin.BurnState, error) {
	var merged admin.BurnState
	if err := c.check(); err != nil {
		return merged, err
	}
	for _, a := range c.addressList() {
		var state admin.BurnState
		if err := c.call(a, "GET", "/v1/burn", nil, &state); err != nil {
			return merged, err
		}
		snapshot, err := burn.Merge(merged.Snapshot, state.Snapshot)
		if err != nil {
			return merged, err
		}
		merged.Snapshot = snapshot
		merged.Changes = mergeChanges(merged.Changes, state.Changes)
	}
	return merged, nil
}

// mergeChanges keeps the earliest report of each revision.
func mergeChanges(a, b []burn.Change) []burn.Change {
	all := slices.Concat(a, b)
	slices.SortFunc(all, func(x, y burn.Change) int {
		return cmp.Or(cmp.Compare(x.Revision, y.Revision), x.At.Compare(y.At))
	})
	return slices.CompactFunc(all, func(x, y burn.Change) bool { return x.Revision == y.Revision })
}

func (a *app) report(state admin.BurnState, config note.Config, asJSON bool, page string) error {
	report, err := burn.NewReport(state.Snapshot, config)
	if err != nil {
		return err
	}
	report.Drains = burn.Drains(state.Snapshot, state.Changes)
	if page != "" {
		if err := writePage(page, burnPage(report, state)); err != nil {
			return err
		}
		fmt.Fprintf(a.stderr, "page written to %s\n", page)
	}
	if asJSON {
		return a.printJSON(report)
	}
	return report.WriteTable(a.stdout)
}
