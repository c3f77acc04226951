package cmds

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	"bergamotworks/note"
)

func (s *shell) domainCommand() *ffcli.Command {
	return s.command(&ffcli.Command{
		Name:       "domain",
		ShortUsage: "bergamotworks domain <out|in> [flags] <failure domain>",
		ShortHelp:  "Take a failure domain out of service or bring it back.",
		Subcommands: []*ffcli.Command{
			s.domainState("out", "Take a failure domain out of service.", note.OutOfService),
			s.domainState("in", "Bring a failure domain back into service.", note.InService),
		},
		Exec: needSubcommand,
	})
}

func (s *shell) domainState(name, help string, state note.State) *ffcli.Command {
	var c client
	var wait bool
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	c.register(flags)
	flags.BoolVar(&wait, "wait", true, "wait until the change is in force on every live node")
	return s.command(&ffcli.Command{
		Name: name, ShortUsage: "bergamotworks domain " + name + " [flags] <failure domain>", FlagSet: flags,
		ShortHelp: help,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return badSetting("failure domain", "name one failure domain")
			}
			n, err := s.domainNote(&c, args[0], state)
			if err != nil {
				return err
			}
			return s.offer(&c, n, wait)
		},
	})
}

// domainNote returns the release note that sets the state of a failure domain.
func (s *shell) domainNote(c *client, name string, state note.State) (note.Note, error) {
	var config note.Config
	if err := c.get("/v1/config", &config); err != nil {
		return note.Note{}, err
	}
	domain, ok := config.Sections.Domains[name]
	if !ok {
		return note.Note{}, badSetting("failure domain", "no failure domain %q in revision %d", name, config.Revision)
	}
	domain.State = state
	return note.Note{
		ID:           fmt.Sprintf("domain-%s-%s", name, uuid.NewString()),
		BaseRevision: config.Revision,
		Changed:      note.Sections{Domains: map[string]note.FailureDomain{name: domain}},
	}, nil
}
