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

func (s *shell) reportCommand() *ffcli.Command {
	var c client
	var asJSON bool
	var page string
	flags := flag.NewFlagSet("report", flag.ContinueOnError)
	c.register(flags)
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	flags.StringVar(&page, "html", "", "file for a self-contained page with plots")
	return s.command(&ffcli.Command{
		Name: "report", ShortUsage: "bergamotworks report [flags]", FlagSet: flags,
		ShortHelp: "Report service-level burn and cost by stage, joined over the named nodes.",
		Exec: func(_ context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			state, err := c.burn()
			if err != nil {
				return err
			}
			var config note.Config
			if err := c.get("/v1/config", &config); err != nil {
				return err
			}
			return s.report(state, config, asJSON, page)
		},
	})
}

// burn joins what the named nodes have counted. Every one of them must answer.
func (c *client) burn() (admin.BurnState, error) {
	var joined admin.BurnState
	if err := c.check(); err != nil {
		return joined, err
	}
	for _, a := range c.list() {
		var state admin.BurnState
		if err := c.call(a, "GET", "/v1/burn", nil, &state); err != nil {
			return joined, err
		}
		merged, err := burn.Merge(joined.Snapshot, state.Snapshot)
		if err != nil {
			return joined, err
		}
		joined.Snapshot = merged
		joined.Changes = joinChanges(joined.Changes, state.Changes)
	}
	return joined, nil
}

// joinChanges keeps the earliest report of each revision.
func joinChanges(a, b []burn.Change) []burn.Change {
	all := slices.Concat(a, b)
	slices.SortFunc(all, func(x, y burn.Change) int {
		return cmp.Or(cmp.Compare(x.Revision, y.Revision), x.At.Compare(y.At))
	})
	return slices.CompactFunc(all, func(x, y burn.Change) bool { return x.Revision == y.Revision })
}

func (s *shell) report(state admin.BurnState, config note.Config, asJSON bool, page string) error {
	report, err := burn.NewReport(state.Snapshot, config)
	if err != nil {
		return err
	}
	report.Drains = burn.Drains(state.Snapshot, state.Changes)
	if page != "" {
		if err := writePage(page, burnPage(report, state)); err != nil {
			return err
		}
		fmt.Fprintf(s.stderr, "page written to %s\n", page)
	}
	if asJSON {
		return s.printJSON(report)
	}
	return report.WriteTable(s.stdout)
}
