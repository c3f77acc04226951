package cmds

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"bergamotworks/admin"
	"bergamotworks/note"
)

func (a *app) noteCommand() *ffcli.Command {
	return a.command(&ffcli.Command{
		Name:        "note",
		ShortUsage:  "bergamotworks note <check|offer|show|history> [flags] [file]",
		ShortHelp:   "Check, submit and show release notes.",
		Subcommands: []*ffcli.Command{a.noteCheckCommand(), a.noteOfferCommand(), a.noteShowCommand(), a.noteHistoryCommand()},
		Exec:        requireSubcommand,
	})
}

func requireSubcommand(_ context.Context, args []string) error {
	if len(args) > 0 {
		return usageErrorf("subcommand", "unknown subcommand %q", args[0])
	}
	return flag.ErrHelp
}

func (a *app) noteCheckCommand() *ffcli.Command {
	var c adminClient
	flags := flag.NewFlagSet("check", flag.ContinueOnError)
	c.registerFlags(flags)
	return a.command(&ffcli.Command{
		Name: "check", ShortUsage: "bergamotworks note check [flags] <file>", FlagSet: flags,
		ShortHelp: "Check a release note against the active configuration.",
		Exec: func(_ context.Context, args []string) error {
			n, err := readNote(args)
			if err != nil {
				return err
			}
			var accepted admin.NoteResponse
			if err := c.post("/v1/notes/check", n, &accepted); err != nil {
				return err
			}
			fmt.Fprintf(a.stdout, "note %s is valid for revision %d\n", n.ID, accepted.Revision)
			return nil
		},
	})
}

func (a *app) noteOfferCommand() *ffcli.Command {
	var c adminClient
	var wait bool
	flags := flag.NewFlagSet("offer", flag.ContinueOnError)
	c.registerFlags(flags)
	flags.BoolVar(&wait, "wait", false, "wait until the note is active on every live node")
	return a.command(&ffcli.Command{
		Name: "offer", ShortUsage: "bergamotworks note offer [flags] <file or shipped note>", FlagSet: flags,
		ShortHelp: "Submit a release note.",
		Exec: func(_ context.Context, args []string) error {
			n, err := readNote(args)
			if err != nil {
				return err
			}
			return a.submitNote(&c, n, wait)
		},
	})
}

// submitNote submits a note and prints its revision. With wait it returns once the
// note is active on every live node.
func (a *app) submitNote(c *adminClient, n note.Note, wait bool) error {
	var accepted admin.NoteResponse
	if err := c.post("/v1/notes", n, &accepted); err != nil {
		return err
	}
	fmt.Fprintf(a.stdout, "note %s accepted as revision %d\n", n.ID, accepted.Revision)
	if !wait {
		return nil
	}
	return a.awaitActive(c, accepted.Revision)
}

// awaitActive waits until a revision is active on every live node. The node waits
// for 9/10 of the timeout of the call, so that it responds before the call times
// out.
func (a *app) awaitActive(c *adminClient, revision int64) error {
	started := time.Now()
	path := fmt.Sprintf("/v1/wait?revision=%d&timeout_ms=%d", revision, (c.timeout * 9 / 10).Milliseconds())
	var state admin.NoteResponse
	if err := c.get(path, &state); err != nil {
		return err
	}
	if !state.Active {
		return fmt.Errorf("revision %d is not active on: %s", revision, strings.Join(state.Lagging, ", "))
	}
	fmt.Fprintf(a.stdout, "revision %d is active on every live node after %s\n", revision, time.Since(started).Round(time.Millisecond))
	return nil
}

func (a *app) noteShowCommand() *ffcli.Command {
	var c adminClient
	flags := flag.NewFlagSet("show", flag.ContinueOnError)
	c.registerFlags(flags)
	return a.command(&ffcli.Command{
		Name: "show", ShortUsage: "bergamotworks note show [flags] [shipped note]", FlagSet: flags,
		ShortHelp: "Show the active configuration, or a shipped note.",
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				n, err := readNote(args)
				if err != nil {
					return err
				}
				return a.printJSON(n)
			}
			var config note.Config
			if err := c.get("/v1/config", &config); err != nil {
				return err
			}
			return a.printJSON(config)
		},
	})
}

func (a *app) printJSON(value any) error {
	encoder := json.NewEncoder(a.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// readNote returns the shipped note that the only argument names or, if there is
// none of that name, the note in that file.
func readNote(args []string) (note.Note, error) {
	if len(args) != 1 {
		return note.Note{}, usageErrorf("file", "name one release note")
	}
	if n, err := note.Shipped(args[0]); err == nil {
		return n, nil
	}
	text, err := os.ReadFile(args[0])
	if err != nil {
		return note.Note{}, usageErrorf("file", "%s", err)
	}
	return note.Decode(text)
}
