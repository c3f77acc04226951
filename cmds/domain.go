package cmds

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	"bergamotworks/note"
)

func (a *app) domainCommand() *ffcli.Command {
	return a.command(&ffcli.Command{
		Name:       "domain",
		ShortUsage: "bergamotworks domain <out|in> [flags] <failure domain>",
		ShortHelp:  "Drain or restore a failure domain.",
		Subcommands: []*ffcli.Command{
			a.domainStateCommand("out", "Drain a failure domain: set its state to out_of_service.", note.OutOfService),
			a.domainStateCommand("in", "Restore a drained failure domain: set its state to in_service.", note.InService),
		},
		Exec: requireSubcommand,
	})
}

func (a *app) domainStateCommand(name, help string, state note.State) *ffcli.Command {
	var c adminClient
	var wait bool
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	c.registerFlags(flags)
	flags.BoolVar(&wait, "wait", true, "wait until the change is active on every live node")
	return a.command(&ffcli.Command{
		Name: name, ShortUsage: "bergamotworks domain " + name + " [flags] <failure domain>", FlagSet: flags,
		ShortHelp: help,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return usageErrorf("failure domain", "name one failure domain")
			}
			n, err := a.domainNote(&c, args[0], state)
			if err != nil {
				return err
			}
			return a.submitNote(&c, n, wait)
		},
	})
}

// domainNote returns a release note that sets the state of a failure domain.
func (a *app) domainNote(c *adminClient, name string, state note.State) (note.Note, error) {
	var config note.Config
	if err := c.get("/v1/config", &config); err != nil {
		return note.Note{}, err
	}
	domain, ok := config.Sections.Domains[name]
	if !ok {
		return note.Note{}, usageErrorf("failure domain", "no failure domain %q in revision %d", name, config.Revision)
	}
	domain.State = state
	return note.Note{
		ID:           fmt.Sprintf("domain-%s-%s", name, uuid.NewString()),
		BaseRevision: config.Revision,
		Changed:      note.Sections{Domains: map[string]note.FailureDomain{name: domain}},
	}, nil
}
