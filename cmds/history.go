package cmds

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"bergamotworks/conf"
)

func (a *app) noteHistoryCommand() *ffcli.Command {
	var c adminClient
	flags := flag.NewFlagSet("history", flag.ContinueOnError)
	c.registerFlags(flags)
	return a.command(&ffcli.Command{
		Name: "history", ShortUsage: "bergamotworks note history [flags]", FlagSet: flags,
		ShortHelp: "Show the accepted release notes.",
		Exec: func(_ context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			var history []conf.HistoryEntry
			if err := c.get("/v1/notes/history", &history); err != nil {
				return err
			}
			w := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "REVISION\tNOTE\tAUTHOR\tTEXT")
			for _, e := range history {
				fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", e.Revision, e.NoteID, e.Author, e.Text)
			}
			return w.Flush()
		},
	})
}
