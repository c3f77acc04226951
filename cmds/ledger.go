package cmds

import (
	"context"
	"encoding/json"
	"flag"
	"net/url"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func (a *app) ledgerCommand() *ffcli.Command {
	var c adminClient
	var account, key, stage string
	flags := flag.NewFlagSet("ledger", flag.ContinueOnError)
	c.registerFlags(flags)
	flags.StringVar(&account, "account", "", "client account (required)")
	flags.StringVar(&key, "key", "", "idempotency key (required)")
	flags.StringVar(&stage, "stage", "", "stage as pipeline/stage (required)")
	return a.command(&ffcli.Command{
		Name: "ledger", ShortUsage: "bergamotworks ledger [flags]", FlagSet: flags,
		ShortHelp: "Show the record of a non-idempotent stage call.",
		Exec: func(_ context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			required := []struct{ name, value string }{{"account", account}, {"key", key}, {"stage", stage}}
			for _, r := range required {
				if r.value == "" {
					return usageErrorf(r.name, "missing")
				}
			}
			query := url.Values{"account": {account}, "key": {key}, "stage": {stage}}
			var record json.RawMessage
			if err := c.get("/v1/ledger?"+query.Encode(), &record); err != nil {
				return err
			}
			return a.printJSON(record)
		},
	})
}
